//! One run of a stream on the engines of a path.

pub mod step;

use core::future::Future;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::task::ready;
use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Response;
use hyper::body::Body;
use hyper::http::response::Parts;
use smol::Timer;

use crate::State;
use crate::backoff;
use crate::call;
use crate::choice::Size;
use crate::clock;
use crate::connection::Connection;
use crate::departure;
use crate::exchange::Job;
use crate::quarantine;
use crate::quarantine::Probe;
use crate::reply;
use crate::reservation::Reservation;
use crate::stall;
use crate::stream;
use crate::throttle;
use agatemill_adapter::header;
use agatemill_core::Cause;
use agatemill_fleet::Evidence;
use agatemill_fleet::Path;
use agatemill_fleet::Server;
use agatemill_fleet::reply::Flaw;
use agatemill_fleet::reply::Framing;
use agatemill_fleet::reply::Verdict;
use agatemill_fleet::server::Instance;
use agatemill_fleet::suspicion::Standing;

pub use step::Step;

/// Time without a response head after which the first engine is queried for the engine that it waits for: well
/// above the usual time to the first event, and early enough to send the request elsewhere.
const HEAD_STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// Time without events after which a stream counts as stalled: longer than the pauses of a loaded engine, and
/// long enough for the cause to appear in the engine reports, which lag by some hundred milliseconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(260);

/// Interval between further checks of a stalled stream.
const STALL_RECHECK_INTERVAL: Duration = Duration::from_millis(90);

/// Time until the next check after a stream was sent along another path: the new engines read the whole prompt.
const REPAIR_GRACE: Duration = Duration::from_millis(350);

/// Maximum size of an event, in bytes; a response with a longer one is not an event stream. Each run may buffer
/// this much.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// One run of a stream. Dropping it closes its connection, so that the engines stop.
pub struct Run {
    /// Engines that the stream passes through.
    pub path: Path,
    /// Head of the response, from its arrival until it is passed on.
    pub head: Option<Parts>,
    /// Whether an engine of the path is silent and cannot be replaced within the run. The run may still continue.
    pub is_silent: bool,
    /// When the first bytes of the body arrived; `None` before.
    pub begun_at: Option<Duration>,
    /// Longest pause between events so far.
    pub longest_pause: Duration,
    state: Arc<State>,
    job: Arc<Job>,
    /// The first engine as it was listed when the run began; `None` if it was not.
    server: Option<Arc<Server>>,
    /// The instance of the first engine that runs the request.
    instance: Instance,
    size: Size,
    /// Load of the stream on the engines.
    reservation: Reservation,
    /// Set while the run decides about suspected parts of its prompt. A silent run may take seconds to, so that others decide
    /// instead.
    probe: Option<Probe>,
    /// When the request was sent, on a clock that also runs while the machine is suspended.
    sent_boot: Duration,
    phase: Phase,
    /// How the end of the response is marked.
    framing: Framing,
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// Whether the run has outlived its first event.
    has_survived: bool,
    /// Time at which the last bytes arrived.
    last_data_at: Duration,
    /// Fires when the run may have stalled. Rearmed only when it fires, since rearming it for each event
    /// would cost more than relaying the event.
    watchdog: Timer,
    /// A check of the engines that is in progress.
    check: Option<BoxFuture<'static, Check>>,
}

