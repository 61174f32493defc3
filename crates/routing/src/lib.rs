//! Choice of engine chains and backend servers.
//!
//! A [`Table`] holds what one entry knows of the engines: the document's facts, the last load reports, the
//! entry's own sessions, and health. [`Table::choose`] returns the cheapest [`Chain`] that covers every
//! layer of a model. Nothing here does I/O, and the time is always passed in.

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
