//! Load of a request on its servers, released when the request ends.

use std::sync::Arc;

use crate::State;
use agatemill_core::id;
use agatemill_fleet::Path;
use agatemill_fleet::demand::Subject;
use agatemill_fleet::load::Usage;

/// Mean share of its output that a request keeps in an engine's memory over its run time: half, plus a margin
/// because longer outputs stay longer.
const MEAN_OUTPUT_SHARE: f64 = 0.6;

/// Load of one request on its servers; dropping the reservation releases it.
#[derive(Debug)]
pub struct Reservation {
    state: Arc<State>,
    servers: Vec<id::Server>,
    usage: Usage,
    /// Set for streams, whose demand is counted.
    run: Option<Run>,
}

/// A run of a stream whose demand is counted.
#[derive(Clone, Copy, Debug)]
struct Run {
    subject: Subject,
    tokens: f64,
}

impl Reservation {
    /// Adds the load of a request to every engine of a path.
    #[must_use]
    pub fn on_path(
        state: &Arc<State>,
        path: &Path,
        subject: Subject,
        prompt: f64,
        output: f64,
    ) -> Self {
        let servers = path
            .parts()
            .iter()
            .map(|part| part.server.clone())
            .collect();
        let usage = Usage {
            requests: 1,
            tokens: prompt + output * MEAN_OUTPUT_SHARE,
            unread: prompt,
        };
        let tokens = usage.tokens;
        let run = Run { subject, tokens };
        let now = agatemill_runtime::now();
        state.meter().begin_run(subject, tokens, now);
        let mut reservation = Self::begin(state, servers, usage);
        reservation.run = Some(run);
        reservation
    }

    /// Adds the load of a call to one server.
    #[must_use]
    pub fn on_server(state: &Arc<State>, server: &id::Server) -> Self {
        let usage = Usage {
            requests: 1,
            ..Usage::default()
        };
        Self::begin(state, vec![server.clone()], usage)
    }

    fn begin(state: &Arc<State>, servers: Vec<id::Server>, usage: Usage) -> Self {
        let mut load = state.load();
        for server in &servers {
            load.add(server, usage);
        }
        drop(load);
        Self {
            state: Arc::clone(state),
            servers,
            usage,
            run: None,
        }
    }

    /// Releases the prompt's share of the load once the engines have read it.
    pub fn release_prompt(&mut self) {
        let read = Usage {
            unread: self.usage.unread,
            ..Usage::default()
        };
        self.usage.unread = 0.0;
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
            load.remove(server, self.usage);
        }
        drop(load);
        if let Some(run) = self.run {
            let now = agatemill_runtime::now();
            self.state.meter().end_run(run.subject, run.tokens, now);
            self.state.turns.wake();
        }
    }
}
