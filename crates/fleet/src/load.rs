//! Load of this host's unfinished requests on backend servers.

use std::collections::HashMap;

use agatemill_core::id;

/// Load of this host's unfinished requests on backend servers.
#[derive(Clone, Debug, Default)]
pub struct Load {
    servers: HashMap<id::Server, Usage>,
}

/// Load on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Tokens that they will hold at the most likely length of their output.
    pub tokens: f64,
    /// Prompt tokens not yet confirmed as read.
    pub unread: f64,
}

impl Load {
    /// Load on a server.
    #[must_use]
    pub fn of(&self, server: &id::Server) -> Usage {
        self.servers.get(server).copied().unwrap_or_default()
    }

    /// Servers with unfinished requests.
    pub fn servers(&self) -> impl Iterator<Item = (&id::Server, Usage)> {
        self.servers.iter().map(|(server, usage)| (server, *usage))
    }

    /// Adds the load of a request.
    pub fn add(&mut self, server: &id::Server, usage: Usage) {
        let total = self.servers.entry(server.clone()).or_default();
        total.requests += usage.requests;
        total.tokens += usage.tokens;
        total.unread += usage.unread;
    }

    /// Removes the load of a request that has ended or whose prompt has been read.
    pub fn remove(&mut self, server: &id::Server, usage: Usage) {
        let Some(total) = self.servers.get_mut(server) else {
            return;
        };
        total.requests = total.requests.saturating_sub(usage.requests);
        total.tokens = (total.tokens - usage.tokens).max(0.0);
        total.unread = (total.unread - usage.unread).max(0.0);
        if total.requests == 0 {
            self.servers.remove(server);
        }
    }
}