enum Phase {
    /// The head of the response has not arrived.
    Head(BoxFuture<'static, Result<Response<agatemill_http::Body>, agatemill_http::Error>>),
    /// The body is read.
    Body {
        body: agatemill_http::Body,
        /// Held while the connection is open.
        _connection: Connection,
    },
    /// The body was taken, or the run has ended.
    Closed,
}

/// Result of a check of the engines of a stalled run.
enum Check {
    /// No engine is suspected.
    Slow,
    /// The run was sent along another path.
    Rerouted(Path),
    /// The first engine is silent, or another one is and has no replacement.
    Silent,
    /// The first engine has ended.
    Ended,
}

impl Run {
    /// Sends a request along a path. With `last_event`, the stream continues after that event.
    #[must_use]
    pub fn start(
        state: &Arc<State>,
        job: &Arc<Job>,
        size: Size,
        path: Path,
        probe: Option<Probe>,
        last_event: Option<&str>,
    ) -> Self {
        let now = agatemill_runtime::now();
        let left = job.time_left(now);
        let first = path.first();
        let server = state.view().server(&first.server).cloned();
        let server = server.filter(|server| server.address == first.address);
        let overrides = header::Overrides {
            deadline: left,
            server: &first.server,
            organisation: job.organisation.as_ref().map(|holder| holder.name.as_str()),
            urgency: job.urgency(),
            path: Some(&path),
            last_event,
        };
        let request = call::forward(job, first.address, overrides);
        let client = state.client(&job.route).clone();
        let (sender, receiver) = (Arc::clone(state), server.clone());
        let response = async move {
            let sending = async move { client.send(request, left).await };
            backoff::send(&sender, receiver.as_ref(), sending).await
        };
        let unknown = || Instance {
            server: first.server.clone(),
            born_ms: 0,
        };
        let instance = server.as_deref().map_or_else(unknown, Instance::from);
        Self {
            instance,
            reservation: Reservation::on_path(
                state,
                &path,
                job.subject(),
                size.prompt,
                size.answer,
            ),
            path,
            head: None,
            is_silent: false,
            begun_at: None,
            longest_pause: Duration::ZERO,
            state: Arc::clone(state),
            job: Arc::clone(job),
            server,
            size,
            probe,
            sent_boot: clock::boot_time(),
            phase: Phase::Head(response.boxed()),
            framing: Framing::Delimited,
            partial: BytesMut::new(),
            has_survived: false,
            last_data_at: now,
            watchdog: Timer::after(HEAD_STALL_TIMEOUT),
            check: None,
        }
    }

    /// Waits for the next step of the run. A run whose response has ended makes no further step.
    pub fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        if let Poll::Ready(step) = self.poll_response(cx) {
            let was_silent = core::mem::take(&mut self.is_silent);
            match &step {
                Step::Head => self.state.record_response(self.path.first().address),
                Step::Events(_) if was_silent => self.state.record_progress(&self.path),
                Step::Events(_) => self.record_events(),
                _ => {}
            }
            return Poll::Ready(step);
        }
        loop {
            if let Some(check) = &mut self.check {
                let result = ready!(check.poll_unpin(cx));
                self.check = None;
                if let Some(step) = self.finish_check(result) {
                    return Poll::Ready(step);
                }
            }
            ready!(Pin::new(&mut self.watchdog).poll(cx));
            let quiet = agatemill_runtime::now().saturating_sub(self.last_data_at);
            let timeout = self.stall_timeout();
            if quiet < timeout {
                self.watchdog = Timer::after(timeout.saturating_sub(quiet));
            } else {
                self.check = Some(self.start_check());
            }
        }
    }

    /// Takes the body of a response that is not relayed as a stream; `None` before the head has arrived.
    pub fn take_body(&mut self) -> Option<agatemill_http::Body> {
        match core::mem::replace(&mut self.phase, Phase::Closed) {
            Phase::Body { body, .. } => Some(body),
            Phase::Head(_) | Phase::Closed => None,
        }
    }

    /// Records that the run outlived its first event.
    pub fn record_survival(&mut self) {
        if !self.has_survived {
            self.has_survived = true;
            self.probe = None;
            quarantine::record_survival(&self.state, &self.job.parameters.parts);
        }
    }

    /// Whether the response, which has ended, may lack its last events: only the end of its connection marks its end, and the
    /// first engine is not about to exit.
    #[must_use]
    pub fn may_be_cut(&self) -> bool {
        reply::may_be_cut(&self.state, &self.instance.server, self.framing)
    }

