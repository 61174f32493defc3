//! Discrete-event simulation of a load in virtual time.
//!
//! Routing, admission and retry decisions are made by the code of an entry: `routing::Table`, `limits::Queue`,
//! `limits::Budget` and `pipeline::Progress`. The engines batch like the fake ones. A run never sleeps and does
//! not depend on the load of the machine, so results are reproducible from a seed.

pub mod engine;
pub mod event;
mod host;
pub mod request;
mod step;

use core::time::Duration;

use crate::Plan;
use crate::Report;
use crate::Scenario;
use crate::plan::Kind;
use crate::simulation::engine::Engine;
use crate::simulation::engine::Health;
use crate::simulation::event::Event;
use crate::simulation::event::Queue;
use crate::simulation::host::Host;
use crate::simulation::request::Request;
use agatemill_core::Priority;
use agatemill_core::layer;
use agatemill_limits::queue;
use agatemill_limits::queue::Decision;
use agatemill_limits::queue::Ticket;
use agatemill_pipeline::Progress;
use agatemill_pipeline::progress::Loss;
use agatemill_routing::policy;

/// Interval of the status queries to each engine, as in the entry.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which an engine samples its load for delayed reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// A fault of engines during a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Time at which the fault begins.
    pub at: Duration,
    /// Indices of the affected engines.
    pub engines: Vec<usize>,
    /// Health of the engines from then on.
    pub health: Health,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Policy by which chains are chosen.
    pub policy: policy::Name,
    /// Number of entry hosts; requests are distributed round-robin.
    pub entries: usize,
    /// Age of the load that engines report.
    pub report_lag: Duration,
    /// Number of requests that each entry serves concurrently.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot at each entry.
    pub waiters: usize,
    /// Number of prompt positions that the shared prefix covers.
    pub prefix_positions: u32,
    /// Capacity of the prefix cache of an engine, in positions.
    pub cache_positions: u32,
    /// Start of the measured window, which ends at the last arrival.
    pub warm_up: Duration,
    /// Fault to inject.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: policy::Name::Outstanding,
            entries: 4,
            report_lag: Duration::ZERO,
            slots: 512,
            waiters: 2_048,
            prefix_positions: 0,
            cache_positions: 0,
            warm_up: Duration::from_secs(10),
            fault: None,
        }
    }
}

/// State of a run.
#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    settings: Settings,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: Queue,
    now: Duration,
    /// Last number given to a step or a batch.
    last_number: u64,
    /// Number of the batch that each engine started last; 0 after a crash.
    running_batches: Vec<u64>,
    /// Arrival time of the last request.
    last_arrival: Duration,
    random: fastrand::Rng,
    report: Report,
}

impl Simulation {
    /// Runs a load and returns the results.
    ///
    /// # Errors
    ///
    /// Any fault in the configuration document of the scenario.
    pub fn run(
        name: &str,
        scenario: &Scenario,
        settings: &Settings,
        plan: &Plan,
    ) -> Result<Report, agatemill_config::Faults> {
        let mut run = Self::new(name, scenario, settings, plan)?;
        while let Some((now, event)) = run.events.pop() {
            run.now = now;
            run.handle(event);
        }
        Ok(run.finish())
    }

    fn new(
        name: &str,
        scenario: &Scenario,
        settings: &Settings,
        plan: &Plan,
    ) -> Result<Self, agatemill_config::Faults> {
        let document = agatemill_config::Document::parse(&scenario.document())?;
        let hosts = (0..settings.entries.max(1)).map(|index| Host::new(index, &document, settings));
        let engines = scenario.engines.iter();
        let mut run = Self {
            hosts: hosts.collect(),
            engines: engines
                .map(|definition| Engine::new(definition.throughput, settings.cache_positions))
                .collect(),
            requests: Vec::new(),
            events: Queue::default(),
            now: Duration::ZERO,
            last_number: 0,
            running_batches: vec![0; scenario.engines.len()],
            last_arrival: plan
                .requests
                .last()
                .map_or(Duration::ZERO, |planned| planned.at),
            random: fastrand::Rng::with_seed(7),
            report: Report::new(name),
            scenario: scenario.clone(),
            settings: settings.clone(),
        };
        run.report.bound = scenario.bound();
        for planned in &plan.requests {
            let Kind::Chat {
                prefix,
                prompt_tokens,
                answer_tokens,
                ..
            } = &planned.kind
            else {
                continue;
            };
            run.add_request(
                planned.at,
                planned.organisation,
                *prefix,
                *prompt_tokens,
                *answer_tokens,
            );
        }
        run.events.schedule(Duration::ZERO, Event::Sample);
        run.events.schedule(Duration::ZERO, Event::Poll);
        if let Some(fault) = &run.settings.fault {
            run.events.schedule(fault.at, Event::Fault);
        }
        Ok(run)
    }

