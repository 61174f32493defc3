//! Identifiers, quantities, outcomes and refusal reasons shared by all parts of agatemill.
//!
//! Nothing in this crate does I/O. Times are [`core::time::Duration`] values since the start of the
//! process, passed in by the caller, so that decision logic can be tested without clocks.

pub mod cause;
pub mod digest;
pub mod id;
pub mod layer;
pub mod number;
pub mod outcome;
pub mod phase;
pub mod priority;
pub mod quantity;
pub mod reason;
pub mod refusal;
pub mod urgency;

pub use cause::Cause;
pub use digest::Digest;
pub use outcome::Outcome;
pub use phase::Phase;
pub use priority::Priority;
pub use reason::Reason;
pub use refusal::Refusal;
pub use urgency::Urgency;