    /// Finds out whether the first engine of a run that ended has ended too, and records a crash.
    pub async fn has_lost_engine(&mut self) -> bool {
        let address = self.path.first().address;
        let is_replaced = { self.state.view().is_replaced(&self.instance, address) };
        if is_replaced {
            return true;
        }
        let has_ended = stall::has_ended(&self.state, address).await;
        self.record_end(has_ended)
    }

    /// The same for a run whose response looks complete, and with an engine that was started again since.
    pub async fn has_lost_instance(&mut self) -> bool {
        let address = self.path.first().address;
        let has_ended = stall::has_ended_instance(&self.state, &self.instance, address).await;
        self.record_end(has_ended)
    }

    fn record_end(&self, has_ended: bool) -> bool {
        if has_ended && !self.has_survived {
            let first = self.path.first();
            let parameters = &self.job.parameters;
            quarantine::record_crash(&self.state, &parameters.attempt, &parameters.parts, first);
        }
        has_ended
    }

    fn record_events(&self) {
        let now = agatemill_runtime::now();
        self.state.suspicion().record_events(&self.path, now);
    }

    fn poll_response(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        loop {
            let frame = match &mut self.phase {
                Phase::Head(response) => {
                    let result = ready!(response.poll_unpin(cx));
                    return Poll::Ready(self.accept(result));
                }
                Phase::Body { body, .. } => ready!(Pin::new(body).poll_frame(cx)),
                Phase::Closed => return Poll::Pending,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(events) = self.ingest(&data) {
                        return Poll::Ready(Step::Events(events));
                    }
                    if self.partial.len() > MAX_EVENT_BYTES {
                        self.phase = Phase::Closed;
                        let first = self.path.first().address;
                        let reason = "an event is too long";
                        self.state.avoid(first, stream::AVOID_DURATION, reason);
                        return Poll::Ready(Step::Broken(reason));
                    }
                }
                None if self.partial.is_empty() => {
                    self.phase = Phase::Closed;
                    return Poll::Ready(Step::Complete);
                }
                // The response ended within an event: the connection broke.
                None | Some(Err(_)) => {
                    self.phase = Phase::Closed;
                    return Poll::Ready(Step::Broken("the connection broke"));
                }
            }
        }
    }

    /// Checks the head of the response, or the error of sending the request.
    fn accept(
        &mut self,
        result: Result<Response<agatemill_http::Body>, agatemill_http::Error>,
    ) -> Step {
        self.phase = Phase::Closed;
        let first = self.path.first();
        let response = match result {
            Ok(response) => response,
            Err(agatemill_http::Error::Connect(error)) => {
                if let Some(evidence) = Evidence::from_connect_error(error.kind()) {
                    self.state.suspect(first.address, evidence);
                }
                return Step::NotRun(Cause::ConnectFailed);
            }
            Err(error) => return Step::Unknown(reply::cause(&self.state, first.address, &error)),
        };
        throttle::observe(
            &self.state,
            &first.server,
            response.headers(),
            self.sent_boot,
        );
        if let Some(server) = &self.server {
            departure::observe(&self.state, server, response.status(), response.headers());
            backoff::observe(&self.state, server, response.status(), response.headers());
        }
        let attempt = &self.job.parameters.attempt;
        let status = response.status();
        let faulty = header::faulty_server(response.headers()).unwrap_or(first.address);
        match reply::judge(
            &self.state,
            attempt,
            &first.server,
            status,
            response.headers(),
        ) {
            Verdict::Answer => {}
            Verdict::NotRun => {
                if faulty != first.address || !self.is_backing_off() {
                    let reason = "it rejected a request";
                    self.state.avoid(faulty, stream::AVOID_DURATION, reason);
                }
                if faulty != first.address {
                    // It may be full or lost; a lost one would be avoided too briefly.
                    stall::check(&self.state, &[faulty]);
                }
                return Step::NotRun(Cause::Rejected);
            }
            Verdict::Unusable(flaw) => {
                if flaw == Flaw::Unconfirmed {
                    let reason = "it failed a request";
                    self.state.avoid(faulty, stream::AVOID_DURATION, reason);
                }
                return Step::Unusable;
            }
        }
        self.framing = header::framing(response.headers());
        let (head, body) = response.into_parts();
        self.head = Some(head);
        self.phase = Phase::Body {
            body,
            _connection: Connection::open(&self.state, first.address),
        };
        self.last_data_at = agatemill_runtime::now();
        self.watchdog = Timer::after(STALL_TIMEOUT);
        Step::Head
    }

    /// Buffers bytes from the engine and returns the events that are complete.
    fn ingest(&mut self, data: &[u8]) -> Option<Bytes> {
        let now = agatemill_runtime::now();
        let pause = now.saturating_sub(self.last_data_at);
        self.last_data_at = now;
        if let Some(begun_at) = self.begun_at {
            self.state.metrics.record_next_token(pause);
            self.longest_pause = self.longest_pause.max(pause);
            if now >= begun_at + quarantine::SURVIVAL_TIME {
                self.record_survival();
            }
        } else {
            self.begun_at = Some(now);
            self.reservation.release_prompt();
            self.state
                .metrics
                .record_first_token(now.saturating_sub(self.job.arrived));
        }
        let searched = self.partial.len();
        self.partial.extend_from_slice(data);
        let end = last_event_end(&self.partial, searched)?;
        Some(self.partial.split_to(end).freeze())
    }

    /// Whether the first engine asks for no requests for longer than one that rejects a request is avoided.
    fn is_backing_off(&self) -> bool {
        let server = self.server.as_deref();
        let left = server.and_then(|server| backoff::left(&self.state, server));
        left.is_some_and(|left| left > stream::AVOID_DURATION)
    }

    fn stall_timeout(&self) -> Duration {
        match self.phase {
            Phase::Head(_) => HEAD_STALL_TIMEOUT,
            Phase::Body { .. } | Phase::Closed => STALL_TIMEOUT,
        }
    }

    fn start_check(&self) -> BoxFuture<'static, Check> {
        let state = Arc::clone(&self.state);
        let job = Arc::clone(&self.job);
        let path = self.path.clone();
        let instance = self.instance.clone();
        let is_first = !self.is_silent;
        let check = async move {
            let attempt = &job.parameters.attempt;
            match stall::investigate(&state, &path, &instance, attempt).await {
                Standing::Sound => Check::Slow,
                Standing::FirstSilent => Check::Silent,
                Standing::Ended => Check::Ended,
                Standing::PartSuspected => stream::repair(&state, &job, &path, is_first)
                    .await
                    .map_or(Check::Silent, Check::Rerouted),
            }
        };
        check.boxed()
    }

    /// Acts on the result of a check and rearms the watchdog.
    fn finish_check(&mut self, check: Check) -> Option<Step> {
        let now = agatemill_runtime::now();
        let has_continued = now.saturating_sub(self.last_data_at) < self.stall_timeout();
        let recheck = match self.phase {
            Phase::Head(_) => HEAD_STALL_TIMEOUT,
            Phase::Body { .. } | Phase::Closed => STALL_RECHECK_INTERVAL,
        };
        self.watchdog = Timer::after(recheck);
        match check {
            Check::Ended => return Some(Step::Ended),
            Check::Silent if !has_continued => {
                self.is_silent = true;
                self.probe = None;
                return Some(Step::Silent);
            }
            Check::Rerouted(path) => {
                if matches!(self.phase, Phase::Head(_)) {
                    let (prompt, answer) = (self.size.prompt, self.size.answer);
                    let subject = self.job.subject();
                    self.reservation =
                        Reservation::on_path(&self.state, &path, subject, prompt, answer);
                } else {
                    self.watchdog = Timer::after(REPAIR_GRACE);
                }
                self.path = path;
                self.is_silent = false;
            }
            Check::Slow | Check::Silent => self.is_silent = false,
        }
        None
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
