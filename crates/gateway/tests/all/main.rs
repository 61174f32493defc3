//! Tests of a gateway host between callers and stand-ins of the platform.

mod answers;
mod backoff;
mod configuration;
mod cut;
mod endless;
mod foreign;
mod full;
mod hosts;
mod invalid;
mod leaving;
mod lost;
mod outage;
mod quarantine;
mod refused;
mod restore;
mod reused;
mod runs;
mod serving;
mod settings;
mod silence;
mod startup;
mod store;
mod system;
mod table;
mod tasks;
mod throttle;
mod unframed;
mod upstream;
mod view;

use crate::system::System;
use agatemill_standin::engine::EVENTS;

/// Starts a system and runs a test on it.
fn run_test<T: Future<Output = ()>>(engines: usize, test: impl FnOnce(System) -> T) {
    smol::block_on(async { test(System::start(engines).await).await });
}

/// The complete events of a stream, each once and in order.
fn complete_stream() -> String {
    let event = |number| format!("id: {number}\ndata: t{number}\n\n");
    let events: Vec<String> = (0..EVENTS).map(event).collect();
    events.concat()
}
