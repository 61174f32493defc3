//! Decisions over a fleet of backend servers whose engines forward activations among themselves.
//!
//! An entry host names the whole path of a request and the engines pass it along. This crate holds what
//! has to be decided for that: which layers each engine holds ([`placement`]), which path a request takes
//! ([`path`]), what is sent once more ([`budget`]), how hosts learn of each other's work ([`census`]), where
//! they learn of changes ([`upstream`]), and whether the view of the configuration is recent enough
//! ([`freshness`]). Nothing here does I/O; times are passed in.

pub mod budget;
pub mod census;
pub mod configuration;
pub mod freshness;
pub mod link;
pub mod load;
pub mod member;
pub mod model;
pub mod path;
pub mod placement;
pub mod route;
pub mod server;
pub mod suspicion;
pub mod tally;
pub mod upstream;

pub use budget::Budget;
pub use census::Census;
pub use configuration::Configuration;
pub use freshness::Freshness;
pub use link::Link;
pub use load::Load;
pub use member::Member;
pub use model::Model;
pub use path::Path;
pub use route::Route;
pub use server::Server;
pub use suspicion::Suspicion;
pub use tally::Tally;
pub use upstream::Upstream;
