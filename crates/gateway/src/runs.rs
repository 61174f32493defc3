//! The runs of one stream, from which the first to deliver an event continues the stream.

use core::future::Future;
use core::future::poll_fn;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::StatusCode;
use hyper::http::response::Parts;
use smol::Timer;

use crate::State;
use crate::backoff;
use crate::choice::Size;
use crate::exchange::Job;
use crate::run::Run;
use crate::run::Step;
use crate::stream;
use crate::stream::Obstacle;
use crate::stream::Search;
use crate::stream::Start;
use agatemill_core::Cause;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::Attempts;
use agatemill_fleet::Model;
use agatemill_fleet::admission::Claim;
use agatemill_fleet::budget::Purpose;

/// Pause between searches for a run that continues a stream. Each search repeats its own attempts.
const SEARCH_PAUSE: Duration = Duration::from_millis(250);

/// The runs of one stream.
///
/// A run is dropped only when it has ended, or when another one has delivered the next event. While the engine of a run
/// is silent, a second run continues after the last event that was passed on, if the route allows it.
///
/// Invariant: events are passed on from one run at a time, each after the last one that was passed on, since a run that
/// does not deliver the next event first is dropped.
pub struct Runs {
    state: Arc<State>,
    job: Arc<Job>,
    model: Arc<Model>,
    size: Size,
    attempts: Attempts,
    /// Runs that have not ended.
    active: Vec<Run>,
    /// Search for a path of another run.
    search: Option<BoxFuture<'static, Result<Start, Obstacle>>>,
    deadline: Timer,
    /// Whether the head of a response was passed on.
    has_head: bool,
    /// What follows a head that was held back.
    next: Option<Output>,
    /// Id of the last event that was passed on.
    last_event: Option<CompactString>,
    /// Longest pause between events of one run.
    longest_pause: Duration,
    /// Whether it was logged why no second run began.
    has_logged_obstacle: bool,
    /// When the last run ended that may have begun.
    ended_at: Duration,
}

/// Output of the runs.
pub enum Output {
    /// The head of a stream.
    Head(Parts),
    /// A response that is no stream.
    Other(Parts, agatemill_http::Body),
    /// Complete events.
    Events(Bytes),
    /// The stream is complete.
    Complete,
}

enum Signal {
    Run(usize, Step),
    Search(Result<Start, Obstacle>),
    Deadline,
}

impl Runs {
    /// Starts the first run.
    #[must_use]
    pub fn new(state: &Arc<State>, job: &Arc<Job>, model: &Arc<Model>) -> Self {
        let left = job.time_left(agatemill_runtime::now());
        let mut runs = Self {
            state: Arc::clone(state),
            job: Arc::clone(job),
            model: Arc::clone(model),
            size: Size::of(job, model),
            attempts: Attempts::default(),
            active: Vec::new(),
            search: None,
            deadline: Timer::after(left),
            has_head: false,
            next: None,
            last_event: None,
            longest_pause: Duration::ZERO,
            has_logged_obstacle: false,
            ended_at: Duration::ZERO,
        };
        runs.search(None, Duration::ZERO);
        runs
    }

    /// Id of the last event that was passed on.
    #[must_use]
    pub fn last_event(&self) -> Option<&str> {
        self.last_event.as_deref()
    }

