//! Choice among the backend servers of a plain service.

use core::net::IpAddr;
use core::net::SocketAddr;
use core::time::Duration;

use agatemill_config::document;
use agatemill_core::id;
use agatemill_limits::Breaker;
use agatemill_limits::breaker;

/// State of one backend server, as seen by one entry.
#[derive(Clone, Debug)]
struct Server {
    facts: document::Server,
    breaker: Breaker,
    leaving: bool,
    /// Calls from this entry that are in flight.
    in_flight: u32,
}

/// The backend servers of one service.
#[derive(Clone, Debug)]
pub struct Servers {
    servers: Vec<Server>,
    random: fastrand::Rng,
}

/// A backend server that was chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the server.
    pub server: id::Server,
    /// Address that the server listens on.
    pub address: SocketAddr,
}

impl Servers {
    /// Creates the state of a service's servers.
    #[must_use]
    pub fn new(service: &document::Service, seed: u64) -> Self {
        let servers = service.servers.iter().cloned().map(|facts| Server {
            facts,
            breaker: Breaker::new(breaker::Settings::default()),
            leaving: false,
            in_flight: 0,
        });
        Self {
            servers: servers.collect(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Applies a new document; servers whose entry is unchanged keep their state.
    pub fn apply(&mut self, service: &document::Service) {
        let mut next = Self::new(service, self.random.u64(..));
        for server in &mut next.servers {
            let old = self.servers.iter().find(|old| old.facts == server.facts);
            if let Some(old) = old {
                *server = old.clone();
            }
        }
        *self = next;
    }

    /// Marks the servers on these hosts as leaving and all others as not leaving.
    pub fn set_leaving(&mut self, hosts: &[IpAddr]) {
        for server in &mut self.servers {
            server.leaving = hosts.contains(&server.facts.address.ip());
        }
    }

    /// Chooses the usable server with the fewest calls of this entry in flight, skipping `exclude`, and records
    /// the call as in flight. Servers with open breakers are used only if no other server is usable.
    pub fn choose(&mut self, exclude: &[id::Server], now: Duration) -> Option<Choice> {
        let usable = |server: &Server| !server.leaving && !exclude.contains(&server.facts.name);
        let any_allowed = self
            .servers
            .iter()
            .any(|server| usable(server) && server.breaker.allows(now));
        let random = &mut self.random;
        let server = self
            .servers
            .iter_mut()
            .filter(|server| usable(server) && (server.breaker.allows(now) || !any_allowed))
            .min_by_key(|server| (server.in_flight, random.u32(..)))?;
        server.in_flight += 1;
        server.breaker.begin(now);
        Some(Choice {
            server: server.facts.name.clone(),
            address: server.facts.address,
        })
    }

    /// Records that a call was abandoned without a result, which does not count for or against the server.
    ///
    /// If the call was a trial request, the breaker opens again, because nothing else would end the trial.
    pub fn record_abandonment(&mut self, server: &id::Server, now: Duration) {
        let found = self
            .servers
            .iter_mut()
            .find(|other| other.facts.name == *server);
        let Some(server) = found else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if server.breaker.state() == breaker::State::HalfOpen {
            server.breaker.record_failure(now);
        }
    }

    /// Records the result of a call.
    pub fn record_result(&mut self, server: &id::Server, succeeded: bool, now: Duration) {
        let Some(server) = self
            .servers
            .iter_mut()
            .find(|other| other.facts.name == *server)
        else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if succeeded {
            server.breaker.record_success();
        } else {
            server.breaker.record_failure(now);
        }
    }
}
