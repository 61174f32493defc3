//! The entry process: caller HTTP, admission, routing and at-most-once calls.
//!
//! [`run`] starts an entry in the current process and returns a [`Handle`]; [`command::main`] is the program
//! that does this. [`server`] accepts connections, [`exchange`] tracks each request and [`route`] selects its
//! handler, which returns a response or a [`Refusal`](agatemill_core::Refusal). [`state`] holds everything that
//! requests share.

pub mod admission;
pub mod at_most_once;
pub mod authentication;
pub mod body;
pub mod chat;
pub mod command;
pub mod completion;
pub mod completions;
pub mod configuration;
pub mod connection;
pub mod contract;
pub mod error;
pub mod exchange;
pub mod forward;
pub mod freshness;
pub mod gate;
pub mod generators;
pub mod handle;
pub mod header;
pub mod information;
pub mod link;
pub mod poll;
pub mod problem;
pub mod progress;
pub mod request_body;
pub mod resume;
pub mod route;
pub mod server;
pub mod service;
pub mod services;
pub mod settings;
pub mod shutdown;
pub mod sse;
pub mod state;
pub mod stream;

pub use error::Error;
pub use handle::Handle;
pub use settings::Settings;

use std::sync::Arc;

use smol::net::TcpListener;

use agatemill_metrics::Registry;

/// Starts an entry in this process.
///
/// # Errors
///
/// [`Error`] when the settings are invalid, the address cannot be bound or the metrics cannot be set up.
pub async fn run(settings: Settings) -> Result<Handle, Error> {
    settings.check()?;
    agatemill_runtime::start(settings.threads);
    let bind = |source| Error::Bind {
        address: settings.listen,
        source,
    };
    let listener = TcpListener::bind(settings.listen).await.map_err(bind)?;
    let bound = listener.local_addr().map_err(bind)?;
    let address = settings.advertise.unwrap_or(bound);
    let control = settings.control;
    let state = Arc::new(state::State::new(settings, address, Registry::new()?));
    log::info!(host:% = state.settings.host, address:% = bound; "entry: listening");
    let server = agatemill_runtime::spawn(server::serve(Arc::clone(&state), listener));
    let mut tasks = vec![agatemill_runtime::spawn(poll::run(Arc::clone(&state)))];
    if let Some(control) = control {
        tasks.push(agatemill_runtime::spawn(link::run(
            Arc::clone(&state),
            control,
        )));
    }
    Ok(Handle::new(bound, state, server, tasks))
}