    /// Longest pause between events of one run.
    #[must_use]
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    /// Returns the next output.
    ///
    /// # Errors
    ///
    /// The refusal of a request whose runs have all ended, if no other run can begin; its outcome says whether the
    /// request may have run.
    pub async fn next(&mut self) -> Result<Output, Refusal> {
        if let Some(output) = self.next.take() {
            return Ok(output);
        }
        loop {
            if let Some(output) = self.take_head() {
                return Ok(output);
            }
            match poll_fn(|cx| self.poll(cx)).await {
                Signal::Deadline => return Err(self.failure(Cause::DeadlinePassed)),
                Signal::Search(Ok(start)) => self.start(start),
                Signal::Search(Err(obstacle)) if self.active.is_empty() => {
                    if !self.may_search_again(&obstacle) {
                        return Err(self.refusal(&obstacle));
                    }
                    self.search(Some(Purpose::Retry), SEARCH_PAUSE);
                }
                Signal::Search(Err(obstacle)) => self.log_obstacle(&obstacle),
                Signal::Run(index, step) => {
                    if let Some(output) = self.act(index, step).await? {
                        return Ok(output);
                    }
                }
            }
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Signal> {
        for (index, run) in self.active.iter_mut().enumerate() {
            if let Poll::Ready(step) = run.poll_step(cx) {
                return Poll::Ready(Signal::Run(index, step));
            }
        }
        if self.active.iter().any(|run| !run.is_silent) {
            self.search = None;
        }
        if let Some(search) = &mut self.search
            && let Poll::Ready(result) = search.poll_unpin(cx)
        {
            self.search = None;
            return Poll::Ready(Signal::Search(result));
        }
        Pin::new(&mut self.deadline)
            .poll(cx)
            .map(|_| Signal::Deadline)
    }

    /// Takes the head of the only run. While there are several, the head of the one that delivers an event is needed.
    fn take_head(&mut self) -> Option<Output> {
        if self.has_head || self.search.is_some() {
            return None;
        }
        let [run] = self.active.as_mut_slice() else {
            return None;
        };
        let head = run.head.take()?;
        self.has_head = true;
        if head.status == StatusCode::OK {
            return Some(Output::Head(head));
        }
        Some(Output::Other(head, run.take_body()?))
    }

    /// Acts on a step of a run.
    async fn act(&mut self, index: usize, step: Step) -> Result<Option<Output>, Refusal> {
        match step {
            Step::Head => {
                self.search = None;
                self.check_head(index).map(|()| None)
            }
            Step::Events(events) => {
                self.keep(index);
                self.longest_pause = self.longest_pause.max(self.active[0].longest_pause);
                if let Some(id) = last_event_id(&events) {
                    self.last_event = Some(id);
                }
                Ok(Some(self.with_head(Output::Events(events))))
            }
            Step::Complete => self.complete(index).await,
            Step::NotRun(cause) => {
                let run = self.active.remove(index);
                self.attempts.record_rejection(&run.path.first().server);
                self.replace(&run, cause, "the request was rejected")?;
                Ok(None)
            }
            Step::Unknown(Cause::DeadlinePassed) => {
                self.active.remove(index);
                Err(self.failure(Cause::DeadlinePassed))
            }
            Step::Unknown(cause) => {
                self.remove_ended(index, cause, "the connection broke")
                    .await
            }
            Step::Unusable => {
                let why = "the response is unusable";
                self.remove_ended(index, Cause::ConnectionLost, why).await
            }
            Step::Broken(why) => self.remove_ended(index, Cause::ConnectionLost, why).await,
            Step::Ended => {
                let why = "the first engine is lost";
                self.remove_ended(index, Cause::ConnectionLost, why).await
            }
            Step::Silent => {
                self.back_up();
                Ok(None)
            }
        }
    }

    /// Ends the stream with a run that is complete. A response whose end is marked by its connection only looks complete also
    /// when its engine crashes, and any without an event may have lost all of them.
    async fn complete(&mut self, index: usize) -> Result<Option<Output>, Refusal> {
        let run = &mut self.active[index];
        let has_begun = run.begun_at.is_some();
        if (!has_begun || run.may_be_cut()) && run.has_lost_instance().await {
            let run = self.active.remove(index);
            self.ended_at = agatemill_runtime::now();
            self.attempts.record_loss(&run.path.first().server);
            self.replace(&run, Cause::ConnectionLost, "the engine crashed")?;
            return Ok(None);
        }
        if has_begun {
            self.active[index].record_survival();
        }
        self.keep(index);
        Ok(Some(self.with_head(Output::Complete)))
    }

    async fn remove_ended(
        &mut self,
        index: usize,
        cause: Cause,
        why: &'static str,
    ) -> Result<Option<Output>, Refusal> {
        let mut run = self.active.remove(index);
        self.ended_at = agatemill_runtime::now();
        if run.has_lost_engine().await {
            self.attempts.record_loss(&run.path.first().server);
        }
        self.replace(&run, cause, why)?;
        Ok(None)
    }

    /// Removes a run whose response is no stream, unless it is the only one and nothing was passed on.
    fn check_head(&mut self, index: usize) -> Result<(), Refusal> {
        let head = self.active[index].head.as_ref();
        let Some(status) = head.map(|head| head.status) else {
            return Ok(());
        };
        if status == StatusCode::OK || (self.active.len() == 1 && !self.has_head) {
            return Ok(());
        }
        log::warn!(
            request:% = self.job.parameters.attempt, status = status.as_u16();
            "stream: cannot resume"
        );
        let run = self.active.remove(index);
        if self.active.is_empty() {
            return Err(self.failure(Cause::ConnectionLost));
        }
        drop(run);
        Ok(())
    }

    /// Keeps the run that delivered something and drops the others.
    fn keep(&mut self, index: usize) {
        self.search = None;
        if self.active.len() > 1 {
            self.active.swap(0, index);
            self.active.truncate(1);
            let event = if index == 0 {
                "backup_unused"
            } else {
                "resumed"
            };
            self.state.metrics.count_event("stream", event);
            log::info!(
                request:% = self.job.parameters.attempt, server:% = self.active[0].path.first().server;
                "stream: continued by the run that responded first"
            );
        }
    }

    /// The output, or a head that was held back until one of several runs delivered it.
    fn with_head(&mut self, output: Output) -> Output {
        if self.has_head {
            return output;
        }
        self.has_head = true;
        match self.active[0].head.take() {
            Some(head) => {
                self.next = Some(output);
                Output::Head(head)
            }
            None => output,
        }
    }

    /// Starts a search for another run after `run` has ended, if there is none that may continue the stream.
    ///
    /// # Errors
    ///
    /// The refusal of the request if no other run may begin.
    fn replace(&mut self, run: &Run, cause: Cause, why: &'static str) -> Result<(), Refusal> {
        self.state.metrics.count_retry("stream");
        log::warn!(
            request:% = self.job.parameters.attempt, server:% = run.path.first().server, why, cause:%,
            last_event:? = self.last_event, has_begun = run.begun_at.is_some(), left = self.active.len(),
            runs = self.attempts.runs(), losses = self.attempts.losses(), rejections = self.attempts.rejections(),
            segments:% = self.job.parameters.parts.summary();
            "stream: run ended"
        );
        if !self.active.is_empty() {
            return Ok(());
        }
        let may_have_run = self.attempts.runs() > 0 && !self.job.route.is_repeatable();
        let is_often_rejected = self.attempts.is_often_rejected();
        if may_have_run || self.has_run_enough() || is_often_rejected && !self.is_awaited() {
            return Err(self.failure(cause));
        }
        let pause = if is_often_rejected {
            SEARCH_PAUSE
        } else {
            Duration::ZERO
        };
        self.search(Some(Purpose::Retry), pause);
        Ok(())
    }

    /// Whether a search that failed because of `obstacle` is repeated: until its caller leaves, engines may respond again and
    /// retries become free.
    fn may_search_again(&self, obstacle: &Obstacle) -> bool {
        let is_lasting = matches!(obstacle, Obstacle::Quarantined(_) | Obstacle::Attempts);
        !is_lasting && self.is_awaited()
    }

    /// Whether the stream has begun, so that it can only be cut instead, and its caller has not left yet although no run is in
    /// progress.
    fn is_awaited(&self) -> bool {
        let patience = self.job.route.longest_gap();
        self.has_head && agatemill_runtime::now() < self.ended_at + patience
    }

    /// Starts a search for a second run while the engines of all others are silent, if the route allows one.
    fn back_up(&mut self) {
        let is_silent = self.active.iter().all(|run| run.is_silent);
        if !is_silent || self.search.is_some() || !self.job.route.is_repeatable() {
            return;
        }
        if self.attempts.is_often_rejected() || self.has_run_enough() {
            self.log_obstacle(&Obstacle::Attempts);
        } else if self.state.has_retry(&self.job.service, Purpose::Backup) {
            self.search(Some(Purpose::Backup), Duration::ZERO);
        } else {
            self.log_obstacle(&Obstacle::Budget);
        }
    }

    /// Logs, once a request, why no second run begins.
    fn log_obstacle(&mut self, obstacle: &Obstacle) {
        if !core::mem::replace(&mut self.has_logged_obstacle, true) {
            self.state.metrics.count_event("stream", "backup_denied");
            log::info!(
                request:% = self.job.parameters.attempt, obstacle:%, runs = self.attempts.runs();
                "stream: waits for a silent engine"
            );
        }
    }

    /// Starts a search for a path after `pause`; its purpose is `None` for the first run.
    fn search(&mut self, purpose: Option<Purpose>, pause: Duration) {
        let claim = if self.has_head {
            Claim::InProgress
        } else if purpose.is_some() {
            Claim::Retried
        } else {
            Claim::New
        };
        let running = self.active.iter().map(|run| run.path.first().address);
        let search = Search {
            purpose,
            claim,
            running: running.collect(),
            may_have_run: self.attempts.runs() > 0,
        };
        let state = Arc::clone(&self.state);
        let job = Arc::clone(&self.job);
        let model = Arc::clone(&self.model);
        let find = async move {
            if !pause.is_zero() {
                agatemill_runtime::sleep(pause).await;
            }
            stream::find_start(state, job, model, search).await
        };
        self.search = Some(find.boxed());
    }

    fn start(&mut self, start: Start) {
        let first = start.path.first();
        self.attempts
            .record_send(first.server.clone(), first.address);
        if !self.active.is_empty() {
            log::info!(
                request:% = self.job.parameters.attempt, server:% = first.server, last_event:? = self.last_event;
                "stream: second run begins beside a silent engine"
            );
            self.state.metrics.count_event("stream", "backed_up");
        } else if self.has_head {
            self.state.metrics.count_event("stream", "resumed");
        }
        self.active.push(Run::start(
            &self.state,
            &self.job,
            self.size,
            start.path,
            start.probe,
            self.last_event.as_deref(),
        ));
    }

    /// Whether the route of the request allows no further run.
    fn has_run_enough(&self) -> bool {
        let view = self.state.view();
        let servers = view.servers(&self.job.service);
        let max_attempts = self.job.route.max_attempts;
        self.attempts.has_run_enough(max_attempts, |id, address| {
            servers
                .iter()
                .any(|server| &server.id == id && server.address == address)
        })
    }

    /// The refusal of a request whose runs have ended.
    fn failure(&self, cause: Cause) -> Refusal {
        if self.attempts.runs() == 0 {
            let refusal = backoff::common_refusal(&self.state, &self.job.service);
            return refusal.unwrap_or_else(|| stream::overloaded(&self.state, &self.job));
        }
        let reason = if cause == Cause::DeadlinePassed {
            Reason::DeadlineExceeded
        } else {
            Reason::BackendFailed
        };
        let phase = agatemill_core::Phase::Sent;
        Refusal::new(reason, phase, cause, "the engines did not answer")
    }

    /// The refusal of a request for which no path was found.
    fn refusal(&self, obstacle: &Obstacle) -> Refusal {
        if self.attempts.runs() > 0 {
            return self.failure(Cause::Refused);
        }
        stream::refusal(&self.state, &self.job, obstacle)
    }
}

/// The id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<CompactString> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = core::str::from_utf8(line).ok()?;
    Some(id.trim().into())
}
