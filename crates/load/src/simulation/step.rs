//! Attempts, steps and retries of simulated requests.

use core::time::Duration;

use crate::scenario::ZONES;
use crate::simulation::Simulation;
use crate::simulation::engine::Health;
use crate::simulation::engine::Job;
use crate::simulation::event::Event;
use agatemill_pipeline::backoff;
use agatemill_pipeline::progress::Loss;
use agatemill_pipeline::progress::Verdict;
use agatemill_pipeline::settings::Settings;

/// Maximum number of waits for the retry budget before a request fails, as in `pipeline`.
const MAX_BUDGET_WAITS: u32 = 20;

/// Number of bytes in a MiB.
const MEBIBYTE: f64 = 1_048_576.0;

impl Simulation {
    /// Starts the next attempt of a request.
    pub(super) fn start_attempt(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let host = &self.hosts[request.entry];
        let chosen = host.choose_chain(request.prefix, request.progress.excluded(), self.now);
        let Some((chain, forced)) = chosen else {
            self.fail(index, "no_chain");
            return;
        };
        request.progress.record_chain(forced);
        request.chain = Some(chain);
        request.stage = 0;
        request.step_positions =
            request.prompt_tokens + u32::try_from(request.token_times.len()).unwrap_or(u32::MAX);
        self.send_step(index);
    }

    fn send_step(&mut self, index: usize) {
        let Some(engine) = self.current_engine(index) else {
            return;
        };
        self.last_number += 1;
        let request = &mut self.requests[index];
        request.step = self.last_number;
        request.step_sent = self.now;
        request.progress.record_send();
        let job = Job {
            request: index,
            step: request.step,
            positions: request.step_positions,
            prefix: (request.step_positions > 1)
                .then_some((request.prefix, request.step_positions)),
        };
        let attempt = request.progress.attempt().0;
        let timeout = self.step_timeout(index);
        let arrival = self.now + self.transfer_time(engine, job.positions);
        let event = Event::Step {
            engine,
            job,
            attempt,
        };
        self.events.schedule(arrival, event);
        self.events
            .schedule(self.now + timeout, Event::Timeout(job));
    }

    pub(super) fn handle_step(&mut self, engine: usize, job: Job, attempt: u32) {
        if self.requests[job.request].step != job.step || self.requests[job.request].is_ended {
            return;
        }
        match self.engines[engine].health {
            Health::Dead => self.send_reply(engine, job, Some(Loss::ConnectFailed)),
            Health::Failing => {
                // A failing engine is assumed to have run the positions before it reports the error.
                self.engines[engine].processed_positions += u64::from(job.positions);
                let code = agatemill_engine::failure::Code::Internal;
                self.send_reply(engine, job, Some(Loss::Refused(code)));
            }
            Health::Frozen => self.engines[engine].processed_positions += u64::from(job.positions),
            Health::Healthy | Health::Slow(_) => {
                let job = Job {
                    prefix: job
                        .prefix
                        .map(|(prefix, _)| (prefix, self.prefix_length(job.request))),
                    ..job
                };
                self.engines[engine].enqueue(job, attempt);
                self.start_batch(engine);
            }
        }
    }

    fn start_batch(&mut self, engine: usize) {
        if let Some(time) = self.engines[engine].start_batch() {
            self.last_number += 1;
            self.running_batches[engine] = self.last_number;
            let number = self.last_number;
            self.events
                .schedule(self.now + time, Event::BatchEnd { engine, number });
        }
    }

    pub(super) fn handle_batch_end(&mut self, engine: usize) {
        for job in self.engines[engine].finish_batch() {
            if self.engines[engine].health != Health::Frozen {
                self.send_reply(engine, job, None);
            }
        }
        self.start_batch(engine);
    }

    /// Sends the reply to a step to its entry.
    pub(super) fn send_reply(&mut self, engine: usize, job: Job, loss: Option<Loss>) {
        let arrival = self.now + self.transfer_time(engine, job.positions);
        self.events.schedule(arrival, Event::Reply { job, loss });
    }

    pub(super) fn handle_reply(&mut self, job: Job, loss: Option<Loss>) {
        let request = &self.requests[job.request];
        if request.step != job.step || request.is_ended {
            return;
        }
        match loss {
            Some(loss) => self.handle_loss(job.request, loss),
            None => self.handle_success(job),
        }
    }

    fn handle_success(&mut self, job: Job) {
        let request = &mut self.requests[job.request];
        let Some(chain) = &request.chain else {
            return;
        };
        let stage = &chain.stages()[request.stage];
        let is_last = request.stage + 1 == chain.stages().len();
        let host = &mut self.hosts[request.entry];
        if request.progress.position().0 > 0 {
            let time = self.now.saturating_sub(request.step_sent);
            host.latency.observe(&stage.server, time);
            host.table.record_success(&stage.server, time);
        }
        request.progress.record_reply(stage.layers, job.positions);
        request.stage += 1;
        if is_last {
            self.handle_token(job.request);
        } else {
            self.send_step(job.request);
        }
    }

