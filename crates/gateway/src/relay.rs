//! Relays the events of a stream to the caller and resumes the stream at other engines when it breaks.

use core::future::Future;
use core::future::poll_fn;
use core::pin::Pin;
use core::task::Poll;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use smol::Timer;

use crate::State;
use crate::exchange::Job;
use crate::quarantine;
use crate::stall;
use crate::stall::Finding;
use crate::state::RequestGuard;
use crate::stream;
use crate::stream::Run;
use agatemill_core::Outcome;
use agatemill_fleet::Attempts;
use agatemill_fleet::route::Kind;

/// Time without events after which a stream counts as stalled: longer than the pauses of a loaded engine, and
/// long enough for the cause to appear in the engine reports, which lag by some hundred milliseconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(260);

/// Interval between further checks of a stalled stream.
const STALL_RECHECK_INTERVAL: Duration = Duration::from_millis(90);

/// Time until the next check after a stream was sent along another path: the new engines read the whole prompt.
const REPAIR_GRACE: Duration = Duration::from_millis(350);

/// Maximum size of an event, in bytes; a response with a longer one is not an event stream. Each stream may buffer
/// this much.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// A stream that is relayed to a caller.
pub struct Relay {
    state: Arc<State>,
    job: Arc<Job>,
    body: Incoming,
    run: Run,
    attempts: Attempts,
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// Id of the last event that was relayed.
    last_event: Option<CompactString>,
    /// Time at which the last bytes arrived.
    last_data_at: Duration,
    /// Fires when the stream may have stalled. Rearmed only when it fires, since rearming it for each event
    /// would cost more than relaying the event.
    watchdog: Timer,
    /// Longest pause between events so far.
    longest_pause: Duration,
    /// When the first bytes of the run arrived; `None` before.
    begun_at: Option<Duration>,
    /// Whether the run has outlived its first event.
    has_survived: bool,
    is_done: bool,
    active: Option<RequestGuard>,
}

enum Step {
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    Check,
}

