//! Loads in virtual time.
//!
//! The decisions are those of an entry: `routing::Table`, `limits::Queue`, `limits::Budget` and
//! `pipeline::Progress`. The engines batch as the stand-ins do. A run needs no sleeps and does not depend on
//! the load of the machine, so a seed gives the same figures again.

pub mod engine;
pub mod event;
pub mod flow;
mod host;
mod step;

use core::time::Duration;

use crate::Plan;
use crate::Report;
use crate::Scenario;
use crate::plan::Kind;
use crate::simulation::engine::Engine;
use crate::simulation::engine::Health;
use crate::simulation::event::Agenda;
use crate::simulation::event::Event;
use crate::simulation::flow::Flow;
use crate::simulation::host::Host;
use agatemill_core::Priority;
use agatemill_core::layer;
use agatemill_limits::queue;
use agatemill_limits::queue::Decision;
use agatemill_limits::queue::Ticket;
use agatemill_pipeline::Progress;
use agatemill_pipeline::progress::Loss;
use agatemill_routing::policy;

/// How often an entry queries each engine, as in the entry.
const POLL: Duration = Duration::from_millis(500);

/// How often an engine keeps its load for late reports.
const SAMPLE: Duration = Duration::from_millis(50);

/// A fault of engines during a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins.
    pub at: Duration,
    /// Indices of the engines.
    pub engines: Vec<usize>,
    /// What they do from then on.
    pub health: Health,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How chains are chosen.
    pub policy: policy::Name,
    /// Entry hosts; requests are spread evenly among them.
    pub entries: usize,
    /// Age of the load in reports.
    pub lag: Duration,
    /// Slots of each entry.
    pub slots: u32,
    /// Requests that wait for a slot at each entry.
    pub waiters: usize,
    /// Positions of a prompt that its prefix covers.
    pub prefix: u32,
    /// Positions that the prefix cache of an engine holds.
    pub cache: u32,
    /// Start of the measured time; it ends with the last arrival.
    pub warm_up: Duration,
    /// Fault of engines.
    pub fault: Option<Fault>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: policy::Name::Measured,
            entries: 4,
            lag: Duration::ZERO,
            slots: 512,
            waiters: 2_048,
            prefix: 0,
            cache: 0,
            warm_up: Duration::from_secs(10),
            fault: None,
        }
    }
}

/// A run.
#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    settings: Settings,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    flows: Vec<Flow>,
    agenda: Agenda,
    now: Duration,
    /// Number of the last step and of the last batch.
    numbers: u64,
    /// The batch that each engine runs.
    batches: Vec<u64>,
    /// Time of the last arrival.
    end: Duration,
    random: fastrand::Rng,
    report: Report,
}

impl Simulation {
    /// Runs a load and reports on it.
    ///
    /// # Errors
    ///
    /// The faults of the scenario's document.
    pub fn run(
        name: &str,
        scenario: &Scenario,
        settings: &Settings,
        plan: &Plan,
    ) -> Result<Report, agatemill_config::Faults> {
        let mut run = Self::new(name, scenario, settings, plan)?;
        while let Some((now, event)) = run.agenda.take() {
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
        let engines = scenario.machines.iter();
        let mut run = Self {
            hosts: hosts.collect(),
            engines: engines
                .map(|machine| Engine::new(machine.throughput, settings.cache))
                .collect(),
            flows: Vec::new(),
            agenda: Agenda::default(),
            now: Duration::ZERO,
            numbers: 0,
            batches: vec![0; scenario.machines.len()],
            end: plan.items.last().map_or(Duration::ZERO, |item| item.at),
            random: fastrand::Rng::with_seed(7),
            report: Report::new(name),
            scenario: scenario.clone(),
            settings: settings.clone(),
        };
        run.report.bound = scenario.bound();
        for item in &plan.items {
            let Kind::Chat {
                prefix,
                positions,
                answer,
                ..
            } = &item.kind
            else {
                continue;
            };
            run.add(item.at, item.organisation, *prefix, *positions, *answer);
        }
        run.agenda.add(Duration::ZERO, Event::Sample);
        run.agenda.add(Duration::ZERO, Event::Poll);
        if let Some(fault) = &run.settings.fault {
            run.agenda.add(fault.at, Event::Fault);
        }
        Ok(run)
    }

    fn add(&mut self, at: Duration, organisation: u32, prefix: u32, prompt: u32, answer: u32) {
        let index = self.flows.len();
        self.agenda.add(at, Event::Arrival(index));
        self.agenda
            .add(at + self.scenario.deadline, Event::Deadline(index));
        self.flows.push(Flow {
            at,
            entry: index % self.hosts.len(),
            organisation,
            prefix,
            prompt,
            answer,
            ticket: None,
            chain: None,
            stage: 0,
            positions: 0,
            step: 0,
            sent: Duration::ZERO,
            progress: Progress::default(),
            tokens: Vec::new(),
            ended: false,
        });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.arrive(request),
            Event::Deadline(request) if self.flows[request].ended => {}
            Event::Deadline(request) => self.give_up(request, "deadline_exceeded"),
            Event::Step {
                engine,
                job,
                attempt,
            } => self.step_arrives(engine, job, attempt),
            Event::Batch { engine, number } if self.batches[engine] == number => {
                self.batch_ends(engine);
            }
            Event::Batch { .. } => {}
            Event::Reply { job, loss } => self.reply(job, loss),
            Event::Timeout(job) => self.reply(job, Some(Loss::TimedOut)),
            Event::Retry {
                request,
                budget,
                waits,
            } => self.retry(request, budget, waits),
            Event::Cancel {
                engine,
                request,
                attempt,
            } => self.engines[engine].cancel(request, attempt),
            Event::Poll => self.poll(),
            Event::Sample => self.sample(),
            Event::Fault => self.fail(),
        }
    }

