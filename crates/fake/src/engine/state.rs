//! State of a stand-in engine.

use core::time::Duration;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use compact_str::CompactString;

use crate::engine::Execution;
use crate::engine::Faults;
use crate::engine::Settings;
use crate::engine::faults::take;
use crate::engine::input::Run;
use crate::engine::prefix::Prefixes;
use crate::engine::queue::Delivery;
use crate::engine::queue::Queue;
use crate::engine::session::Session;
use crate::model;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Fence;
use agatemill_engine::Failure;
use agatemill_engine::Order;
use agatemill_engine::Output;
use agatemill_engine::Reply;
use agatemill_engine::Status;
use agatemill_engine::Step;
use agatemill_engine::failure::Code;
use agatemill_engine::order::Action;
use agatemill_engine::transfer::Cache;

/// State of a stand-in engine.
#[derive(Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) faults: Faults,
    pub(crate) queue: Queue,
    pub(crate) prefixes: Prefixes,
    pub(crate) executions: Vec<Execution>,
    model: id::Model,
    version: id::Version,
    /// Layers that are loaded; `None` during a load.
    layers: Option<layer::Range>,
    /// Whether an order to drain is in force.
    draining: bool,
    fence: Fence,
    sessions: HashMap<id::Session, Session>,
    /// Sessions that were cancelled; a late step must not create them again.
    cancelled: HashSet<id::Session>,
    /// The reply before, for answers that arrive twice.
    last: Option<Reply>,
    /// Earlier states for late reports, oldest first.
    samples: VecDeque<Sample>,
}

#[derive(Debug)]
struct Sample {
    at: Duration,
    status: Status,
}

/// A step that ran.
#[derive(Debug)]
pub struct Outcome {
    /// How the answer goes out.
    pub delivery: Delivery,
    /// Time that the step takes.
    pub time: Duration,
}

/// An error answer.
pub(crate) fn failure(code: Code, detail: impl Into<CompactString>) -> Failure {
    Failure {
        code,
        detail: detail.into(),
    }
}

