//! HTTP client for the status and the orders of engines.

use core::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::Request;

use crate::planner::term::ORDER_TIMEOUT;
use agatemill_config::document::Engine;
use agatemill_core::number::Fence;
use agatemill_engine::Failure;
use agatemill_engine::Order;
use agatemill_engine::Status;
use agatemill_engine::failure::Code;
use agatemill_engine::order::Action;

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// HTTP client for the status and the orders of engines.
#[derive(Clone, Debug)]
pub(crate) struct Orders {
    http: agatemill_http::Client,
}

/// Reason why an order failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The engine has seen a newer fencing number.
    #[display("the engine has seen a newer fencing number")]
    Fenced,
    /// Any other error; the engine may still have accepted the order.
    #[display("{_0}")]
    Other(#[error(not(source))] String),
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            http: agatemill_http::Client::new(STATUS_TIMEOUT),
        }
    }
}

impl Orders {
    /// Status of an engine; `None` when it does not respond in time.
    pub(crate) async fn status(&self, engine: &Engine) -> Option<Status> {
        let request = Request::get(format!("http://{}/v1/status", engine.address));
        let request = request.body(Full::new(Bytes::new())).ok()?;
        let response = self
            .http
            .fetch(request, STATUS_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        serde_json::from_slice(response.ok()?.body()).ok()
    }

    /// Sends an order.
    pub(crate) async fn send(
        &self,
        engine: &Engine,
        fence: Fence,
        action: Action,
    ) -> Result<(), Rejection> {
        let body = serde_json::to_vec(&Order { fence, action }).map_err(other_error)?;
        let request = Request::post(format!("http://{}/v1/orders", engine.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(other_error)?;
        let response = self
            .http
            .fetch(request, ORDER_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        let response = response.map_err(other_error)?;
        if response.status().is_success() {
            return Ok(());
        }
        let failure: Option<Failure> = serde_json::from_slice(response.body()).ok();
        if failure.is_some_and(|failure| failure.code == Code::Fenced) {
            return Err(Rejection::Fenced);
        }
        Err(other_error(format!(
            "the engine responded with {}",
            response.status()
        )))
    }
}

fn other_error(error: impl core::fmt::Display) -> Rejection {
    Rejection::Other(error.to_string())
}
