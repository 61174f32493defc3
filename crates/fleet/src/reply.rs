//! What the response of a backend server says about a request.

pub mod flaw;
pub mod framing;

pub use flaw::Flaw;
pub use framing::Framing;

/// What the head of a response states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Attempt that the response names.
    pub attempt: Attempt,
    /// Whether the server states that it did not run the request.
    pub states_not_run: bool,
    /// What its status tells a caller.
    pub meaning: Meaning,
    /// Whether it carries the proof that it comes from the backend server.
    pub is_sealed: bool,
}

/// Attempt that a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The one that was sent.
    Same,
    /// Another one: a server may send an extra response late, in place of the next one.
    Other,
    /// None.
    Unnamed,
}

/// What the status of a response tells a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The request ran.
    Success,
    /// The request did not run and never will.
    NotRun,
    /// The request failed; it may have run.
    Failure,
}

/// What a response means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request did not run.
    NotRun,
    /// The response may be passed on unchanged.
    Answer,
    /// The response is of no use to the caller, and the request may have run.
    Unusable(Flaw),
}

impl Reply {
    /// Decides what the response means for its request.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        if self.states_not_run && self.attempt != Attempt::Other {
            Verdict::NotRun
        } else if self.attempt != Attempt::Same {
            Verdict::Unusable(Flaw::OtherAttempt)
        } else if self.meaning == Meaning::Success && !self.is_sealed {
            Verdict::Unusable(Flaw::Unsealed)
        } else if self.meaning == Meaning::NotRun {
            Verdict::Unusable(Flaw::Unconfirmed)
        } else {
            Verdict::Answer
        }
    }
}
