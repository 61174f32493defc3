//! Routing of requests to their handlers.

use hyper::Method;
use hyper::Request;
use hyper::Response;

use crate::body::Body;
use crate::completions;
use crate::exchange::Exchange;
use crate::information;
use crate::service;
use agatemill_core::Reason;
use agatemill_core::Refusal;

/// Path prefix of service calls.
pub const SERVICES_PREFIX: &str = "/v1/services/";

/// Dispatches a request to its handler. The handler of a stream takes the exchange out of the option.
///
/// # Errors
///
/// Refusals by the handler; [`Reason::NotFound`] or [`Reason::MethodNotAllowed`] if there is no handler.
pub async fn route(
    exchange: &mut Option<Exchange>,
    request: Request<agatemill_http::Body>,
) -> Result<Response<Body>, Refusal> {
    let Some(current) = exchange.as_ref() else {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            "the request has ended",
        ));
    };
    let state = &*current.state;
    let headers = request.headers();
    let path = request.uri().path();
    if path.starts_with(SERVICES_PREFIX) {
        return service::handle(exchange, request).await;
    }
    let allowed = match path {
        "/v1/chat/completions" => Method::POST,
        _ => Method::GET,
    };
    let is_allowed = *request.method() == allowed;
    match path {
        "/healthz" if is_allowed => Ok(information::health()),
        "/readyz" if is_allowed => information::ready(state),
        "/metrics" if is_allowed => information::metrics(state),
        "/v1/entries" if is_allowed => information::entries(state),
        "/v1/models" if is_allowed => information::models(state, headers),
        "/v1/chat/completions" if is_allowed => completions::handle(exchange, request).await,
        "/healthz"
        | "/readyz"
        | "/metrics"
        | "/v1/entries"
        | "/v1/models"
        | "/v1/chat/completions" => Err(Refusal::not_run(
            Reason::MethodNotAllowed,
            compact_str::format_compact!("{path} takes only {allowed}"),
        )),
        _ => Err(Refusal::not_run(
            Reason::NotFound,
            "there is nothing at this path",
        )),
    }
}
