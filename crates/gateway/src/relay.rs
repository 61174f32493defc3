//! Passes the events of a stream on, and takes the stream to other engines when it breaks.

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
use crate::outstanding::Outstanding;
use crate::stall;
use crate::stall::Finding;
use crate::state::Active;
use crate::stream;
use crate::stream::Tries;
use agatemill_core::Outcome;
use agatemill_fleet::Path;
use agatemill_fleet::route::Kind;

/// Pause between events after which a stream counts as stalled: longer than the pauses of a loaded engine,
/// and long enough for the reports of engines, which lag by some hundred milliseconds, to show it.
const STALL_AFTER: Duration = Duration::from_millis(260);

/// Pause between further looks at a stalled stream.
const STALL_AGAIN: Duration = Duration::from_millis(90);

/// Time that a stream gets after it was sent along another path: the new engines read the whole prompt.
const REPAIR_TIME: Duration = Duration::from_millis(350);

/// Largest event, in bytes; a longer one is not an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// A stream on its way to the caller.
pub struct Relay {
    state: Arc<State>,
    job: Arc<Job>,
    body: Incoming,
    path: Path,
    outstanding: Outstanding,
    tries: Tries,
    /// Bytes after the last whole event.
    partial: BytesMut,
    /// Id of the last event that was passed on.
    last_event: Option<CompactString>,
    /// When the last bytes arrived.
    heard: Duration,
    /// Fires when the stream may have stalled. It is set anew only when it fires, since setting it for
    /// each event would cost more than passing the event on.
    watchdog: Timer,
    /// Longest pause between events so far.
    longest_pause: Duration,
    is_first: bool,
    is_done: bool,
    active: Option<Active>,
}

enum Step {
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    Check,
}

impl Relay {
    /// Creates the relay of a stream that an engine has begun.
    #[must_use]
    pub fn new(
        state: &Arc<State>,
        job: &Arc<Job>,
        body: Incoming,
        path: Path,
        outstanding: Outstanding,
        tries: Tries,
        active: Active,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            job: Arc::clone(job),
            body,
            path,
            outstanding,
            tries,
            partial: BytesMut::new(),
            last_event: None,
            heard: agatemill_runtime::now(),
            watchdog: Timer::after(STALL_AFTER),
            longest_pause: Duration::ZERO,
            is_first: true,
            is_done: false,
            active: Some(active),
        }
    }

    /// The next whole events; `None` when the stream is complete, an error when it broke for good.
    pub async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.is_done {
            return None;
        }
        loop {
            let now = agatemill_runtime::now();
            if self.job.left(now).is_zero() {
                return Some(Err(self.fail("the time of the request is up")));
            }
            match self.step().await {
                Step::Frame(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(events) = self.take(&data) {
                        return Some(Ok(events));
                    }
                    if self.partial.len() > MAX_EVENT_BYTES {
                        return Some(Err(self.fail("an event is too long")));
                    }
                }
                Step::Frame(None) if self.partial.is_empty() => {
                    self.end(Outcome::Complete);
                    return None;
                }
                // An end within an event is a break.
                Step::Frame(None | Some(Err(_))) => {
                    // A server that spoils an answer has run the request; one that is lost has not ended it.
                    let attempt = &self.job.demand.attempt;
                    let found = stall::investigate(&self.state, &self.path, attempt).await;
                    if found != Finding::Slow {
                        self.tries.lost();
                    }
                    if !self.resume("the connection broke").await {
                        return Some(Err(self.fail("the stream broke and was not taken up")));
                    }
                }
                Step::Check => {
                    if !self.check().await {
                        return Some(Err(self.fail("the stream stalled and was not taken up")));
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

    /// Takes bytes from the engine; returns the events that are whole.
    fn take(&mut self, data: &[u8]) -> Option<Bytes> {
        let now = agatemill_runtime::now();
        let pause = now.saturating_sub(self.heard);
        self.heard = now;
        if self.is_first {
            self.is_first = false;
            self.outstanding.prompt_read();
            self.state
                .metrics
                .record_first_token(now.saturating_sub(self.job.arrived));
        } else {
            self.state.metrics.record_next_token(pause);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.partial.extend_from_slice(data);
        let end = last_end(&self.partial)?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_event = Some(id);
        }
        Some(events)
    }

    /// Looks at a stream that may have stalled; false when it cannot go on.
    async fn check(&mut self) -> bool {
        let quiet = agatemill_runtime::now().saturating_sub(self.heard);
        if quiet < STALL_AFTER {
            self.watchdog = Timer::after(STALL_AFTER.saturating_sub(quiet));
            return true;
        }
        let mut pause = STALL_AGAIN;
        match stall::investigate(&self.state, &self.path, &self.job.demand.attempt).await {
            Finding::Slow => {}
            Finding::PartLost => {
                if let Some(path) = stream::repair(&self.state, &self.job, &self.path).await {
                    self.path = path;
                    pause = REPAIR_TIME;
                } else if self.job.route.is_repeatable() {
                    self.tries.lost();
                    return self.resume("an engine is lost and has no substitute").await;
                }
            }
            Finding::FirstLost => {
                self.tries.lost();
                return self.resume("the first engine is lost").await;
            }
        }
        let left = self.job.left(agatemill_runtime::now());
        self.watchdog = Timer::after(pause.min(left));
        true
    }

    /// Goes on at other engines after the last event that was passed on; false when that is not possible.
    async fn resume(&mut self, why: &'static str) -> bool {
        let is_resumable = self.job.route.kind == Kind::Stream { is_resumable: true };
        log::warn!(
            request:% = self.job.demand.attempt, server:% = self.path.first().server, why,
            last_event:? = self.last_event, is_resumable; "stream: broken"
        );
        if !is_resumable {
            return false;
        }
        let last_event = self.last_event.clone();
        let opened = stream::begin(
            &self.state,
            &self.job,
            last_event.as_deref(),
            &mut self.tries,
        )
        .await;
        match opened {
            Ok(opened) if opened.response.status() == hyper::StatusCode::OK => {
                self.body = opened.response.into_body();
                self.path = opened.path;
                self.outstanding = opened.outstanding;
                self.partial.clear();
                self.is_first = true;
                self.heard = agatemill_runtime::now();
                self.watchdog = Timer::after(STALL_AFTER);
                self.state.metrics.count_event("stream", "resumed");
                true
            }
            Ok(opened) => {
                let status = opened.response.status().as_u16();
                log::warn!(request:% = self.job.demand.attempt, status; "stream: not resumed");
                false
            }
            Err(refusal) => {
                log::warn!(request:% = self.job.demand.attempt, refusal:%; "stream: not resumed");
                false
            }
        }
    }

    /// Ends the stream so that the caller sees that it is not whole.
    fn fail(&mut self, why: &'static str) -> io::Error {
        log::warn!(request:% = self.job.demand.attempt, why, last_event:? = self.last_event; "stream: cut");
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
        log::info!(request:% = self.job.demand.attempt, outcome:%, ms, pause_ms; "stream: ended");
    }
}

/// Where the last whole event ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let found = bytes
        .windows(EVENT_END.len())
        .rposition(|pair| pair == EVENT_END);
    found.map(|start| start + EVENT_END.len())
}

/// The id of the last event that has one.
fn last_id(events: &[u8]) -> Option<CompactString> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = core::str::from_utf8(line).ok()?;
    Some(id.trim().into())
}
