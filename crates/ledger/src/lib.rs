//! At-most-once records for non-idempotent calls.
//!
//! A call is claimed by a compare-and-swap that creates a record `begun` in the key-value service; only
//! the winner may send it. Nobody takes over a `begun` record. [`Attempt`] and [`Settle`] decide without
//! I/O what to do next; [`Ledger`] and [`Ticket`] carry that out.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod event;
pub mod key;
pub mod leases;
pub mod ledger;
pub mod permission;
pub mod record;
pub mod settle;
pub mod ticket;

pub use answer::Answer;
pub use attempt::Attempt;
pub use call::Call;
pub use event::Event;
pub use ledger::Claim;
pub use ledger::Ledger;
pub use permission::Permission;
pub use record::Record;
pub use settle::Settle;
pub use ticket::Ticket;
