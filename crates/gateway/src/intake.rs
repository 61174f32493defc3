//! Reads the bodies of requests within the account of memory, and refuses those that do not fit.

use core::net::IpAddr;
use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;

use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::LogLimit;
use agatemill_http::Body;
use agatemill_http::Buffers;
use agatemill_http::intake;
use agatemill_http::intake::Cost;
use agatemill_http::intake::Failure;
use agatemill_limits::Account;
use agatemill_limits::account::Owner;
use agatemill_limits::account::Plan;
use agatemill_metrics::Registry;

/// Mean `Retry-After` of a request whose body does not fit; jittered so that callers do not return together. Most bodies are
/// held for less.
const RETRY_AFTER: Duration = Duration::from_secs(1);

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

    /// Reads a complete body of at most `limit` bytes, for a request with a head of `head_bytes`. The memory of both counts until
    /// the body is dropped.
    ///
    /// # Errors
    ///
    /// A refusal of the request, which has not run: [`Reason::BodyTooLarge`], [`Reason::BadRequest`] when the body breaks off,
    /// [`Reason::Overloaded`] when it does not fit or is ended for others, and [`Reason::RequestTimeout`] when it arrives too
    /// slowly.
    pub async fn read(
        &self,
        body: &mut Body,
        limit: usize,
        head_bytes: usize,
        owners: Vec<Owner>,
    ) -> Result<Bytes, Refusal> {
        let cost = Cost::of_head(head_bytes);
        let read = intake::read(&self.account, body, limit, cost, owners);
        let held = read.await.map_err(|failure| self.refuse(&failure))?;
        Ok(held.into())
    }

    fn refuse(&self, failure: &Failure) -> Refusal {
        if let Some(event) = failure.event() {
            self.metrics.count_event("memory", event);
            if self.may_log() {
                log(failure);
            }
        }
        let detail = failure.to_string();
        match failure {
            Failure::TooLarge => Refusal::not_run(Reason::BodyTooLarge, detail),
            Failure::Broken => Refusal::not_run(Reason::BadRequest, detail),
            Failure::TooSlow { .. } => Refusal::not_run(Reason::RequestTimeout, detail),
            Failure::Denied(_) | Failure::Ended { .. } => {
                let wait = RETRY_AFTER.mul_f64(0.7 + 0.6 * fastrand::f64());
                Refusal::not_run(Reason::Overloaded, detail).retry_after(wait)
            }
        }
    }

    fn may_log(&self) -> bool {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.admits(agatemill_runtime::now())
    }
}

/// Logs a decision of the account with its inputs.
fn log(failure: &Failure) {
    match failure {
        Failure::Denied(denial) => log::warn!(
            reason:% = denial.reason, wanted = denial.wanted, held = denial.held, limit = denial.limit,
            owned = denial.owned; "memory: refused a body"
        ),
        Failure::Ended { received } => {
            log::warn!(received; "memory: ended the slowest body for another one");
        }
        Failure::TooSlow { received } => {
            log::warn!(received; "memory: a body arrives too slowly");
        }
        Failure::TooLarge | Failure::Broken => {}
    }
}

fn count(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
