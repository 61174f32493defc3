//! Obstacles to starting a path at an engine.

/// Whether a path may start at an engine, which then receives the request from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Start {
    /// It may.
    Allowed,
    /// The engine runs the request already, or its limit on requests is reached.
    Limited,
    /// The engine asked this host for no requests for a while.
    BackingOff,
}
