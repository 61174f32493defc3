//! The control process: membership, configuration spreading, the directory of entry addresses, planning.
//!
//! [`run`] starts a control within the current process. Its parts keep their state under their own
//! locks, in `shared::Shared`; each part runs as one or more tasks that end with the [`Control`].

pub mod command;
pub mod configuration;
pub mod control;
mod count;
pub mod directory;
pub mod document;
pub mod entry;
pub mod error;
mod gossip;
pub mod hosts;
mod leases;
pub mod placement;
pub mod planner;
mod platform;
pub mod record;
mod remote;
mod serve;
pub mod settings;
mod shared;
mod spread;
mod tasks;
mod traffic;

pub use control::Control;
pub use control::run;
pub use error::Error;
pub use settings::Settings;
