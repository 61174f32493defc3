//! Keeps new requests from servers that announce that they leave.

use core::net::SocketAddrV4;
use core::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::State;
use agatemill_adapter::engine::Report;
use agatemill_adapter::header;
use agatemill_core::id;
use agatemill_fleet::Server;
use agatemill_fleet::server;
use agatemill_fleet::server::Instance;

/// Records that a server leaves if its response says so. `server` is the instance that was listed when the request was sent.
///
/// A response describes the server that sent it, also if it names another one as the cause of a failure or belongs to an
/// earlier request on the connection. The request names its server, so only a response with status 421 may come from
/// another one.
pub fn observe(state: &State, server: &Server, status: StatusCode, headers: &HeaderMap) {
    match header::is_leaving(headers) {
        Ok(true) if status != StatusCode::MISDIRECTED_REQUEST => {
            record(state, Instance::from(server));
        }
        Ok(_) => {}
        Err(error) => {
            state.metrics.count_event("servers", "leaving_invalid");
            if state.departures().reports_invalid(agatemill_runtime::now()) {
                log::warn!(server:% = server.id, error:%; "servers: ignored an announcement of a departure");
            }
        }
    }
}

/// Records that the server at `address` leaves if its report says so. The report states which instance it is.
pub fn observe_report(state: &State, address: SocketAddrV4, report: &Report) {
    if !report.is_leaving {
        return;
    }
    let instance = {
        let view = state.view();
        let mut servers = view.services.values().flatten();
        let server = servers
            .find(|server| server.address == address && report.born_ms == Some(server.born_ms));
        server.map(|server| Instance::from(&**server))
    };
    if let Some(instance) = instance {
        record(state, instance);
    }
}

fn record(state: &State, instance: Instance) {
    let (server, born_ms) = (instance.server.clone(), instance.born_ms);
    if state.departures().record(instance) {
        log::info!(server:%, born_ms; "servers: announced its departure");
        state.metrics.count_event("servers", "leaving");
    }
}

/// Records the instances that the view lists as draining. They leave for good, also if a store that is restored from an
/// older copy lists them as ready again.
pub fn record_listed(state: &State) {
    let view = state.view();
    let servers = view.services.values().flatten();
    let draining = servers.filter(|server| server.state == server::State::Draining);
    let mut departures = state.departures();
    // Without its start, another instance of the server could not be told from this one.
    for server in draining.filter(|server| server.born_ms != 0) {
        departures.record(Instance::from(&**server));
    }
}

/// Forgets the instances that the view no longer lists.
pub fn retain_listed(state: &State, now: Duration) {
    let view = state.view();
    let listed = |server: &id::Server| view.server(server).map(|server| server.born_ms);
    state.departures().retain(listed, now);
}
