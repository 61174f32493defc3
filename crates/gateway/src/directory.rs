//! Resolves the addresses of entry hosts for callers.

use core::net::SocketAddrV4;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;

use crate::State;
use crate::response;
use crate::response::Body;
use crate::state::Stage;
use agatemill_adapter::path;
use agatemill_fleet::Member;

/// Responds with the addresses of the hosts that callers can connect to.
#[must_use]
pub fn resolve(state: &State) -> Response<Body> {
    let addresses = addresses(state);
    if addresses.is_empty() {
        return response::with_body(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new());
    }
    let lifetime = state.settings().directory_lifetime.to_duration();
    let body = path::encode_addresses(addresses, lifetime);
    response::with_body(StatusCode::OK, "application/json", Bytes::from(body))
}

/// Addresses of the serving hosts, in random order. All zones are included, whatever the caller's zone: even
/// load matters more than the fraction of a millisecond between zones.
fn addresses(state: &State) -> Vec<SocketAddrV4> {
    let settings = state.settings();
    let is_self = |member: &&Member| member.host == settings.host;
    let view = state.view();
    let others = view.members.values().filter(|member| !is_self(member));
    let mut addresses: Vec<SocketAddrV4> = others.map(|member| member.address).collect();
    drop(view);
    if state.stage() == Stage::Serving && state.is_ready() {
        addresses.push(settings.callers);
    }
    fastrand::shuffle(&mut addresses);
    addresses.truncate(path::MAX_ADDRESSES);
    addresses
}
