//! Lifecycle of a request, from its arrival to its response.

use core::time::Duration;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::header::HeaderValue;

use crate::body::Body;
use crate::header;
use crate::problem;
use crate::progress::Operation;
use crate::route;
use crate::state::State;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Refusal;
use agatemill_core::id;

/// A request in progress. Dropping it without [`Exchange::end`] or [`Exchange::fail`] means that the caller has
/// disconnected.
#[derive(Debug)]
pub struct Exchange {
    /// Id of the request.
    pub id: id::Request,
    /// State of the entry.
    pub state: Arc<State>,
    /// Time at which the request arrived.
    pub arrived: Duration,
    /// Phase that the request has reached.
    pub phase: Phase,
    /// Outcome, after the request has ended.
    outcome: Option<Outcome>,
    _operation: Operation,
}

impl Exchange {
    fn new(state: Arc<State>) -> Self {
        state.metrics.start_request();
        Self {
            id: new_id(),
            arrived: agatemill_runtime::now(),
            phase: Phase::Received,
            outcome: None,
            _operation: state.progress.begin(),
            state,
        }
    }

    /// Ends the request with an outcome.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Ends the request with a refusal or failure, which is counted and logged.
    pub fn fail(self, refusal: &Refusal) {
        self.state.metrics.count_refusal(refusal.reason);
        // Refusals are frequent under overload and are counted; an unknown outcome may need an operator.
        let level = match refusal.outcome {
            Outcome::Unknown => log::Level::Info,
            Outcome::Complete | Outcome::NotRun => log::Level::Debug,
        };
        log::log!(
            level, request:% = self.id, reason:% = refusal.reason, outcome:% = refusal.outcome,
            detail:% = refusal.detail;
            "entry: request refused or failed"
        );
        self.end(refusal.outcome);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let disconnected = || Outcome::resolve(self.phase, Cause::CallerLeft);
        let outcome = self.outcome.unwrap_or_else(disconnected);
        let time = agatemill_runtime::now().saturating_sub(self.arrived);
        self.state.metrics.end_request(outcome, time);
    }
}

/// Handles a request. The response always carries the outcome and the id of the request.
pub async fn handle(state: Arc<State>, request: Request<agatemill_http::Body>) -> Response<Body> {
    let mut exchange = Some(Exchange::new(state));
    let id = exchange.as_ref().map(|exchange| exchange.id.clone());
    let result = route::route(&mut exchange, request).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            let response = problem::response(&refusal);
            if let Some(exchange) = exchange.take() {
                exchange.fail(&refusal);
            }
            response
        }
    };
    let headers = response.headers_mut();
    let complete = HeaderValue::from_static(Outcome::Complete.as_str());
    let outcome = headers.entry(header::OUTCOME).or_insert(complete).clone();
    if let Some(value) = id.and_then(|id| HeaderValue::from_str(id.as_str()).ok()) {
        headers.insert(header::REQUEST, value);
    }
    if let Some(exchange) = exchange {
        let outcome = outcome.to_str().ok().and_then(|text| text.parse().ok());
        exchange.end(outcome.unwrap_or(Outcome::Unknown));
    }
    response
}

/// Creates an id of 128 random bits in hexadecimal.
///
/// The id names sessions on engines, so it must be unique across hosts. The standard library seeds its
/// hashers from the operating system; a generator seeded from a clock could produce the same ids on hosts
/// that start at the same time.
///
/// # Panics
///
/// Never: hexadecimal digits are a valid id.
#[must_use]
pub fn new_id() -> id::Request {
    let random = || RandomState::new().hash_one(agatemill_runtime::now());
    let text = format!("{:016x}{:016x}", random(), random());
    text.parse().expect("hexadecimal digits are a valid id")
}
