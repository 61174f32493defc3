//! Attempts to run one request on backend servers.

use core::net::SocketAddrV4;

use agatemill_core::id;

/// Maximum number of engine losses in a request before it fails.
const MAX_LOSSES: usize = 4;

/// Maximum number of paths that reject a request, stating that they did not run it, or that are not reached, before it fails
/// if no response has begun.
const MAX_REJECTIONS: u32 = 4;

/// Attempts to run one request of a caller, and their outcomes.
///
/// A route limits the number of servers that may run a request. A server that has ended does not count, but a
/// server that only seems lost to this host may still run the request. A lost server therefore counts until the
/// platform no longer lists it. A run counts from the moment at which the request is sent.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Times that the request was sent.
    sent: u32,
    /// Times that a server rejected the request and stated that it did not run it.
    rejections: u32,
    /// Runs that may have begun, in order.
    runs: Vec<Run>,
}

/// A run of a request that may have begun.
#[derive(Clone, Debug)]
struct Run {
    /// The server that received the request.
    server: id::Server,
    /// Address of the server.
    address: SocketAddrV4,
    /// Whether the run ended because the server is lost.
    is_lost: bool,
}

impl Attempts {
    /// Records that the request is sent to a server, which may run it from now on.
    pub fn record_send(&mut self, server: id::Server, address: SocketAddrV4) {
        self.sent += 1;
        self.runs.push(Run {
            server,
            address,
            is_lost: false,
        });
    }

    /// Records that the server rejected the request and stated that it did not run it, or that it did not receive it.
    pub fn record_rejection(&mut self, server: &id::Server) {
        if let Some(run) = self.runs.iter().rposition(|run| &run.server == server) {
            self.runs.remove(run);
        }
        self.rejections += 1;
    }

    /// Records that the run on a server ended because the server is lost.
    pub fn record_loss(&mut self, server: &id::Server) {
        if let Some(run) = self.runs.iter_mut().rfind(|run| &run.server == server) {
            run.is_lost = true;
        }
    }

    /// Times that the request was sent.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Times that the request was rejected.
    #[must_use]
    pub fn rejections(&self) -> u32 {
        self.rejections
    }

    /// Number of runs that may have begun.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Number of runs that ended because this host lost their servers.
    #[must_use]
    pub fn losses(&self) -> usize {
        self.runs.iter().filter(|run| run.is_lost).count()
    }

    /// Whether no further run is allowed, given which servers the platform lists.
    #[must_use]
    pub fn has_run_enough(
        &self,
        max_attempts: u32,
        is_listed: impl Fn(&id::Server, SocketAddrV4) -> bool,
    ) -> bool {
        let may_live = |run: &&Run| !run.is_lost || is_listed(&run.server, run.address);
        let runs = self.runs.iter().filter(may_live).count();
        runs >= usize::try_from(max_attempts).unwrap_or(usize::MAX) || self.losses() >= MAX_LOSSES
    }

    /// Whether so many paths rejected the request that it fails if no response has begun.
    #[must_use]
    pub fn is_often_rejected(&self) -> bool {
        self.rejections >= MAX_REJECTIONS
    }
}
