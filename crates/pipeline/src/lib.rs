//! Drives a generation through a chain of engines, one step for each token.
//!
//! [`Generation::run`] chooses a chain, runs every layer once for each position in order, and rebuilds the
//! session on another chain when an engine fails. [`Progress`] is the state machine that decides how to proceed after
//! each result and does no I/O; the other modules communicate with the engines.

pub mod backoff;
pub mod event;
pub mod generation;
mod hold;
pub mod latency;
pub mod mismatch;
pub mod progress;
pub mod request;
mod run;
pub mod settings;
mod transfer;
mod watchdog;

pub use event::Event;
pub use generation::Generation;
pub use latency::Latency;
pub use mismatch::Mismatch;
pub use progress::Progress;
pub use request::Request;
pub use settings::Settings;
