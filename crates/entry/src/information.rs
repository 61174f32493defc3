//! Handlers of requests that need no backend server.

use core::net::SocketAddr;

use hyper::HeaderMap;
use hyper::Response;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;

use crate::body::Body;
use crate::state::State;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_wire::directory::Place;

/// An entry host in the response of `/v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Entry {
    host: id::Host,
    zone: id::Zone,
    address: SocketAddr,
}

#[derive(Serialize)]
struct Entries {
    /// Entry hosts; those in the zone of the responding host come first.
    entries: Vec<Entry>,
    /// How long the response may be cached, in seconds.
    max_age: u64,
}

#[derive(Serialize)]
struct Models<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a id::Model,
    object: &'static str,
    created: u64,
    owned_by: &'a id::Half,
}

/// `GET /healthz`: succeeds while the process runs.
#[must_use]
pub fn health() -> Response<Body> {
    text("ok\n")
}

/// `GET /readyz`: succeeds if a configuration is active and fresh and the entry is not draining.
///
/// # Errors
///
/// [`Reason::NotReady`], [`Reason::Draining`] or [`Reason::StaleConfiguration`].
pub fn ready(state: &State) -> Result<Response<Body>, Refusal> {
    let configuration = state.configuration()?;
    if state.progress.is_draining() {
        let detail = "the entry is leaving; use another address";
        return Err(Refusal::not_run(Reason::Draining, detail));
    }
    state.check_accepting(&configuration)?;
    Ok(text("ready\n"))
}

/// `GET /metrics`: the metrics in the Prometheus text format.
///
/// # Errors
///
/// [`Reason::NotReady`] when the metrics cannot be exported.
pub fn metrics(state: &State) -> Result<Response<Body>, Refusal> {
    let export = state.metrics.export().map_err(|error| {
        log::error!(error:%; "metrics: export failed");
        Refusal::not_run(Reason::NotReady, "the metrics cannot be exported")
    })?;
    let mut response = Response::new(Body::full(export));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

/// `GET /v1/entries`: addresses of entry hosts and how long they may be cached.
///
/// # Errors
///
/// [`Reason::NotReady`].
pub fn entries(state: &State) -> Result<Response<Body>, Refusal> {
    let configuration = state.configuration()?;
    let lifetime = configuration.document.settings.address_lifetime;
    let max_age = lifetime.to_duration().as_secs();
    let body = Entries {
        entries: ordered_entries(state),
        max_age,
    };
    let mut response = json(&body);
    let value = format!("max-age={max_age}");
    if let Ok(value) = HeaderValue::from_str(&value) {
        response.headers_mut().insert(CACHE_CONTROL, value);
    }
    Ok(response)
}

/// Entry hosts in the order in which callers should try them. The order within a zone is random, so that
/// callers are distributed over the hosts.
fn ordered_entries(state: &State) -> Vec<Entry> {
    let mut places = state.directory().places;
    let is_own = |place: &Place| place.host == state.settings.host;
    if state.progress.is_draining() {
        places.retain(|place| !is_own(place));
    } else if !places.iter().any(is_own) {
        // This host serves requests, even if the directory of its control does not list it.
        places.push(Place {
            host: state.settings.host.clone(),
            zone: state.settings.zone.clone(),
            address: state.address,
        });
    }
    fastrand::shuffle(&mut places);
    places.sort_by_key(|place| place.zone != state.settings.zone);
    let entry = |place: Place| Entry {
        host: place.host,
        zone: place.zone,
        address: place.address,
    };
    places.into_iter().map(entry).collect()
}

/// `GET /v1/models`: models that the caller's organisation may use.
///
/// # Errors
///
/// [`Reason::NotReady`] or [`Reason::Unauthorized`].
pub fn models(state: &State, headers: &HeaderMap) -> Result<Response<Body>, Refusal> {
    let configuration = state.configuration()?;
    let organisation = configuration.tokens.authenticate(headers)?;
    let model = |id| Model {
        id,
        object: "model",
        created: 0,
        owned_by: &organisation.half,
    };
    let body = Models {
        object: "list",
        data: organisation.models.iter().map(model).collect(),
    };
    Ok(json(&body))
}

fn text(text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    let kind = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn json(value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("the response is plain JSON");
    let mut response = Response::new(Body::full(bytes));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
