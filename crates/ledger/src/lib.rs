//! At-most-once records for non-idempotent calls.
//!
//! A call is claimed by a compare-and-swap that creates a `begun` record in the key-value service; only the
//! winner may send the call. A `begun` record is never taken over by another claim. [`Attempt`] and [`Settlement`]
//! are state machines without I/O; [`Ledger`] and [`Ticket`] perform their actions.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod event;
pub mod key;
pub mod leases;
pub mod ledger;
pub mod permission;
pub mod record;
pub mod settlement;
pub mod ticket;

pub use answer::Answer;
pub use attempt::Attempt;
pub use call::Call;
pub use event::Event;
pub use ledger::Claim;
pub use ledger::Ledger;
pub use permission::Permission;
pub use record::Record;
pub use settlement::Settlement;
pub use ticket::Ticket;
