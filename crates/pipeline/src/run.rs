//! Execution of a single generation.

use core::time::Duration;
use std::sync::Arc;

use compact_str::CompactString;
use compact_str::format_compact;
use smol::channel::Sender;

use crate::Event;
use crate::Generation;
use crate::Mismatch;
use crate::Progress;
use crate::Request;
use crate::backoff;
use crate::event::Finish;
use crate::event::Usage;
use crate::hold::Guard;
use crate::hold::Retired;
use crate::progress::Loss;
use crate::progress::Verdict;
use crate::transfer;
use crate::watchdog;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_engine::Error;
use agatemill_engine::Input;
use agatemill_engine::Output;
use agatemill_engine::Reply;
use agatemill_engine::Step;
use agatemill_routing::Chain;
use agatemill_routing::Stage;

/// Maximum number of waits for the retry budget before a request fails.
const MAX_BUDGET_WAITS: u32 = 20;

/// Estimated bytes of prompt text per position, used until an engine has counted the positions.
const BYTES_PER_POSITION: usize = 4;

/// A single generation.
pub struct Run<'a> {
    shared: &'a Generation,
    request: &'a Request,
    caller: &'a Sender<Result<Event, Refusal>>,
    progress: Progress,
    retired: Retired,
    /// Model version that generated the first token. Another version would continue a different answer.
    version: Option<id::Version>,
    started: Duration,
    /// When the last token was sent to the caller.
    last_token: Option<Duration>,
}

/// Why a generation ends without a complete answer.
enum Stop {
    /// The caller receives a refusal.
    Refused(Refusal),
    /// The caller has closed its receiver or stopped reading.
    CallerLeft,
}

/// Why an attempt ends without a complete answer.
enum Interruption {
    /// The next attempt starts on another chain.
    Move { budget: bool },
    /// The caches are copied first, then the next attempt continues the pass.
    Transfer(Resume),
    /// The request ends.
    Stop(Stop),
}

impl From<Stop> for Interruption {
    fn from(stop: Stop) -> Self {
        Self::Stop(stop)
    }
}

/// Where an attempt starts.
struct Resume {
    /// First layer that has not run the input yet.
    layer: u32,
    input: Input,
}

/// What the last stage returned.
struct Token {
    id: u32,
    text: CompactString,
    end: bool,
}

impl<'a> Run<'a> {
    pub fn new(
        shared: &'a Generation,
        request: &'a Request,
        caller: &'a Sender<Result<Event, Refusal>>,
    ) -> Self {
        Self {
            shared,
            request,
            caller,
            progress: Progress::default(),
            retired: Retired::default(),
            version: None,
            started: agatemill_runtime::now(),
            last_token: None,
        }
    }

    /// Runs until the answer ends or the caller leaves.
    pub async fn run(mut self) -> Outcome {
        let caller = self.caller;
        let left = async {
            caller.closed().await;
            Err(Stop::CallerLeft)
        };
        let ended = smol::future::or(self.drive(), left).await;
        match ended {
            Ok(()) => Outcome::resolve(Phase::Answered, Cause::Finished),
            Err(Stop::CallerLeft) => Outcome::resolve(self.progress.phase(), Cause::CallerLeft),
            Err(Stop::Refused(refusal)) => {
                let outcome = refusal.outcome;
                // A caller that has left needs no refusal; a slow one gets it with its next read.
                let send = self.caller.send(Err(refusal));
                let _ = agatemill_runtime::timeout(self.shared.settings.step_timeout, send).await;
                outcome
            }
        }
    }

    async fn drive(&mut self) -> Result<(), Stop> {
        if self.request.max_tokens == 0 {
            return self.end(Finish::Length).await;
        }
        let mut guard = self.open_chain()?;
        let mut resume = self.start();
        loop {
            match self.attempt(&guard, resume).await {
                Ok(finish) => {
                    guard.close();
                    // A retry costs as much as a complete answer, so each complete answer adds to the retry budget.
                    self.shared.budget().record_success();
                    return self.end(finish).await;
                }
                Err(Interruption::Stop(stop)) => return Err(stop),
                Err(Interruption::Move { budget }) => {
                    self.retire(guard);
                    self.back_off(budget).await?;
                    (guard, resume) = (self.open_chain()?, self.start());
                }
                Err(Interruption::Transfer(next)) => {
                    (guard, resume) = self.transfer(guard, next).await?;
                }
            }
        }
    }