    fn add_request(
        &mut self,
        at: Duration,
        organisation: u32,
        prefix: u32,
        prompt_tokens: u32,
        answer_tokens: u32,
    ) {
        let index = self.requests.len();
        self.events.schedule(at, Event::Arrival(index));
        self.events
            .schedule(at + self.scenario.deadline, Event::Deadline(index));
        self.requests.push(Request {
            arrival: at,
            entry: index % self.hosts.len(),
            organisation,
            prefix,
            prompt_tokens,
            answer_tokens,
            ticket: None,
            chain: None,
            stage: 0,
            step_positions: 0,
            step: 0,
            step_sent: Duration::ZERO,
            progress: Progress::default(),
            token_times: Vec::new(),
            is_ended: false,
        });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.handle_arrival(request),
            Event::Deadline(request) if self.requests[request].is_ended => {}
            Event::Deadline(request) => self.fail(request, "deadline_exceeded"),
            Event::Step {
                engine,
                job,
                attempt,
            } => self.handle_step(engine, job, attempt),
            Event::BatchEnd { engine, number } if self.running_batches[engine] == number => {
                self.handle_batch_end(engine);
            }
            Event::BatchEnd { .. } => {}
            Event::Reply { job, loss } => self.handle_reply(job, loss),
            Event::Timeout(job) => self.handle_reply(job, Some(Loss::TimedOut)),
            Event::Retry {
                request,
                needs_budget,
                budget_waits,
            } => self.handle_retry(request, needs_budget, budget_waits),
            Event::Cancel {
                engine,
                request,
                attempt,
            } => self.engines[engine].cancel(request, attempt),
            Event::Poll => self.poll_engines(),
            Event::Sample => self.sample_sessions(),
            Event::Fault => self.inject_fault(),
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let request = &self.requests[index];
        self.report.sent += 1;
        let queued = queue::Request {
            organisation: format!("o{}", request.organisation)
                .parse()
                .expect("the name is valid"),
            weight: 1,
            urgency: Priority::Normal.into(),
            concurrency: self.scenario.concurrency,
            deadline: request.arrival + self.scenario.deadline,
        };
        let host = &mut self.hosts[request.entry];
        match host.queue.enter(queued, self.now) {
            Decision::Admitted(ticket) => {
                self.requests[index].ticket = Some(ticket);
                self.hosts[self.requests[index].entry]
                    .requests
                    .insert(ticket, index);
                self.start_attempt(index);
            }
            Decision::Waiting(ticket) => {
                host.requests.insert(ticket, index);
                self.requests[index].ticket = Some(ticket);
            }
            Decision::ConcurrencyLimited => self.refuse(index, "concurrency_limited"),
            Decision::Overloaded { .. } => self.refuse(index, "overloaded"),
        }
    }

    /// Ends an admitted or waiting request without an answer.
    fn fail(&mut self, index: usize, reason: &str) {
        self.close_chain(index);
        self.refuse(index, reason);
        self.release_slot(index);
    }

    fn refuse(&mut self, index: usize, reason: &str) {
        self.requests[index].is_ended = true;
        self.report.count_refusal(reason);
    }

    /// Releases the slot or the queue place of a request and starts the next waiting request.
    fn release_slot(&mut self, index: usize) {
        let Some(ticket) = self.requests[index].ticket.take() else {
            return;
        };
        let host = &mut self.hosts[self.requests[index].entry];
        host.requests.remove(&ticket);
        if host.queue.cancel(ticket) {
            return;
        }
        let next: Option<Ticket> = host.queue.release(ticket, self.now);
        if let Some(next) = next.and_then(|ticket| host.requests.get(&ticket).copied()) {
            self.start_attempt(next);
        }
    }

    fn poll_engines(&mut self) {
        for index in 0..self.engines.len() {
            let (counted, sessions) =
                self.engines[index].reported_sessions(self.now, self.settings.report_lag);
            let is_responding =
                !matches!(self.engines[index].health, Health::Dead | Health::Frozen);
            let definition = &self.scenario.engines[index];
            let layers: layer::Range = definition.layers;
            for host in &self.hosts {
                host.record_poll(
                    &definition.name,
                    layers,
                    is_responding.then_some((sessions, counted)),
                );
            }
        }
        if self.now < self.last_arrival + self.scenario.deadline {
            self.events.schedule(self.now + POLL_INTERVAL, Event::Poll);
        }
    }

    fn sample_sessions(&mut self) {
        for engine in &mut self.engines {
            engine.sample_sessions(self.now);
        }
        if self.now < self.last_arrival + self.scenario.deadline {
            self.events
                .schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
        }
    }

    fn inject_fault(&mut self) {
        let Some(fault) = self.settings.fault.clone() else {
            return;
        };
        for index in fault.engines {
            self.engines[index].health = fault.health;
            if fault.health == Health::Dead {
                self.running_batches[index] = 0;
                for job in self.engines[index].crash() {
                    self.send_reply(index, job, Some(Loss::ConnectionLost));
                }
            }
        }
    }

    fn finish(mut self) -> Report {
        let window = self.last_arrival.saturating_sub(self.settings.warm_up);
        let mut positions = 0;
        let mut needed = 0;
        for request in &self.requests {
            if request.token_times.len() < request.answer_tokens as usize {
                continue;
            }
            needed += u64::from(request.prompt_tokens + request.answer_tokens - 1);
            for (index, at) in request.token_times.iter().enumerate() {
                let inside = self.settings.warm_up <= *at && *at < self.last_arrival;
                let count = if index == 0 { request.prompt_tokens } else { 1 };
                positions += if inside { u64::from(count) } else { 0 };
            }
        }
        let work: u64 = self
            .engines
            .iter()
            .map(|engine| engine.processed_positions + engine.cached_positions)
            .sum();
        #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
        {
            self.report.goodput = positions as f64 / window.as_secs_f64().max(1e-3);
            // Each position passes through three stages.
            self.report.work_amplification = work as f64 / (needed as f64 * 3.0).max(1.0);
        }
        self.report
    }
}
