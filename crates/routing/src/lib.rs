//! Choice of engine chains and backend servers.
//!
//! A [`Table`] stores the state that one entry keeps for each engine: its configuration from the document,
//! its last load report, the sessions that this entry has open, and its health. [`Table::choose`] returns the
//! cheapest [`Chain`] that covers every layer of a model. The crate does no I/O, and callers pass in the time.

pub mod chain;
pub mod engine;
pub mod flow;
pub mod group;
pub mod link;
pub mod load;
pub mod path;
pub mod policy;
pub mod pool;
pub mod rendezvous;
pub mod report;
pub mod request;
pub mod server;
pub mod table;

pub use chain::Chain;
pub use chain::Stage;
pub use engine::Engine;
pub use group::Group;
pub use load::Load;
pub use policy::Policy;
pub use report::Report;
pub use request::Request;
pub use table::Table;
