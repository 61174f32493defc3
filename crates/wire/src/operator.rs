//! Service of a control for `agatemillctl`.

use crate::Count;
use crate::Overview;
use agatemill_core::id;

/// Service of a control for `agatemillctl`.
#[tarpc::service]
pub trait Operator {
    /// State of the system as this control sees it.
    async fn overview() -> Overview;
    /// Asks all members whether they have a generation in force. Takes up to about 1 s.
    async fn count(generation: u64) -> Count;
    /// Asks this control's host (or, by way of it, another) to leave; false when the host is not known.
    async fn drain(host: id::Host) -> bool;
}
