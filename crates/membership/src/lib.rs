//! Gossip-based failure detection and membership, as a state machine without I/O.
//!
//! [`Machine`] takes the time, received messages and a seed, and returns the messages to send. It probes
//! random members directly and through other members, suspects members that do not respond, and declares
//! them dead if they do not refute the suspicion in time. [`freshness`] decides whether a host may serve
//! with a configuration that the platform has not confirmed recently.

pub mod freshness;
pub mod machine;
pub mod member;
pub mod message;
mod probe;
pub mod settings;
pub mod updates;

pub use machine::Machine;
pub use member::Member;
pub use member::Profile;
pub use member::Service;
pub use member::State;
pub use message::Kind;
pub use message::Message;
pub use message::Outgoing;
pub use settings::Settings;
pub use updates::Updates;
