//! Handler of service calls.

use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::header::HeaderValue;

use crate::at_most_once;
use crate::body::Body;
use crate::configuration::Configuration;
use crate::contract;
use crate::exchange::Exchange;
use crate::forward;
use crate::gate::Permit;
use crate::header;
use crate::request_body;
use crate::route::SERVICES_PREFIX;
use agatemill_config::document::Organisation;
use agatemill_config::document::Service;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_routing::server::Choice;

/// A validated and admitted call.
#[derive(Debug)]
pub struct Call {
    /// Configuration against which the call was validated.
    pub configuration: Arc<Configuration>,
    /// Organisation of the caller.
    pub organisation: Arc<Organisation>,
    /// Called service.
    pub service: Service,
    /// Id of the request.
    pub request: id::Request,
    /// Method.
    pub method: Method,
    /// Path below the service, with the query.
    pub target: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time after which no caller waits for the response.
    pub deadline: Duration,
    /// Slot in the queue of the half.
    pub permit: Permit,
}

/// Handles `/v1/services/{service}/…`.
///
/// # Errors
///
/// Refusals by authentication, contract and admission, and those of the call itself.
pub async fn handle(
    exchange: &mut Option<Exchange>,
    request: Request<agatemill_http::Body>,
) -> Result<Response<Body>, Refusal> {
    let Some(current) = exchange.as_mut() else {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            "the request has ended",
        ));
    };
    let state = Arc::clone(&current.state);
    let (id, arrived) = (current.id.clone(), current.arrived);
    let (head, body) = request.into_parts();
    let configuration = state.configuration()?;
    let organisation = configuration.tokens.authenticate(&head.headers)?;
    state.check_accepting(&configuration)?;
    let (name, path) = split_path(head.uri.path())?;
    let service = find_service(&configuration, &organisation, name)?.clone();
    let idempotent = contract::find(&service, head.method.as_str(), path)?.idempotent;
    let key = if idempotent {
        None
    } else {
        Some(at_most_once::idempotency_key(&head.headers)?)
    };
    let target = target(path, &head.uri);
    let body = request_body::read(&state, &head, body, &organisation.name, 1).await?;
    let settings = &configuration.document.settings;
    let deadline = arrived + settings.request_deadline.to_duration();
    let hosts = state.freshness.entry_count();
    let permit = state
        .admission
        .admit(&organisation, hosts, deadline)
        .await?;
    // Checked again, because the wait for a slot may have been long.
    state.check_accepting(&configuration)?;
    let call = Call {
        service,
        request: id,
        method: head.method,
        target,
        headers: header::forwarded(&head.headers),
        body: body.into(),
        deadline,
        permit,
        organisation,
        configuration,
    };
    match key {
        None => forward::run(exchange, call).await,
        Some(key) => {
            // The call continues when its caller disconnects, so the outcome is then unknown.
            current.phase = Phase::Sent;
            at_most_once::run(&state, call, key).await
        }
    }
}

/// Splits a path into the name of the service and the remainder, which keeps its leading `/`.
fn split_path(path: &str) -> Result<(&str, &str), Refusal> {
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let end = rest.find('/').ok_or_else(|| {
        let detail = "the path names no call, expected /v1/services/{service}/{call}";
        Refusal::not_run(Reason::NotFound, detail)
    })?;
    Ok(rest.split_at(end))
}

fn target(path: &str, uri: &Uri) -> String {
    match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

/// Finds a service of the caller's half that its organisation may use.
fn find_service<'a>(
    configuration: &'a Configuration,
    organisation: &Organisation,
    name: &str,
) -> Result<&'a Service, Refusal> {
    let services = &configuration.document.services;
    let is_match =
        |service: &&Service| service.half == organisation.half && service.name.as_str() == name;
    let service = services.iter().find(is_match).ok_or_else(|| {
        Refusal::not_run(
            Reason::NotFound,
            compact_str::format_compact!("there is no service {name:?}"),
        )
    })?;
    if organisation.services.contains(&service.name) {
        return Ok(service);
    }
    let detail = compact_str::format_compact!(
        "organisation {} may not use service {name}",
        organisation.name
    );
    Err(Refusal::not_run(Reason::Forbidden, detail))
}

impl Call {
    /// Builds the request to a backend server.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] when the target is no valid URI.
    pub fn request(&self, choice: &Choice) -> Result<Request<Full<Bytes>>, Refusal> {
        let uri = format!("http://{}{}", choice.address, self.target);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(Full::new(self.body.clone()))
            .map_err(|error| {
                let detail = compact_str::format_compact!("the call cannot be forwarded: {error}");
                Refusal::not_run(Reason::BadRequest, detail)
            })?;
        let headers = request.headers_mut();
        headers.extend(self.headers.clone());
        // Ids contain only characters that are valid in a header.
        if let Ok(value) = HeaderValue::from_str(self.organisation.name.as_str()) {
            headers.insert(header::ORGANISATION, value);
        }
        if let Ok(value) = HeaderValue::from_str(self.request.as_str()) {
            headers.insert(header::REQUEST, value);
        }
        Ok(request)
    }

    /// Refusal for a call without a usable backend server.
    #[must_use]
    pub fn no_server_refusal(&self) -> Refusal {
        let detail =
            compact_str::format_compact!("service {} has no usable server", self.service.name);
        Refusal::not_run(Reason::NoServer, detail).retry_after(Duration::from_secs(1))
    }
}

/// Whether a backend server reports with the header `Agatemill-Outcome: not-run` that it did not run a call.
#[must_use]
pub fn is_rejected(headers: &HeaderMap) -> bool {
    let not_run = agatemill_core::Outcome::NotRun.as_str();
    headers
        .get(header::OUTCOME)
        .is_some_and(|value| value == not_run)
}