    /// Copies the sessions to another chain, or recomputes them if the copy fails.
    async fn transfer(&mut self, old: Guard, next: Resume) -> Result<(Guard, Resume), Stop> {
        let new = self.open_chain()?;
        let limit = self.shared.settings.step_timeout.min(self.remaining()?);
        let copy = transfer::copy(&self.shared.client, &old, &new, &self.progress, limit);
        let result = copy.await;
        self.retire(old);
        let Err(error) = result else {
            self.shared.metrics.count_event("pipeline", "transferred");
            return Ok((new, next));
        };
        log::warn!(session:% = new.sessions().name(), error:%; "pipeline: failed to transfer session caches");
        self.shared
            .metrics
            .count_event("pipeline", "transfer_failed");
        self.retire(new);
        self.progress.recompute();
        Ok((self.open_chain()?, self.start()))
    }

    /// Closes the chain of an attempt and keeps its sessions for the second cancellation.
    fn retire(&mut self, guard: Guard) {
        self.retired.push(guard.sessions().clone());
        guard.close();
    }

    /// The starting point of an attempt without caches.
    fn start(&self) -> Resume {
        let input = Input::Prompt {
            text: self.request.prompt.clone(),
            generated: self.progress.generated().to_vec(),
        };
        Resume { layer: 0, input }
    }

    /// Chooses a chain. Lost engines are excluded as long as the others cover the model; if they do not, lost
    /// engines are readmitted in the order in which they were lost.
    fn open_chain(&mut self) -> Result<Guard, Stop> {
        self.remaining()?;
        let name = format_compact!("{}-{}", self.request.id, self.progress.attempt());
        let name = id::Session::try_from(name)
            .map_err(|error| self.refuse(Reason::BadRequest, error.to_string()))?;
        let avoid = self.progress.excluded().to_vec();
        for skipped in 0..=avoid.len() {
            if let Some(chain) = self.choose(&avoid[skipped..]) {
                self.progress.record_chain(skipped > 0);
                let table = Arc::clone(&self.shared.table);
                return Ok(Guard::new(table, chain, self.shared.client.clone(), name));
            }
        }
        Err(self.refuse(Reason::NoChain, "no chain of engines covers the model"))
    }

    fn choose(&self, exclude: &[id::Server]) -> Option<Chain> {
        let request = agatemill_routing::Request {
            half: self.request.half.clone(),
            model: self.request.model.clone(),
            prefix: self.request.prefix,
            exclude: exclude.to_vec(),
        };
        let now = agatemill_runtime::now();
        let chain = self.shared.table.choose(&request, now)?;
        if self
            .version
            .as_ref()
            .is_some_and(|version| version != chain.version())
        {
            self.shared.table.record_close(&chain, now);
            return None;
        }
        Some(chain)
    }

    /// Runs passes until the answer ends or the attempt fails.
    async fn attempt(&mut self, guard: &Guard, resume: Resume) -> Result<Finish, Interruption> {
        let mut resume = resume;
        loop {
            let token = self.pass(guard, resume).await?;
            self.version
                .get_or_insert_with(|| guard.chain().version().clone());
            let input = Input::Token { id: token.id };
            resume = Resume { layer: 0, input };
            let end = token.end;
            self.send_token(token).await?;
            if end {
                return Ok(Finish::Stop);
            }
            if self.progress.generated().len() >= self.request.max_tokens as usize {
                return Ok(Finish::Length);
            }
        }
    }

