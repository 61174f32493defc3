//! Control process: membership, configuration distribution, the directory of entry addresses, and planning.
//!
//! [`run`] starts a control within the current process. Shared state is in `shared::Shared`, with a lock for each
//! part; each part runs as one or more tasks that end with the [`Control`].

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
