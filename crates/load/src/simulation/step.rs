//! Steps of the requests in a simulation.

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

/// Waits for the retry budget before a request gives up, as in `pipeline`.
const BUDGET_WAITS: u32 = 20;

/// Bytes.
const MEBIBYTE: f64 = 1_048_576.0;

impl Simulation {
    /// Starts the next attempt of a request.
    pub(super) fn open(&mut self, request: usize) {
        let flow = &mut self.flows[request];
        let host = &self.hosts[flow.entry];
        let chosen = host.choose(flow.prefix, flow.progress.avoid(), self.now);
        let Some((chain, forced)) = chosen else {
            self.give_up(request, "no_chain");
            return;
        };
        flow.progress.record_chain(forced);
        flow.chain = Some(chain);
        flow.stage = 0;
        flow.positions = flow.prompt + u32::try_from(flow.tokens.len()).unwrap_or(u32::MAX);
        self.send(request);
    }

    fn send(&mut self, request: usize) {
        let Some(engine) = self.engine(request) else {
            return;
        };
        self.numbers += 1;
        let flow = &mut self.flows[request];
        flow.step = self.numbers;
        flow.sent = self.now;
        flow.progress.record_send();
        let job = Job {
            request,
            step: flow.step,
            positions: flow.positions,
            prefix: (flow.positions > 1).then_some((flow.prefix, flow.positions)),
        };
        let attempt = flow.progress.attempt().0;
        let limit = self.limit(request);
        let arrival = self.now + self.link(engine, job.positions);
        let event = Event::Step {
            engine,
            job,
            attempt,
        };
        self.agenda.add(arrival, event);
        self.agenda.add(self.now + limit, Event::Timeout(job));
    }

    pub(super) fn step_arrives(&mut self, engine: usize, job: Job, attempt: u32) {
        if self.flows[job.request].step != job.step || self.flows[job.request].ended {
            return;
        }
        match self.engines[engine].health {
            Health::Dead => self.answer(engine, job, Some(Loss::ConnectFailed)),
            Health::Failing => {
                // A failing engine is assumed to have spent the work.
                self.engines[engine].work += u64::from(job.positions);
                let code = agatemill_engine::failure::Code::Internal;
                self.answer(engine, job, Some(Loss::Refused(code)));
            }
            Health::Frozen => self.engines[engine].work += u64::from(job.positions),
            Health::Well | Health::Slow(_) => {
                let job = Job {
                    prefix: job
                        .prefix
                        .map(|(prefix, _)| (prefix, self.prefix_length(job.request))),
                    ..job
                };
                self.engines[engine].push(job, attempt);
                self.start(engine);
            }
        }
    }

    fn start(&mut self, engine: usize) {
        if let Some(time) = self.engines[engine].start() {
            self.numbers += 1;
            self.batches[engine] = self.numbers;
            let number = self.numbers;
            self.agenda
                .add(self.now + time, Event::Batch { engine, number });
        }
    }

    pub(super) fn batch_ends(&mut self, engine: usize) {
        for job in self.engines[engine].finish() {
            if self.engines[engine].health != Health::Frozen {
                self.answer(engine, job, None);
            }
        }
        self.start(engine);
    }

    /// Sends the answer to a step back.
    pub(super) fn answer(&mut self, engine: usize, job: Job, loss: Option<Loss>) {
        let arrival = self.now + self.link(engine, job.positions);
        self.agenda.add(arrival, Event::Reply { job, loss });
    }

    pub(super) fn reply(&mut self, job: Job, loss: Option<Loss>) {
        let flow = &self.flows[job.request];
        if flow.step != job.step || flow.ended {
            return;
        }
        match loss {
            Some(loss) => self.lost(job.request, loss),
            None => self.succeeded(job),
        }
    }

    fn succeeded(&mut self, job: Job) {
        let flow = &mut self.flows[job.request];
        let Some(chain) = &flow.chain else {
            return;
        };
        let stage = &chain.stages()[flow.stage];
        let last = flow.stage + 1 == chain.stages().len();
        let host = &mut self.hosts[flow.entry];
        if flow.progress.position().0 > 0 {
            let time = self.now.saturating_sub(flow.sent);
            host.latency.observe(&stage.server, time);
            host.table.succeeded(&stage.server, time);
        }
        flow.progress.record_reply(stage.layers, job.positions);
        flow.stage += 1;
        if last {
            self.token(job.request);
        } else {
            self.send(job.request);
        }
    }

