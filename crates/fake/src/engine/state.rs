//! State of a fake engine.

use core::time::Duration;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use compact_str::CompactString;

use crate::engine::Execution;
use crate::engine::Faults;
use crate::engine::Settings;
use crate::engine::faults::consume;
use crate::engine::input::Inputs;
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

/// State of a fake engine.
#[derive(Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) faults: Faults,
    pub(crate) queue: Queue,
    pub(crate) prefixes: Prefixes,
    pub(crate) executions: Vec<Execution>,
    model: id::Model,
    version: id::Version,
    /// Loaded layers; `None` during a load.
    layers: Option<layer::Range>,
    /// Whether a drain order is active.
    draining: bool,
    fence: Fence,
    sessions: HashMap<id::Session, Session>,
    /// Cancelled sessions, which a delayed step must not create again.
    cancelled: HashSet<id::Session>,
    /// The previous reply, for the fault that repeats it.
    previous_reply: Option<Reply>,
    /// Earlier states for delayed load reports, oldest first.
    samples: VecDeque<Sample>,
}

#[derive(Debug)]
struct Sample {
    at: Duration,
    status: Status,
}

/// Result of a step.
#[derive(Debug)]
pub struct Outcome {
    /// How the response is sent.
    pub delivery: Delivery,
    /// Duration of the step.
    pub duration: Duration,
}

/// Builds a failure.
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
            previous_reply: None,
            samples: VecDeque::new(),
            settings,
        };
        // Delayed reports need the state before the first change.
        state.record_sample(Duration::ZERO);
        state
    }

    /// Checks that a step may run now: its layers are loaded, its session accepts it, and its position is the next one.
    pub(crate) fn check(&self, step: &Step) -> Result<(), Failure> {
        let is_loaded = self
            .layers
            .is_some_and(|layers| layers.contains(step.layers));
        if step.model != self.model || step.version != self.version || !is_loaded {
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
                if session.attempt == step.attempt
                    && session.is_at_position(step.layers, position) =>
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
        let inputs = match Inputs::new(step, session.end) {
            Ok(inputs) => inputs,
            Err(failure) => {
                if step.position.0 > 0 {
                    self.sessions.insert(step.session.clone(), session);
                }
                return Err(failure);
            }
        };
        session.attempt = step.attempt;
        session.end = inputs.end;
        let outputs: Vec<u64> = inputs
            .values
            .iter()
            .map(|input| session.run(step.layers, *input))
            .collect();
        self.sessions.insert(step.session.clone(), session);
        let cached = if step.position.0 == 0 {
            self.prefixes.access(step.layers, &inputs.values, now)
        } else {
            0
        };
        let count = inputs.count();
        self.record_execution(step, count);
        let reply = Reply {
            session: step.session.clone(),
            attempt: step.attempt,
            position: step.position,
            count,
            cached,
            output: output(step, &inputs, &outputs),
        };
        Ok(Outcome {
            duration: self.step_duration(step.layers, count - cached),
            delivery: self.apply_response_faults(reply),
        })
    }

    fn record_execution(&mut self, step: &Step, count: u32) {
        self.executions.push(Execution {
            order: self.executions.len() as u64,
            session: step.session.clone(),
            attempt: step.attempt,
            layers: step.layers,
            position: step.position,
            count,
        });
    }

    fn step_duration(&self, layers: layer::Range, positions: u32) -> Duration {
        if self.settings.instant {
            return Duration::ZERO;
        }
        let share = f64::from(layers.count()) / f64::from(self.settings.layers.count());
        let rate = self.settings.throughput.per_second().max(1e-3);
        let seconds = f64::from(positions) * share / rate * self.faults.slow;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Applies the faults that affect responses.
    fn apply_response_faults(&mut self, reply: Reply) -> Delivery {
        let previous = self.previous_reply.replace(reply.clone());
        let faults = &mut self.faults;
        if consume(&mut faults.lose) {
            Delivery::Dropped
        } else if consume(&mut faults.late) {
            Delivery::Delayed(reply, Duration::from_millis(faults.late_ms))
        } else if consume(&mut faults.repeat) {
            Delivery::Complete(previous.unwrap_or(reply))
        } else if consume(&mut faults.cross) {
            Delivery::Complete(with_other_session(reply))
        } else if consume(&mut faults.shift) {
            let position = reply.position.next();
            Delivery::Complete(Reply { position, ..reply })
        } else if consume(&mut faults.cut) {
            Delivery::Truncated(reply)
        } else {
            Delivery::Complete(reply)
        }
    }

    /// Cancels a session, whether or not it exists.
    pub(crate) fn cancel(&mut self, session: &id::Session) {
        self.sessions.remove(session);
        self.cancelled.insert(session.clone());
        self.queue.cancel(session);
        self.record_sample(agatemill_runtime::now());
    }

    /// Exports the cache of a session.
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
        self.record_sample(agatemill_runtime::now());
        Ok(())
    }

    /// Checks the fencing number of an order and executes it. A load only removes the layers and sessions;
    /// [`State::finish_load`] completes it after the load delay.
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

    /// Completes a load.
    pub(crate) fn finish_load(
        &mut self,
        model: id::Model,
        version: id::Version,
        layers: layer::Range,
    ) {
        self.model = model;
        self.version = version;
        self.layers = Some(layers);
    }

    /// Number of open sessions.
    pub(crate) fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Current status.
    fn status(&self) -> Status {
        Status {
            server: self.settings.server.clone(),
            model: self.model.clone(),
            version: self.version.clone(),
            layers: self.layers,
            draining: self.draining || self.faults.drain,
            running: self.queue.running,
            waiting: self.queue.depth(),
            sessions: u32::try_from(self.sessions.len()).unwrap_or(u32::MAX),
            capacity: self.settings.batch,
            age_ms: 0,
            fence: self.fence,
        }
    }

    /// Records the status for delayed reports and discards samples that are no longer needed.
    pub(crate) fn record_sample(&mut self, now: Duration) {
        let status = self.status();
        self.samples.push_back(Sample { at: now, status });
        let lag = Duration::from_millis(self.settings.report_lag);
        let horizon = now.saturating_sub(lag);
        while self.samples.get(1).is_some_and(|next| next.at <= horizon) {
            self.samples.pop_front();
        }
    }

    /// Status report whose load figures are as old as the settings specify.
    pub(crate) fn report(&self, now: Duration) -> Status {
        let current = self.status();
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

fn output(step: &Step, inputs: &Inputs, outputs: &[u64]) -> Output {
    if !step.last {
        let data = inputs.activation(outputs);
        return Output::Activation { data };
    }
    let id = model::token(*outputs.last().expect("a step has at least one position"));
    Output::Token {
        id,
        text: model::text(id),
        end: step.position.0 + inputs.count() + 1 >= inputs.end,
    }
}

/// The reply with the name of another session.
fn with_other_session(reply: Reply) -> Reply {
    let session = "crossed-0".parse().expect("the name is valid");
    Reply { session, ..reply }
}
