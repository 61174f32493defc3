//! The process of an entry host on a platform whose engines forward among themselves.
//!
//! One process on each host answers callers, tells them which hosts to use, and takes part in choosing
//! the planner that places the layers. All that must last is in the platform's key-value store; a host
//! that starts reads it and serves.

pub mod call;
pub mod choice;
pub mod clock;
pub mod command;
pub mod directory;
pub mod error;
pub mod exchange;
pub mod feed;
pub mod gossip;
pub mod log_output;
pub mod planner;
pub mod process;
pub mod registration;
pub mod relay;
pub mod reservation;
pub mod response;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod stall;
pub mod state;
pub mod stream;
pub mod sync;
pub mod view;

pub use error::Error;
pub use process::Process;
pub use settings::Settings;
pub use state::State;
pub use view::View;
