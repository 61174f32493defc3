//! How a server answers requests, by its argument.

/// What a server sends for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A body in two halves with a pause between them, with neither a length nor chunks.
    Halves,
    /// The same, as a failure of the server.
    Failure,
    /// Events with pauses between them, with neither a length nor chunks.
    Events,
    /// Events in chunks. Before one of them, the server falls silent for less than a second.
    Silence,
}

impl Answer {
    pub fn parse(text: &str) -> Self {
        match text {
            "halves" => Self::Halves,
            "failure" => Self::Failure,
            "silence" => Self::Silence,
            _ => Self::Events,
        }
    }
}

/// Number of events of a whole stream.
pub const EVENTS: u32 = 40;

/// Milliseconds between two events, and a tenth of the pause between two halves.
pub const EVENT_MS: u64 = 80;

/// The halves of the body for an attempt.
pub fn halves(attempt: &str) -> [String; 2] {
    let half = |name: &str| {
        format!(
            "{name} half of the answer to {attempt}; {}\n",
            "-".repeat(400)
        )
    };
    [half("first"), half("second")]
}

/// The events of a stream from a number on, each as it is sent.
pub fn event(number: u32) -> String {
    format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n")
}

/// The event before which [`Answer::Silence`] is silent.
pub const SILENT_BEFORE: u32 = 20;

/// Milliseconds of that silence.
pub const SILENCE_MS: u64 = 800;
