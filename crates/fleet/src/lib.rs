//! Placement, routing and retry decisions for a fleet whose engines forward activations to each other.
//!
//! An entry host selects the whole path of a request, and each engine forwards to the next. This crate decides
//! which layers each engine holds ([`placement`]), which path a request takes ([`path`]), what a response says about its
//! request ([`reply`]) and which requests may be retried ([`budget`], [`attempts`]). It aggregates the load from all hosts
//! ([`census`]), selects the source from which a host receives changes ([`upstream`]) and checks that the view of the
//! platform is recent enough ([`freshness`]). Nothing here does I/O; times are passed in.

pub mod admission;
pub mod attempts;
pub mod backoff;
pub mod budget;
pub mod capacity;
pub mod census;
pub mod configuration;
pub mod demand;
pub mod departure;
pub mod evidence;
pub mod forecast;
pub mod freshness;
pub mod headcount;
pub mod history;
pub mod link;
pub mod load;
pub mod log_limit;
pub mod member;
pub mod model;
pub mod path;
pub mod placement;
pub mod plan;
pub mod prompt;
pub mod quarantine;
pub mod recent;
pub mod reply;
pub mod route;
pub mod server;
pub mod startup;
pub mod suspicion;
pub mod tally;
pub mod throttle;
pub mod upstream;

pub use attempts::Attempts;
pub use backoff::Backoff;
pub use budget::Budget;
pub use capacity::Capacity;
pub use census::Census;
pub use configuration::Configuration;
pub use demand::Demand;
pub use departure::Departures;
pub use evidence::Evidence;
pub use forecast::Forecast;
pub use freshness::Freshness;
pub use headcount::Headcount;
pub use history::History;
pub use link::Link;
pub use load::Load;
pub use log_limit::LogLimit;
pub use member::Member;
pub use model::Model;
pub use path::Path;
pub use plan::Plan;
pub use quarantine::Quarantine;
pub use recent::Recent;
pub use reply::Reply;
pub use route::Route;
pub use server::Server;
pub use startup::Startup;
pub use suspicion::Suspicion;
pub use tally::Tally;
pub use throttle::Throttle;
pub use upstream::Upstream;
