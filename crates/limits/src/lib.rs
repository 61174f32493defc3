//! Rate limits, concurrency shares, fair queueing, retry budgets, circuit breakers and the account of memory.
//!
//! All types are plain values. Times are passed in, and nothing blocks or does I/O. A caller keeps the values in
//! shards, each under its own lock.

pub mod account;
pub mod breaker;
pub mod bucket;
pub mod budget;
pub mod line;
pub mod queue;
pub mod share;

pub use account::Account;
pub use breaker::Breaker;
pub use bucket::Bucket;
pub use budget::Budget;
pub use line::Line;
pub use queue::Queue;
