//! Work that is taken off the load when its request ends.

use std::sync::Arc;

use crate::State;
use agatemill_core::id;
use agatemill_fleet::Path;
use agatemill_fleet::load::Work;

/// Part of its answer that a request holds in an engine's memory, on average over the time that it runs: half,
/// and some more because longer answers stay longer.
const MEAN_ANSWER_SHARE: f64 = 0.6;

/// Work of one request on the servers that it uses; dropping it takes the work off the load.
#[derive(Debug)]
pub struct Reservation {
    state: Arc<State>,
    servers: Vec<id::Server>,
    work: Work,
}

impl Reservation {
    /// Notes a request on every engine of a path.
    #[must_use]
    pub fn on_path(state: &Arc<State>, path: &Path, prompt: f64, answer: f64) -> Self {
        let servers = path
            .parts()
            .iter()
            .map(|part| part.server.clone())
            .collect();
        let work = Work {
            requests: 1,
            tokens: prompt + answer * MEAN_ANSWER_SHARE,
            unread: prompt,
        };
        Self::begin(state, servers, work)
    }

    /// Notes a call on one server.
    #[must_use]
    pub fn on_server(state: &Arc<State>, server: &id::Server) -> Self {
        let work = Work {
            requests: 1,
            ..Work::default()
        };
        Self::begin(state, vec![server.clone()], work)
    }

    fn begin(state: &Arc<State>, servers: Vec<id::Server>, work: Work) -> Self {
        let mut load = state.load();
        for server in &servers {
            load.add(server, work);
        }
        drop(load);
        Self {
            state: Arc::clone(state),
            servers,
            work,
        }
    }

    /// Notes that the engines have read the prompt.
    pub fn release_prompt(&mut self) {
        let read = Work {
            unread: self.work.unread,
            ..Work::default()
        };
        self.work.unread = 0.0;
        let mut load = self.state.load();
        for server in &self.servers {
            load.remove(server, read);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut load = self.state.load();
        for server in &self.servers {
            load.remove(server, self.work);
        }
    }
}
