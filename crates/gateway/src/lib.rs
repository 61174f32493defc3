//! The gateway process of an entry host, for platforms whose engines forward requests among themselves.
//!
//! Each host runs one gateway. It serves callers, resolves the addresses of the other hosts for them, and takes
//! part in electing the planner that assigns layers to engines. All durable state is in the platform's key-value
//! store, so a host that starts reads the store and serves.

pub mod admission;
pub mod backoff;
pub mod call;
pub mod choice;
pub mod clock;
pub mod command;
pub mod connection;
pub mod connections;
pub mod consult;
pub mod counter;
pub mod departure;
pub mod directory;
pub mod error;
pub mod exchange;
pub mod feed;
pub mod gate;
pub mod gossip;
pub mod idle;
pub mod intake;
pub mod log_output;
pub mod planner;
pub mod process;
pub mod purpose;
pub mod quarantine;
pub mod registration;
pub mod relay;
pub mod reply;
pub mod reservation;
pub mod response;
pub mod run;
pub mod runs;
pub mod sending;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod socket;
pub mod stall;
pub mod state;
pub mod stream;
pub mod supervise;
pub mod sync;
pub mod table;
pub mod throttle;
pub mod turns;
pub mod view;

pub use counter::Counter;
pub use error::Error;
pub use process::Process;
pub use settings::Settings;
pub use state::State;
pub use view::View;
