//! Error responses of an engine.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Error response of an engine; JSON body of a 4xx or 5xx response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("engine answered {code}: {detail}")]
pub struct Failure {
    /// Error code.
    pub code: Code,
    /// Human-readable description in one sentence.
    pub detail: CompactString,
}

/// Error code of an engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The engine's queue is full. The request did not run.
    Overloaded,
    /// The engine is draining. The request did not run.
    Draining,
    /// The engine has not loaded the model, version or layers. The request did not run.
    NotHoldingLayers,
    /// The engine has no such session. The request did not run.
    SessionUnknown,
    /// The position is not the next position of the session. The request did not run.
    PositionMismatch,
    /// The order has a stale fencing number. The order did not run.
    Fenced,
    /// The session was cancelled while the request was queued or running.
    Cancelled,
    /// The request is malformed.
    BadRequest,
    /// Any other error; the request may have run.
    Internal,
}

impl Code {
    /// Whether the code guarantees that the request did not run.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Overloaded
            | Self::Draining
            | Self::NotHoldingLayers
            | Self::SessionUnknown
            | Self::PositionMismatch
            | Self::Fenced
            | Self::BadRequest => true,
            Self::Cancelled | Self::Internal => false,
        }
    }
}