    /// Runs the input through every layer, starting with the layer in `resume`.
    async fn pass(&mut self, guard: &Guard, resume: Resume) -> Result<Token, Interruption> {
        let stages = guard.chain().stages();
        let Resume { layer, mut input } = resume;
        for (index, stage) in stages.iter().enumerate() {
            if stage.layers.start() < layer {
                continue;
            }
            let last = index + 1 == stages.len();
            let step = self.step(guard, stage, input, last)?;
            let reply = self.send(stage, &step).await?;
            self.progress.record_reply(stage.layers, reply.count);
            match reply.output {
                Output::Activation { data } => {
                    let count = reply.count;
                    input = Input::Activation { count, data };
                }
                Output::Token { id, text, end } => {
                    self.progress.record_token(id);
                    return Ok(Token { id, text, end });
                }
            }
        }
        Err(self
            .refuse(Reason::BackendFailed, "the chain has no last stage")
            .into())
    }

    fn step(&self, guard: &Guard, stage: &Stage, input: Input, last: bool) -> Result<Step, Stop> {
        let order = self.progress.check_order(stage.layers);
        order.map_err(|error| self.refuse(Reason::BackendFailed, error.to_string()))?;
        let remaining = self.remaining()?;
        Ok(Step {
            session: guard.sessions().name().clone(),
            attempt: self.progress.attempt(),
            model: guard.chain().model().clone(),
            version: guard.chain().version().clone(),
            layers: stage.layers,
            position: self.progress.position(),
            input,
            last,
            priority: self.request.priority,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            temperature: self.request.temperature,
            seed: self.request.seed,
        })
    }

    /// Sends a step and checks the reply.
    async fn send(&mut self, stage: &Stage, step: &Step) -> Result<Reply, Interruption> {
        let (probe_delay, limit) = self.step_limits(stage, step);
        let limit = limit.min(self.remaining()?);
        let sent = agatemill_runtime::now();
        self.progress.record_send();
        let client = &self.shared.client;
        let status_timeout = self.shared.settings.status_timeout();
        let reply = async {
            let reply = client.step(stage.address, step, limit).await;
            reply.map_err(|error| {
                log::warn!(server:% = stage.server, session:% = step.session, error:%; "pipeline: step failed");
                loss(&error)
            })
        };
        let frozen = async {
            watchdog::wait_until_frozen(client, stage, probe_delay, status_timeout).await;
            log::warn!(server:% = stage.server, session:% = step.session; "pipeline: status queries failed");
            Err(Loss::Frozen)
        };
        let result = smol::future::or(reply, frozen).await;
        let loss = match result {
            Ok(reply) => {
                let mismatch = Mismatch::find(
                    step,
                    &reply,
                    self.progress.count().or((step.position.0 > 0).then_some(1)),
                    self.progress.min_positions(),
                );
                let Some(mismatch) = mismatch else {
                    self.succeeded(stage, &reply, sent);
                    return Ok(reply);
                };
                self.shared.metrics.count_dropped_answer(mismatch.as_str());
                Loss::Mismatched
            }
            Err(loss) => loss,
        };
        Err(self.lost(stage, step, loss))
    }

    fn succeeded(&self, stage: &Stage, reply: &Reply, sent: Duration) {
        if reply.position.0 == 0 {
            return;
        }
        let time = agatemill_runtime::now().saturating_sub(sent);
        self.shared.latency().observe(&stage.server, time);
        self.shared.table.record_success(&stage.server, time);
    }

    fn lost(&mut self, stage: &Stage, step: &Step, loss: Loss) -> Interruption {
        let moves = self.shared.settings.max_moves;
        // A deadline that passes during a step says nothing about the engine.
        let expired = loss == Loss::TimedOut && self.remaining().is_err();
        match self.progress.handle_loss(&stage.server, loss, moves) {
            _ if expired => self
                .refuse(Reason::DeadlineExceeded, "the deadline passed")
                .into(),
            Verdict::GiveUp(reason) => {
                let detail = format_compact!("{} did not run a step", stage.server);
                self.refuse(reason, detail).into()
            }
            Verdict::Transfer { reason } => {
                self.shared.metrics.count_retry(reason);
                Interruption::Transfer(Resume {
                    layer: stage.layers.start(),
                    input: step.input.clone(),
                })
            }
            Verdict::Move {
                reason,
                failed,
                budget,
            } => {
                self.shared.metrics.count_retry(reason);
                if failed {
                    let now = agatemill_runtime::now();
                    self.shared.table.record_failure(&stage.server, now);
                }
                Interruption::Move { budget }
            }
        }
    }