impl Relay {
    /// Creates the relay for a stream that an engine has started.
    #[must_use]
    pub fn new(
        state: &Arc<State>,
        job: &Arc<Job>,
        body: Incoming,
        run: Run,
        attempts: Attempts,
        active: RequestGuard,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            job: Arc::clone(job),
            body,
            run,
            attempts,
            partial: BytesMut::new(),
            last_event: None,
            last_data_at: agatemill_runtime::now(),
            watchdog: Timer::after(STALL_TIMEOUT),
            longest_pause: Duration::ZERO,
            begun_at: None,
            has_survived: false,
            is_done: false,
            active: Some(active),
        }
    }

    /// Returns the next complete events; `None` when the stream is complete, an error when it cannot be resumed.
    pub async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.is_done {
            return None;
        }
        loop {
            let now = agatemill_runtime::now();
            if self.job.time_left(now).is_zero() {
                return Some(Err(self.fail("the time of the request is up")));
            }
            match self.step().await {
                Step::Frame(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(events) = self.ingest(&data) {
                        return Some(Ok(events));
                    }
                    if self.partial.len() > MAX_EVENT_BYTES {
                        let first = self.run.path.first().address;
                        self.state
                            .avoid(first, stream::AVOID_DURATION, "an event is too long");
                        if !self.resume("an event is too long").await {
                            return Some(Err(self.fail("an event is too long")));
                        }
                    }
                }
                // A response without a length ends like this also when its engine crashes before the first event.
                Step::Frame(None) if self.partial.is_empty() && self.begun_at.is_none() => {
                    if !self.record_crash().await {
                        self.end(Outcome::Complete);
                        return None;
                    }
                    let first = self.run.path.first().address;
                    self.state
                        .suspect(first, stream::SUSPECT_DURATION, "no connection");
                    self.attempts.record_loss();
                    if !self.resume("the engine crashed").await {
                        return Some(Err(self.fail("the engine crashed")));
                    }
                }
                Step::Frame(None) if self.partial.is_empty() => {
                    self.record_survival();
                    self.end(Outcome::Complete);
                    return None;
                }
                // The stream ended within an event: the connection broke.
                Step::Frame(None | Some(Err(_))) => {
                    let attempt = &self.job.parameters.attempt;
                    let finding = stall::investigate(&self.state, &self.run.path, attempt).await;
                    if finding == Finding::FirstLost {
                        self.attempts.record_loss();
                    }
                    self.record_crash().await;
                    if !self.resume("the connection broke").await {
                        return Some(Err(self.fail("the stream broke and could not be resumed")));
                    }
                }
                Step::Check => {
                    if !self.check_stall().await {
                        return Some(Err(self.fail("the stream stalled and could not be resumed")));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let body = &mut self.body;
        let watchdog = &mut self.watchdog;
        poll_fn(|cx| {
            if let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
                return Poll::Ready(Step::Frame(frame));
            }
            Pin::new(&mut *watchdog).poll(cx).map(|_| Step::Check)
        })
        .await
    }

    /// Buffers bytes from the engine and returns the events that are complete.
    fn ingest(&mut self, data: &[u8]) -> Option<Bytes> {
        let now = agatemill_runtime::now();
        let pause = now.saturating_sub(self.last_data_at);
        self.last_data_at = now;
        if self.begun_at.is_none() {
            self.begun_at = Some(now);
            self.run.reservation.release_prompt();
            self.state
                .metrics
                .record_first_token(now.saturating_sub(self.job.arrived));
        } else {
            self.state.metrics.record_next_token(pause);
            self.longest_pause = self.longest_pause.max(pause);
            let survived_at = self.begun_at.map(|begun| begun + quarantine::SURVIVAL_TIME);
            if survived_at.is_some_and(|at| now >= at) {
                self.record_survival();
            }
        }
        let searched = self.partial.len();
        self.partial.extend_from_slice(data);
        let end = last_event_end(&self.partial, searched)?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_event = Some(id);
        }
        Some(events)
    }

    /// Records that the run outlived its first event.
    fn record_survival(&mut self) {
        if !self.has_survived {
            self.has_survived = true;
            self.run.probe = None;
            quarantine::record_survival(&self.state, &self.job.parameters.parts);
        }
    }

    /// Records that the run ended, unless it has survived. Returns whether its first engine has crashed.
    async fn record_crash(&mut self) -> bool {
        if self.has_survived {
            return false;
        }
        let parameters = &self.job.parameters;
        let first = self.run.path.first();
        quarantine::record_loss(&self.state, &parameters.attempt, &parameters.parts, first).await
    }

    /// Checks a stream that may have stalled; returns false if it cannot continue.
    async fn check_stall(&mut self) -> bool {
        let quiet = agatemill_runtime::now().saturating_sub(self.last_data_at);
        if quiet < STALL_TIMEOUT {
            self.watchdog = Timer::after(STALL_TIMEOUT.saturating_sub(quiet));
            return true;
        }
        let mut pause = STALL_RECHECK_INTERVAL;
        match stall::investigate(&self.state, &self.run.path, &self.job.parameters.attempt).await {
            Finding::Slow => {}
            Finding::PartLost => {
                if let Some(path) = stream::repair(&self.state, &self.job, &self.run.path).await {
                    self.run.path = path;
                    pause = REPAIR_GRACE;
                } else if self.job.route.is_repeatable() {
                    return self
                        .resume("an engine is lost and has no replacement")
                        .await;
                }
            }
            Finding::FirstLost => {
                self.attempts.record_loss();
                return self.resume("the first engine is lost").await;
            }
        }
        let left = self.job.time_left(agatemill_runtime::now());
        self.watchdog = Timer::after(pause.min(left));
        true
    }

    /// Resumes the stream at other engines after the last relayed event; returns false if that is not possible.
    async fn resume(&mut self, why: &'static str) -> bool {
        let is_resumable = self.job.route.kind == Kind::Stream { is_resumable: true };
        log::warn!(
            request:% = self.job.parameters.attempt, server:% = self.run.path.first().server, why,
            last_event:? = self.last_event, has_begun = self.begun_at.is_some(), is_resumable, runs = self.attempts.runs(),
            losses = self.attempts.losses(), segments:? = self.job.parameters.parts.shared;
            "stream: interrupted"
        );
        if !is_resumable {
            return false;
        }
        let last_event = self.last_event.clone();
        self.run.probe = None;
        let opened = stream::begin(
            &self.state,
            &self.job,
            last_event.as_deref(),
            &mut self.attempts,
        )
        .await;
        match opened {
            Ok(opened) if opened.response.status() == hyper::StatusCode::OK => {
                self.body = opened.response.into_body();
                self.run = opened.run;
                self.partial.clear();
                self.begun_at = None;
                self.has_survived = false;
                self.last_data_at = agatemill_runtime::now();
                self.watchdog = Timer::after(STALL_TIMEOUT);
                self.state.metrics.count_event("stream", "resumed");
                true
            }
            Ok(opened) => {
                let status = opened.response.status().as_u16();
                log::warn!(request:% = self.job.parameters.attempt, status; "stream: cannot resume");
                false
            }
            Err(refusal) => {
                log::warn!(request:% = self.job.parameters.attempt, refusal:%; "stream: cannot resume");
                false
            }
        }
    }

    /// Aborts the stream, so that the caller can tell that it is incomplete.
    fn fail(&mut self, why: &'static str) -> io::Error {
        log::warn!(request:% = self.job.parameters.attempt, why, last_event:? = self.last_event; "stream: aborted");
        self.state.metrics.count_event("stream", "cut");
        self.end(Outcome::Unknown);
        io::Error::other(why)
    }

    fn end(&mut self, outcome: Outcome) {
        self.is_done = true;
        self.active = None;
        let time = agatemill_runtime::now().saturating_sub(self.job.arrived);
        self.state.metrics.end_request(outcome, time);
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let pause_ms = u64::try_from(self.longest_pause.as_millis()).unwrap_or(u64::MAX);
        log::info!(request:% = self.job.parameters.attempt, outcome:%, ms, pause_ms; "stream: ended");
    }
}

/// End offset of the last complete event, given that none ends within the first `searched` bytes.
fn last_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(EVENT_END.len() - 1);
    let start = bytes[from..]
        .windows(EVENT_END.len())
        .rposition(|pair| pair == EVENT_END);
    start.map(|start| from + start + EVENT_END.len())
}

/// The id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<CompactString> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = core::str::from_utf8(line).ok()?;
    Some(id.trim().into())
}
