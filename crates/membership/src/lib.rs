//! Failure detection and membership as a state machine without I/O.
//!
//! [`Machine`] is given the time, received messages and a seed, and returns the messages to send. It
//! probes random members, asks others to probe on its behalf, suspects members that do not answer and
//! counts them as dead when they do not refute the suspicion in time. [`freshness`] decides whether a
//! host may serve with a configuration that the platform has not confirmed for a while.

pub mod freshness;
pub mod machine;
pub mod member;
pub mod message;
pub mod news;
mod probe;
pub mod settings;

pub use machine::Machine;
pub use member::Member;
pub use member::Profile;
pub use member::Service;
pub use member::State;
pub use message::Kind;
pub use message::Message;
pub use message::Outgoing;
pub use news::News;
pub use settings::Settings;