    /// The probe delay and the timeout of a step.
    fn step_limits(&self, stage: &Stage, step: &Step) -> (Duration, Duration) {
        let estimate =
            self.request.prompt.len() / BYTES_PER_POSITION + self.progress.generated().len();
        let positions = match (self.progress.count(), step.position.0) {
            (Some(count), _) => count,
            (None, 0) => u32::try_from(estimate).unwrap_or(u32::MAX),
            (None, _) => 1,
        };
        let settings = &self.shared.settings;
        let latency = self.shared.latency();
        let probe_delay = latency.probe_delay(&stage.server, positions, settings);
        (
            probe_delay,
            latency.step_timeout(&stage.server, positions, settings),
        )
    }

    /// Backs off before the next attempt, and waits for the retry budget if the move consumes it.
    async fn back_off(&mut self, budget: bool) -> Result<(), Stop> {
        let base = self.shared.settings.base_backoff;
        for waits in 0..MAX_BUDGET_WAITS {
            let wait = backoff::wait(base, self.progress.moves() + waits, fastrand::f64());
            agatemill_runtime::sleep(wait.min(self.remaining()?)).await;
            if !budget || self.shared.budget().take() {
                return Ok(());
            }
        }
        Err(self.refuse(Reason::RetriesExhausted, "the retry budget is used up"))
    }

    /// Sends a token to the caller, unless the caller already has it.
    async fn send_token(&mut self, token: Token) -> Result<(), Stop> {
        let index = self.progress.min_positions().saturating_sub(2);
        if index < self.request.skip {
            return Ok(());
        }
        let Token { id, text, .. } = token;
        self.send_event(Event::Token { index, id, text }).await?;
        let now = agatemill_runtime::now();
        match self.last_token.replace(now) {
            None => self
                .shared
                .metrics
                .record_first_token(now.saturating_sub(self.started)),
            Some(last) => self
                .shared
                .metrics
                .record_next_token(now.saturating_sub(last)),
        }
        Ok(())
    }

    async fn end(&mut self, reason: Finish) -> Result<(), Stop> {
        let usage = Usage {
            prompt: self.progress.prompt(),
            generated: self.progress.min_positions() - 1,
        };
        self.send_event(Event::End { reason, usage }).await
    }

    /// Sends an event. A caller that does not read before the deadline counts as gone.
    async fn send_event(&self, event: Event) -> Result<(), Stop> {
        let remaining = self.remaining()?;
        let send = self.caller.send(Ok(event));
        match agatemill_runtime::timeout(remaining, send).await {
            Some(Ok(())) => Ok(()),
            Some(Err(_)) | None => Err(Stop::CallerLeft),
        }
    }

    fn remaining(&self) -> Result<Duration, Stop> {
        let remaining = self.request.deadline.checked_sub(agatemill_runtime::now());
        remaining
            .filter(|remaining| !remaining.is_zero())
            .ok_or_else(|| self.refuse(Reason::DeadlineExceeded, "the deadline passed"))
    }

    fn refuse(&self, reason: Reason, detail: impl Into<CompactString>) -> Stop {
        let phase = self.progress.phase();
        Stop::Refused(Refusal::new(reason, phase, Progress::cause(reason), detail))
    }
}

fn loss(error: &Error) -> Loss {
    match error {
        Error::Connect(_) => Loss::ConnectFailed,
        Error::Refused(failure) => Loss::Refused(failure.code),
        Error::TimedOut => Loss::TimedOut,
        Error::Lost(_) => Loss::ConnectionLost,
        Error::Malformed(_) => Loss::Mismatched,
    }
}
