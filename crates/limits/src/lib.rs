//! Rate limits, concurrency shares, fair queueing, retry budgets and circuit breakers.
//!
//! All types are plain values. Times are passed in, and nothing blocks or does I/O. A caller keeps the values in
//! shards, each under its own lock.

pub mod breaker;
pub mod bucket;
pub mod budget;
pub mod line;
pub mod queue;
pub mod share;

pub use breaker::Breaker;
pub use bucket::Bucket;
pub use budget::Budget;
pub use line::Line;
pub use queue::Queue;
