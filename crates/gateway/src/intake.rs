//! Reads the bodies of requests within the account of memory.

use core::net::IpAddr;
use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use event_listener::Event;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;

use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::LogLimit;
use agatemill_http::Buffers;
use agatemill_limits::Account;
use agatemill_limits::account::Denial;
use agatemill_limits::account::Owner;
use agatemill_limits::account::Pace;
use agatemill_limits::account::Plan;
use agatemill_limits::account::SMALL_BYTES;
use agatemill_limits::account::Share;
use agatemill_limits::account::denial;
use agatemill_limits::account::pace;
use agatemill_metrics::Registry;

/// Mean `Retry-After` of a request whose body does not fit; jittered so that callers do not return together. Most bodies are
/// held for less.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which reading pauses while bodies that are ended for a request return their bytes: they do so when their tasks run.
const ROOM_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a paused request asks again.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Address of the peer of a connection; an extension of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer(pub IpAddr);

/// Reads the bodies of requests.
#[derive(Debug)]
pub struct Intake {
    account: Account,
    metrics: Registry,
    /// Bounds the log lines on refusals.
    log: Mutex<LogLimit>,
}

/// A body that is being read.
struct Reading<'a> {
    intake: &'a Intake,
    share: Share,
    /// Notified when the body is to be ended.
    end: Arc<Event>,
    bytes: Vec<u8>,
    /// Largest legal size.
    limit: usize,
}

/// A complete body. Its share is returned when it is dropped.
struct Complete {
    bytes: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Intake {
    /// Creates an empty account, and exposes the bytes that it and the responses hold.
    #[must_use]
    pub fn new(plan: Plan, metrics: &Registry, responses: Buffers) -> Self {
        let account = Account::new(plan);
        let held = account.clone();
        metrics.observe_held("requests", move || count(held.held()));
        metrics.observe_held("responses", move || count(responses.used()));
        Self {
            account,
            metrics: metrics.clone(),
            log: Mutex::default(),
        }
    }

    /// Changes the sizes of the account.
    pub fn set_plan(&self, plan: Plan) {
        self.account.set_plan(plan);
    }

    /// Reads a complete body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// A refusal of the request, which has not run: [`Reason::BodyTooLarge`] before a byte is read if the size is stated,
    /// [`Reason::Overloaded`] when the body does not fit or is ended for others, and [`Reason::RequestTimeout`] when it
    /// arrives too slowly.
    pub async fn read(
        &self,
        body: &mut Incoming,
        limit: usize,
        owners: Vec<Owner>,
    ) -> Result<Bytes, Refusal> {
        let stated = body.size_hint().exact();
        if stated.is_some_and(|bytes| bytes > limit as u64) {
            return Err(too_large());
        }
        let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(limit));
        if stated == Some(0) {
            return Ok(Bytes::new());
        }
        let bytes = stated.unwrap_or(SMALL_BYTES.min(limit));
        let end = Arc::new(Event::new());
        let open = || {
            let end = Arc::clone(&end);
            let on_end = move || {
                end.notify(usize::MAX);
            };
            let now = agatemill_runtime::now();
            self.account.open(bytes, owners.clone(), now, on_end)
        };
        let share = self.wait_for_room(open).await?;
        let reading = Reading {
            intake: self,
            share,
            end,
            bytes: Vec::with_capacity(bytes),
            limit,
        };
        reading.run(body).await
    }

    /// Takes bytes, and asks again while other bodies are being ended for them.
    async fn wait_for_room<T>(&self, take: impl Fn() -> Result<T, Denial>) -> Result<T, Refusal> {
        let mut waited = Duration::ZERO;
        loop {
            match take() {
                Ok(taken) => return Ok(taken),
                Err(denial) if denial.is_making_room && waited < ROOM_TIMEOUT => {
                    agatemill_runtime::sleep(ROOM_INTERVAL).await;
                    waited += ROOM_INTERVAL;
                }
                Err(denial) => return Err(self.refuse(denial)),
            }
        }
    }

    fn refuse(&self, denial: Denial) -> Refusal {
        let event = match denial.reason {
            denial::Reason::Full => "refused_full",
            denial::Reason::Owner => "refused_owner",
        };
        self.metrics.count_event("memory", event);
        if self.may_log() {
            log::warn!(
                reason:% = denial.reason, wanted = denial.wanted, held = denial.held, limit = denial.limit,
                owned = denial.owned; "memory: refused a body"
            );
        }
        overloaded("the bodies of other requests take the memory")
    }

    fn may_log(&self) -> bool {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.admits(agatemill_runtime::now())
    }
}

impl Reading<'_> {
    async fn run(mut self, body: &mut Incoming) -> Result<Bytes, Refusal> {
        let mut pace = Pace::default();
        loop {
            let asked = agatemill_runtime::now();
            let data = match agatemill_runtime::timeout(pace::MAX_WAIT, self.next(body)).await {
                Some(Ok(None)) => break,
                Some(Ok(Some(frame))) => frame.into_data().unwrap_or_default(),
                Some(Err(refusal)) => return Err(refusal),
                None => Bytes::new(),
            };
            let waited = agatemill_runtime::now().saturating_sub(asked);
            pace.record(waited, data.len());
            if pace.is_too_slow() {
                return Err(self.give_up());
            }
            self.extend(&data).await?;
        }
        self.share.complete();
        let complete = Complete {
            bytes: self.bytes,
            _share: self.share,
        };
        Ok(Bytes::from_owner(complete))
    }

    /// Reads a frame; `None` at the end of the body.
    async fn next(&self, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, Refusal> {
        let read = async {
            let frame = body.frame().await.transpose();
            frame.map_err(|_| Refusal::not_run(Reason::BadRequest, "the body broke off"))
        };
        let end = async {
            loop {
                let end = self.end.listen();
                if self.share.is_ended() {
                    return Err(self.end());
                }
                end.await;
            }
        };
        smol::future::or(read, end).await
    }

    async fn extend(&mut self, data: &[u8]) -> Result<(), Refusal> {
        let length = self.bytes.len() + data.len();
        if length > self.limit {
            return Err(too_large());
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            let capacity = length.max(capacity * 2).min(self.limit);
            let grow = || self.share.grow(capacity, agatemill_runtime::now());
            self.intake.wait_for_room(grow).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        self.share.record(length);
        Ok(())
    }

    fn end(&self) -> Refusal {
        self.intake.metrics.count_event("memory", "ended");
        if self.intake.may_log() {
            let received = self.bytes.len();
            log::warn!(received; "memory: ended the slowest body for another one");
        }
        overloaded("the body arrives slowly and its memory is needed")
    }

    fn give_up(&self) -> Refusal {
        self.intake.metrics.count_event("memory", "too_slow");
        if self.intake.may_log() {
            let received = self.bytes.len();
            log::warn!(received; "memory: a body arrives too slowly");
        }
        Refusal::not_run(Reason::RequestTimeout, "the body arrives too slowly")
    }
}

fn too_large() -> Refusal {
    Refusal::not_run(Reason::BodyTooLarge, "the body is over the limit")
}

fn overloaded(detail: &'static str) -> Refusal {
    let wait = RETRY_AFTER.mul_f64(0.7 + 0.6 * fastrand::f64());
    Refusal::not_run(Reason::Overloaded, detail).retry_after(wait)
}

fn count(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
