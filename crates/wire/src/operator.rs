//! Service of a control for `agatemillctl`.

use crate::Overview;
use agatemill_core::id;

/// Service of a control for `agatemillctl`.
#[tarpc::service]
pub trait Operator {
    /// State of the system as this control sees it.
    async fn overview() -> Overview;
    /// Asks this control's host (or, by way of it, another) to leave; false when the host is not known.
    async fn drain(host: id::Host) -> bool;
}
