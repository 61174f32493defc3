//! HTTP/1.1 client with a connection pool, over `smol`, and what it shares with servers.
//!
//! Errors distinguish requests that cannot have reached the server from those that may have.

pub mod body;
pub mod buffers;
pub mod client;
pub mod closer;
pub mod connector;
pub mod error;

pub mod inflow;
pub mod intake;
pub mod invalid;
pub mod overhead;
pub mod pace;
pub mod quota;
pub mod spawner;
pub mod timer;

pub use body::Body;
pub use buffers::Buffers;
pub use client::Client;
pub use error::Error;

pub use inflow::Inflow;
pub use invalid::Invalid;
pub use overhead::Overhead;
pub use pace::Pace;
pub use quota::Quota;
