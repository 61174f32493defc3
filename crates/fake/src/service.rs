//! Fake application service.
//!
//! Answers every call with an [`Echo`]. `POST /fake/faults` sets [`Faults`], where omitted fields take their defaults,
//! and `GET /fake/executions` lists the calls that ran.

pub mod call;
pub mod faults;

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use clap::Args;
use hyper::Request;

use crate::server::Outcome;
use crate::server::Server;
use crate::server::json;

pub use call::Echo;
pub use call::Execution;
pub use faults::Faults;

/// Settings of a fake service; also the arguments of `agatemill-fake service`.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Address to listen on; port 0 lets the operating system choose.
    #[arg(long)]
    pub listen: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    executions: Vec<Execution>,
}

type Shared = Arc<Mutex<State>>;

/// A running fake service. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Shared,
}

impl Service {
    /// Starts a service at the address of the settings.
    ///
    /// # Errors
    ///
    /// I/O errors of opening the listener.
    pub async fn listen(settings: &Settings) -> io::Result<Self> {
        let state = Shared::default();
        let shared = Arc::clone(&state);
        let handler = move |request| handle(request, Arc::clone(&shared));
        let server = Server::listen(settings.listen, handler).await?;
        Ok(Self { server, state })
    }

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the active faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Calls that ran, in order of execution.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state).executions.clone()
    }

    /// Stops immediately, like a killed process.
    pub fn close(self) {
        drop(self);
    }
}

async fn handle(request: Request<Bytes>, state: Shared) -> Outcome {
    match request.uri().path() {
        "/fake/faults" => return Some(set_faults(request.body(), &state)),
        "/fake/executions" => return Some(json(200, &lock(&state).executions)),
        _ => {}
    }
    let before = lock(&state).faults.before_ms;
    agatemill_runtime::sleep(Duration::from_millis(before)).await;
    let (echo, cut, after, status) = {
        let mut state = lock(&state);
        if let Some(status) = state.faults.consume_refusal() {
            return Some(json(status, &"refused"));
        }
        let echo = state.execute(&request);
        let cut = state.faults.consume_cut();
        let status = state.faults.answer.unwrap_or(200);
        (echo, cut, state.faults.after_ms, status)
    };
    if cut {
        return None;
    }
    agatemill_runtime::sleep(Duration::from_millis(after)).await;
    Some(json(status, &echo))
}

fn set_faults(body: &[u8], state: &Shared) -> hyper::Response<crate::server::Body> {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            lock(state).faults = faults;
            json(200, &())
        }
        Err(error) => json(400, &error.to_string()),
    }
}

impl State {
    fn execute(&mut self, request: &Request<Bytes>) -> Echo {
        let execution = Execution::new(request, self.executions.len() as u64);
        let echo = execution.echo.clone();
        self.executions.push(execution);
        echo
    }
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