    fn arrive(&mut self, request: usize) {
        let flow = &self.flows[request];
        self.report.sent += 1;
        let asked = queue::Request {
            organisation: format!("o{}", flow.organisation)
                .parse()
                .expect("the name is valid"),
            weight: 1,
            priority: Priority::Normal,
            concurrency: self.scenario.concurrency,
            deadline: flow.at + self.scenario.deadline,
        };
        let host = &mut self.hosts[flow.entry];
        match host.queue.enter(asked, self.now) {
            Decision::Admitted(ticket) => {
                self.flows[request].ticket = Some(ticket);
                self.hosts[self.flows[request].entry]
                    .holders
                    .insert(ticket, request);
                self.open(request);
            }
            Decision::Waiting(ticket) => {
                host.holders.insert(ticket, request);
                self.flows[request].ticket = Some(ticket);
            }
            Decision::ConcurrencyLimited => self.refuse(request, "concurrency_limited"),
            Decision::Overloaded { .. } => self.refuse(request, "overloaded"),
        }
    }

    /// Ends a request without an answer.
    fn give_up(&mut self, request: usize, reason: &str) {
        self.close(request);
        self.refuse(request, reason);
        self.leave(request);
    }

    fn refuse(&mut self, request: usize, reason: &str) {
        self.flows[request].ended = true;
        self.report.refuse(reason);
    }

    /// Gives the slot of a request to the next one.
    fn leave(&mut self, request: usize) {
        let Some(ticket) = self.flows[request].ticket.take() else {
            return;
        };
        let host = &mut self.hosts[self.flows[request].entry];
        host.holders.remove(&ticket);
        if host.queue.cancel(ticket) {
            return;
        }
        let next: Option<Ticket> = host.queue.release(ticket, self.now);
        if let Some(next) = next.and_then(|ticket| host.holders.get(&ticket).copied()) {
            self.open(next);
        }
    }

    fn poll(&mut self) {
        for index in 0..self.engines.len() {
            let (counted, sessions) = self.engines[index].report(self.now, self.settings.lag);
            let answers = !matches!(self.engines[index].health, Health::Dead | Health::Frozen);
            let machine = &self.scenario.machines[index];
            let layers: layer::Range = machine.layers;
            for host in &self.hosts {
                host.polled(
                    &machine.name,
                    layers,
                    answers.then_some((sessions, counted)),
                );
            }
        }
        if self.now < self.end + self.scenario.deadline {
            self.agenda.add(self.now + POLL, Event::Poll);
        }
    }

    fn sample(&mut self) {
        for engine in &mut self.engines {
            engine.sample(self.now);
        }
        if self.now < self.end + self.scenario.deadline {
            self.agenda.add(self.now + SAMPLE, Event::Sample);
        }
    }

    fn fail(&mut self) {
        let Some(fault) = self.settings.fault.clone() else {
            return;
        };
        for index in fault.engines {
            self.engines[index].health = fault.health;
            if fault.health == Health::Dead {
                self.batches[index] = 0;
                for job in self.engines[index].die() {
                    self.answer(index, job, Some(Loss::ConnectionLost));
                }
            }
        }
    }

    fn finish(mut self) -> Report {
        let window = self.end.saturating_sub(self.settings.warm_up);
        let mut positions = 0;
        let mut needed = 0;
        for flow in &self.flows {
            if flow.tokens.len() < flow.answer as usize {
                continue;
            }
            needed += u64::from(flow.prompt + flow.answer - 1);
            for (index, at) in flow.tokens.iter().enumerate() {
                let inside = self.settings.warm_up <= *at && *at < self.end;
                let count = if index == 0 { flow.prompt } else { 1 };
                positions += if inside { u64::from(count) } else { 0 };
            }
        }
        let work: u64 = self
            .engines
            .iter()
            .map(|engine| engine.work + engine.cached)
            .sum();
        #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
        {
            self.report.goodput = positions as f64 / window.as_secs_f64().max(1e-3);
            // Each position passes three stages.
            self.report.work = work as f64 / (needed as f64 * 3.0).max(1.0);
        }
        self.report
    }
}
