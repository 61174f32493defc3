//! Stand-ins for the platform, model engines and plain services, with fault switches.

pub mod command;
pub mod engine;
pub mod model;
pub mod platform;
pub mod server;
pub mod service;