    fn handle_token(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.progress.record_token(0);
        let window = self.settings.warm_up..self.last_arrival;
        let is_measured = window.contains(&request.arrival);
        match request.token_times.last() {
            None if is_measured => self
                .report
                .time_to_first_token
                .record(self.now.saturating_sub(request.arrival)),
            Some(last) if is_measured => self
                .report
                .inter_token
                .record(self.now.saturating_sub(*last)),
            _ => {}
        }
        request.token_times.push(self.now);
        if request.token_times.len() < request.answer_tokens as usize {
            request.step_positions = 1;
            request.stage = 0;
            self.send_step(index);
            return;
        }
        request.is_ended = true;
        self.report.complete += 1;
        self.hosts[request.entry].budget.record_success();
        if is_measured {
            let times = self.report.organisations.entry(request.organisation);
            times
                .or_default()
                .record(self.now.saturating_sub(request.arrival));
        }
        self.close_chain(index);
        self.release_slot(index);
    }

    fn handle_loss(&mut self, index: usize, loss: Loss) {
        let request = &mut self.requests[index];
        let Some(chain) = &request.chain else {
            return;
        };
        let server = chain.stages()[request.stage].server.clone();
        match request
            .progress
            .handle_loss(&server, loss, Settings::default().max_moves)
        {
            Verdict::GiveUp(reason) => self.fail(index, reason.as_str()),
            // Simulated engines do not drain. A cache is not transferred but computed again.
            Verdict::Transfer { .. } => {
                self.close_chain(index);
                self.schedule_retry(index, false, 0);
            }
            Verdict::Move { failed, budget, .. } => {
                if failed {
                    self.hosts[request.entry]
                        .table
                        .record_failure(&server, self.now);
                }
                // The next attempt has a new number; the sessions of this one are cancelled.
                self.close_chain(index);
                self.schedule_retry(index, budget, 0);
            }
        }
    }

    fn schedule_retry(&mut self, index: usize, needs_budget: bool, budget_waits: u32) {
        let moves = self.requests[index].progress.moves();
        let base = Settings::default().base_backoff;
        let wait = backoff::wait(base, moves + budget_waits, self.random.f64());
        let event = Event::Retry {
            request: index,
            needs_budget,
            budget_waits,
        };
        self.events.schedule(self.now + wait, event);
    }

    pub(super) fn handle_retry(&mut self, index: usize, needs_budget: bool, budget_waits: u32) {
        if self.requests[index].is_ended {
            return;
        }
        let host = &mut self.hosts[self.requests[index].entry];
        if !needs_budget || host.budget.take() {
            self.start_attempt(index);
        } else if budget_waits + 1 < MAX_BUDGET_WAITS {
            self.schedule_retry(index, needs_budget, budget_waits + 1);
        } else {
            self.fail(index, "retries_exhausted");
        }
    }

    /// Closes the chain of a request and cancels its sessions.
    pub(super) fn close_chain(&mut self, index: usize) {
        let Some(chain) = self.requests[index].chain.take() else {
            return;
        };
        self.last_number += 1;
        let request = &mut self.requests[index];
        // A new step number makes replies to the current step stale.
        request.step = self.last_number;
        self.hosts[request.entry]
            .table
            .record_close(&chain, self.now);
        let attempt = request.progress.attempt().0;
        for stage in chain.stages() {
            let Some(engine) = self.engine_index(stage.server.as_str()) else {
                continue;
            };
            let arrival = self.now + self.transfer_time(engine, 1);
            for attempt in [attempt.saturating_sub(1), attempt] {
                let event = Event::Cancel {
                    engine,
                    request: index,
                    attempt,
                };
                self.events.schedule(arrival, event);
            }
        }
    }

    fn current_engine(&self, index: usize) -> Option<usize> {
        let request = &self.requests[index];
        let stage = request.chain.as_ref()?.stages().get(request.stage)?;
        self.engine_index(stage.server.as_str())
    }

    fn engine_index(&self, server: &str) -> Option<usize> {
        let mut engines = self.scenario.engines.iter();
        engines.position(|engine| engine.name == server)
    }

    fn prefix_length(&self, index: usize) -> u32 {
        self.requests[index]
            .prompt_tokens
            .min(self.settings.prefix_positions)
    }

    fn step_timeout(&self, index: usize) -> Duration {
        let request = &self.requests[index];
        let host = &self.hosts[request.entry];
        let chain = request.chain.as_ref();
        let stage = chain.and_then(|chain| chain.stages().get(request.stage));
        let settings = Settings::default();
        stage.map_or(settings.step_timeout, |stage| {
            host.latency
                .step_timeout(&stage.server, request.step_positions, &settings)
        })
    }

    /// Computes the one-way time of a message with the activations of some positions on the link to an engine.
    fn transfer_time(&self, engine: usize, positions: u32) -> Duration {
        let zone = &ZONES[self.scenario.engines[engine].zone];
        #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
        let bytes = f64::from(positions) * self.scenario.activation_bytes as f64;
        #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
        let rate = zone.mebibytes_per_second as f64 * MEBIBYTE;
        zone.latency + Duration::from_secs_f64(bytes / rate)
    }
}
