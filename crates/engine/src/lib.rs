//! Client and wire types for model engines.
//!
//! An engine serves a range of a model's layers and a KV cache for each session. Steps are MessagePack
//! over HTTP/1.1, everything else is JSON; `docs/design.md` lists the paths.

pub mod client;
pub mod error;
pub mod event;
pub mod failure;
pub mod input;
pub mod order;
pub mod output;
pub mod reply;
pub mod status;
pub mod step;
pub mod transfer;

pub use client::Client;
pub use error::Error;
pub use event::Event;
pub use failure::Failure;
pub use input::Input;
pub use order::Order;
pub use output::Output;
pub use reply::Reply;
pub use status::Status;
pub use step::Step;
