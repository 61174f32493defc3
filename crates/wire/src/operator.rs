//! Service of a control for `agatemillctl`.

use crate::Count;
use crate::Overview;
use agatemill_core::id;

/// Service of a control for `agatemillctl`.
#[tarpc::service]
pub trait Operator {
    /// Returns the state of the system as this control sees it.
    async fn overview() -> Overview;
    /// Queries all members whether they have a generation in force. Takes up to about 1 s.
    async fn count(generation: u64) -> Count;
    /// Requests that a host leave: this control's own or, through this control, another. Returns false when
    /// the host is unknown.
    async fn drain(host: id::Host) -> bool;
}