    fn token(&mut self, request: usize) {
        let flow = &mut self.flows[request];
        flow.progress.record_token(0);
        let window = self.settings.warm_up..self.end;
        let inside = window.contains(&flow.at);
        match flow.tokens.last() {
            None if inside => self.report.first.record(self.now.saturating_sub(flow.at)),
            Some(last) if inside => self.report.between.record(self.now.saturating_sub(*last)),
            _ => {}
        }
        flow.tokens.push(self.now);
        if flow.tokens.len() < flow.answer as usize {
            flow.positions = 1;
            flow.stage = 0;
            self.send(request);
            return;
        }
        flow.ended = true;
        self.report.complete += 1;
        self.hosts[flow.entry].budget.succeeded();
        if inside {
            let times = self.report.organisations.entry(flow.organisation);
            times.or_default().record(self.now.saturating_sub(flow.at));
        }
        self.close(request);
        self.leave(request);
    }

    fn lost(&mut self, request: usize, loss: Loss) {
        let flow = &mut self.flows[request];
        let Some(chain) = &flow.chain else {
            return;
        };
        let server = chain.stages()[flow.stage].server.clone();
        match flow
            .progress
            .handle_loss(&server, loss, Settings::default().max_moves)
        {
            Verdict::GiveUp(reason) => self.give_up(request, reason.as_str()),
            // Engines of the experiments do not drain; a cache would be computed again.
            Verdict::Transfer { .. } => {
                self.close(request);
                self.pause(request, false, 0);
            }
            Verdict::Move { failed, budget, .. } => {
                if failed {
                    self.hosts[flow.entry].table.failed(&server, self.now);
                }
                // The next attempt has another number; the sessions of this one are cancelled.
                self.close(request);
                self.pause(request, budget, 0);
            }
        }
    }

    fn pause(&mut self, request: usize, budget: bool, waits: u32) {
        let moves = self.flows[request].progress.moves();
        let base = Settings::default().base_backoff;
        let wait = backoff::wait(base, moves + waits, self.random.f64());
        let event = Event::Retry {
            request,
            budget,
            waits,
        };
        self.agenda.add(self.now + wait, event);
    }

    pub(super) fn retry(&mut self, request: usize, budget: bool, waits: u32) {
        if self.flows[request].ended {
            return;
        }
        let host = &mut self.hosts[self.flows[request].entry];
        if !budget || host.budget.take() {
            self.open(request);
        } else if waits + 1 < BUDGET_WAITS {
            self.pause(request, budget, waits + 1);
        } else {
            self.give_up(request, "retries_exhausted");
        }
    }

    /// Closes the chain of a request and cancels its sessions.
    pub(super) fn close(&mut self, request: usize) {
        let Some(chain) = self.flows[request].chain.take() else {
            return;
        };
        self.numbers += 1;
        let flow = &mut self.flows[request];
        // Answers to the step that runs are void.
        flow.step = self.numbers;
        self.hosts[flow.entry].table.closed(&chain, self.now);
        let attempt = flow.progress.attempt().0;
        for stage in chain.stages() {
            let Some(engine) = self.index(stage.server.as_str()) else {
                continue;
            };
            let arrival = self.now + self.link(engine, 1);
            for attempt in [attempt.saturating_sub(1), attempt] {
                let event = Event::Cancel {
                    engine,
                    request,
                    attempt,
                };
                self.agenda.add(arrival, event);
            }
        }
    }

    fn engine(&self, request: usize) -> Option<usize> {
        let flow = &self.flows[request];
        let stage = flow.chain.as_ref()?.stages().get(flow.stage)?;
        self.index(stage.server.as_str())
    }

    fn index(&self, server: &str) -> Option<usize> {
        let mut machines = self.scenario.machines.iter();
        machines.position(|machine| machine.name == server)
    }

    fn prefix_length(&self, request: usize) -> u32 {
        self.flows[request].prompt.min(self.settings.prefix)
    }

    fn limit(&self, request: usize) -> Duration {
        let flow = &self.flows[request];
        let host = &self.hosts[flow.entry];
        let chain = flow.chain.as_ref();
        let stage = chain.and_then(|chain| chain.stages().get(flow.stage));
        let settings = Settings::default();
        stage.map_or(settings.step_timeout, |stage| {
            host.latency
                .step_timeout(&stage.server, flow.positions, &settings)
        })
    }

    /// Time of a message with the activations of some positions over the link to an engine, one way.
    fn link(&self, engine: usize, positions: u32) -> Duration {
        let zone = &ZONES[self.scenario.machines[engine].zone];
        #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
        let bytes = f64::from(positions) * self.scenario.activation as f64;
        #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
        let rate = zone.mebibytes as f64 * MEBIBYTE;
        zone.latency + Duration::from_secs_f64(bytes / rate)
    }
}
