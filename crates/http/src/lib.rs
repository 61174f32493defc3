//! HTTP/1.1 client with a connection pool, over `smol`.
//!
//! Its errors tell a request that cannot have reached the server from one that may have.

pub mod client;
pub mod connector;
pub mod error;
pub mod spawner;

pub use client::Client;
pub use error::Error;
