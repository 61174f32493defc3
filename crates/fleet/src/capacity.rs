//! What a host has for duties that it performs for others.

use agatemill_core::quantity::Bandwidth;

/// What a host has for duties that it performs for others: it sends changes of the store and totals of the load to all hosts
/// of its zone, or plans the layers. Of two hosts the one with the faster link has more, since the duties send more than
/// they compute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Capacity {
    /// Throughput of its link; zero if unknown.
    pub link: Bandwidth,
    /// Thousandths of a processor that the process may use; zero if unknown.
    pub processor_permille: u32,
}
