//! How the end of a response is marked.

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length or by chunks.
    Delimited,
    /// By the end of its connection only.
    Connection,
}

impl Framing {
    /// Whether a response that has ended is whole only if its server still runs: the end of a process ends its connections
    /// too. A server that leaves exits after its responses.
    #[must_use]
    pub fn needs_running_server(self, is_staying: bool) -> bool {
        self == Self::Connection && is_staying
    }
}