impl State {
    /// Creates the state of an engine without sessions.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let mut state = Self {
            faults: Faults::default(),
            queue: Queue::default(),
            prefixes: Prefixes::new(settings.cache),
            executions: Vec::new(),
            model: settings.model.clone(),
            version: settings.version.clone(),
            layers: Some(settings.layers),
            draining: false,
            fence: Fence::default(),
            sessions: HashMap::new(),
            cancelled: HashSet::new(),
            last: None,
            samples: VecDeque::new(),
            settings,
        };
        // Late reports show the state before the first change.
        state.sample(Duration::ZERO);
        state
    }

    /// Whether the step may run now.
    pub(crate) fn check(&self, step: &Step) -> Result<(), Failure> {
        let holds = self
            .layers
            .is_some_and(|layers| layers.contains(step.layers));
        if step.model != self.model || step.version != self.version || !holds {
            return Err(failure(Code::NotHoldingLayers, "layers are not loaded"));
        }
        if self.cancelled.contains(&step.session) {
            return Err(failure(Code::Cancelled, "the session was cancelled"));
        }
        let position = step.position.0;
        match self.sessions.get(&step.session) {
            None if position > 0 => Err(failure(Code::SessionUnknown, "no such session")),
            None if self.draining || self.faults.drain => {
                log::info!(session:% = step.session; "fake: refused a session while draining");
                Err(failure(Code::Draining, "no new sessions"))
            }
            None => Ok(()),
            Some(session)
                if session.attempt == step.attempt && session.is_at(step.layers, position) =>
            {
                Ok(())
            }
            Some(_) => Err(failure(Code::PositionMismatch, "not the next position")),
        }
    }

    /// Runs a step.
    pub(crate) fn run(&mut self, step: &Step, now: Duration) -> Result<Outcome, Failure> {
        self.check(step)?;
        let mut session = self.sessions.remove(&step.session).unwrap_or_default();
        let run = match Run::new(step, session.end) {
            Ok(run) => run,
            Err(failure) => {
                if step.position.0 > 0 {
                    self.sessions.insert(step.session.clone(), session);
                }
                return Err(failure);
            }
        };
        session.attempt = step.attempt;
        session.end = run.end;
        let outputs: Vec<u64> = run
            .inputs
            .iter()
            .map(|input| session.run(step.layers, *input))
            .collect();
        self.sessions.insert(step.session.clone(), session);
        let cached = if step.position.0 == 0 {
            self.prefixes.visit(step.layers, &run.inputs, now)
        } else {
            0
        };
        let count = run.count();
        self.record(step, count);
        let reply = Reply {
            session: step.session.clone(),
            attempt: step.attempt,
            position: step.position,
            count,
            cached,
            output: output(step, &run, &outputs),
        };
        Ok(Outcome {
            time: self.time(step.layers, count - cached),
            delivery: self.deliver(reply),
        })
    }

    fn record(&mut self, step: &Step, count: u32) {
        self.executions.push(Execution {
            order: self.executions.len() as u64,
            session: step.session.clone(),
            attempt: step.attempt,
            layers: step.layers,
            position: step.position,
            count,
        });
    }

    fn time(&self, layers: layer::Range, positions: u32) -> Duration {
        if self.settings.instant {
            return Duration::ZERO;
        }
        let share = f64::from(layers.count()) / f64::from(self.settings.layers.count());
        let rate = self.settings.throughput.per_second().max(1e-3);
        let seconds = f64::from(positions) * share / rate * self.faults.slow;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Applies the faults of answers.
    fn deliver(&mut self, reply: Reply) -> Delivery {
        let last = self.last.replace(reply.clone());
        let faults = &mut self.faults;
        if take(&mut faults.lose) {
            Delivery::Lose
        } else if take(&mut faults.late) {
            Delivery::Late(reply, Duration::from_millis(faults.late_ms))
        } else if take(&mut faults.repeat) {
            Delivery::Whole(last.unwrap_or(reply))
        } else if take(&mut faults.cross) {
            Delivery::Whole(crossed(reply))
        } else if take(&mut faults.shift) {
            let position = reply.position.next();
            Delivery::Whole(Reply { position, ..reply })
        } else if take(&mut faults.cut) {
            Delivery::Cut(reply)
        } else {
            Delivery::Whole(reply)
        }
    }

    /// Ends a session, whether or not it exists.
    pub(crate) fn cancel(&mut self, session: &id::Session) {
        self.sessions.remove(session);
        self.cancelled.insert(session.clone());
        self.queue.cancel(session);
        self.sample(agatemill_runtime::now());
    }

    /// The cache of a session.
    pub(crate) fn export(&self, name: &id::Session) -> Result<Cache, Failure> {
        let session = self.sessions.get(name);
        let session = session.ok_or_else(|| failure(Code::SessionUnknown, "no such session"))?;
        let data = rmp_serde::to_vec(session);
        Ok(Cache {
            session: name.clone(),
            attempt: session.attempt,
            position: agatemill_core::number::Position(session.positions()),
            data: data.map_err(|error| failure(Code::Internal, error.to_string()))?,
        })
    }

    /// Creates a session from a cache.
    pub(crate) fn import(&mut self, cache: &Cache) -> Result<(), Failure> {
        if self.draining || self.faults.drain {
            return Err(failure(Code::Draining, "no new sessions"));
        }
        let session: Session = rmp_serde::from_slice(&cache.data)
            .map_err(|error| failure(Code::BadRequest, error.to_string()))?;
        let attempt = cache.attempt;
        let session = Session { attempt, ..session };
        self.sessions.insert(cache.session.clone(), session);
        self.sample(agatemill_runtime::now());
        Ok(())
    }

    /// Checks the fencing number of an order and carries it out, except for the delay of a load: the layers
    /// are gone until [`State::loaded`].
    pub(crate) fn order(&mut self, order: &Order) -> Result<(), Failure> {
        if !self.settings.ignore_fencing {
            if order.fence < self.fence {
                return Err(failure(Code::Fenced, "a newer planner has given orders"));
            }
            self.fence = order.fence;
        }
        match &order.action {
            Action::Load { .. } => {
                self.layers = None;
                self.sessions.clear();
            }
            Action::Drain => self.draining = true,
            Action::Resume => self.draining = false,
        }
        Ok(())
    }

    /// Ends a load.
    pub(crate) fn loaded(&mut self, model: id::Model, version: id::Version, layers: layer::Range) {
        self.model = model;
        self.version = version;
        self.layers = Some(layers);
    }

    /// Number of open sessions.
    pub(crate) fn open(&self) -> usize {
        self.sessions.len()
    }

    /// State now.
    fn current(&self) -> Status {
        Status {
            server: self.settings.server.clone(),
            model: self.model.clone(),
            version: self.version.clone(),
            layers: self.layers,
            draining: self.draining || self.faults.drain,
            running: self.queue.running,
            waiting: self.queue.waiting(),
            sessions: u32::try_from(self.sessions.len()).unwrap_or(u32::MAX),
            capacity: self.settings.batch,
            age_ms: 0,
            fence: self.fence,
        }
    }

    /// Keeps the state for late reports.
    pub(crate) fn sample(&mut self, now: Duration) {
        let status = self.current();
        self.samples.push_back(Sample { at: now, status });
        let lag = Duration::from_millis(self.settings.report_lag);
        let horizon = now.saturating_sub(lag);
        while self.samples.get(1).is_some_and(|next| next.at <= horizon) {
            self.samples.pop_front();
        }
    }

    /// The report, with load figures as old as the settings say.
    pub(crate) fn report(&self, now: Duration) -> Status {
        let current = self.current();
        let lag = Duration::from_millis(self.settings.report_lag);
        let horizon = now.saturating_sub(lag);
        let old = self.samples.iter().rev().find(|old| old.at <= horizon);
        match old.or(self.samples.front()) {
            Some(old) if !lag.is_zero() => Status {
                running: old.status.running,
                waiting: old.status.waiting,
                sessions: old.status.sessions,
                age_ms: millis(now.saturating_sub(old.at)),
                ..current
            },
            _ => current,
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn output(step: &Step, run: &Run, outputs: &[u64]) -> Output {
    if !step.last {
        let data = run.activation(outputs);
        return Output::Activation { data };
    }
    let id = model::token(*outputs.last().expect("a run has at least one position"));
    Output::Token {
        id,
        text: model::text(id),
        end: step.position.0 + run.count() + 1 >= run.end,
    }
}

/// The reply under the name of another session.
fn crossed(reply: Reply) -> Reply {
    let session = "crossed-0".parse().expect("the name is valid");
    Reply { session, ..reply }
}
