//! Keeps new requests from servers that announce that they leave.

use core::net::SocketAddrV4;
use core::time::Duration;

use hyper::Response;
use hyper::StatusCode;

use crate::State;
use agatemill_adapter::engine::Report;
use agatemill_adapter::header;
use agatemill_core::id;
use agatemill_fleet::server::Instance;

/// A request that was sent to a server.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The instance that was listed when the request was sent; `None` if there was none.
    instance: Option<Instance>,
    address: SocketAddrV4,
}

impl Sent {
    /// Describes a request that is sent now.
    #[must_use]
    pub fn new(state: &State, server: &id::Server, address: SocketAddrV4) -> Self {
        let view = state.view();
        let server = view.server(server);
        Self {
            instance: server.map(|server| Instance::from(&**server)),
            address,
        }
    }

    /// Records that the server leaves if its response to this attempt says so.
    ///
    /// The request names its server, so only that one gives another status than 421. A response with status 421, with
    /// another engine at fault, or to another attempt may speak of another server.
    pub fn observe<T>(&self, state: &State, attempt: &str, response: &Response<T>) {
        let headers = response.headers();
        if !header::is_leaving(headers) {
            return;
        }
        let names_other = header::faulty_server(headers).is_some_and(|other| other != self.address);
        let is_own = response.status() != StatusCode::MISDIRECTED_REQUEST
            && !names_other
            && !header::is_answer_to_other(attempt, headers);
        if let Some(instance) = self.instance.as_ref().filter(|_| is_own) {
            record(state, instance.clone());
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

/// Forgets the instances that the view no longer lists.
pub fn retain_listed(state: &State, now: Duration) {
    let view = state.view();
    let listed = |server: &id::Server| view.server(server).map(|server| server.born_ms);
    state.departures().retain(listed, now);
}
