//! Stages of the shutdown.

/// Shutdown stage of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serving normally.
    Serving,
    /// Still serving, but closing connections so that callers move to other hosts.
    Leaving,
    /// No new streams are started, since they might outlast the process. Streams that have begun may continue at other
    /// engines.
    Closing,
    /// No requests are started, and connections are closed as soon as their responses are written.
    Ending,
}

impl From<u8> for Stage {
    fn from(number: u8) -> Self {
        match number {
            0 => Self::Serving,
            1 => Self::Leaving,
            2 => Self::Closing,
            _ => Self::Ending,
        }
    }
}
