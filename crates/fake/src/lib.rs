//! Fakes of the platform, model engines and plain services, with fault injection.

pub mod command;
pub mod engine;
pub mod model;
pub mod platform;
pub mod server;
pub mod service;
