//! Stand-ins for the platform: its key-value store and its engines, in this process.

pub mod engine;
pub mod http;
pub mod store;
pub mod system;
