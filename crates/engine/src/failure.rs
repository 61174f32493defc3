//! Errors that an engine answers with.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// What an engine says about a request that it did not serve; JSON body of a 4xx or 5xx answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("engine answered {code}: {detail}")]
pub struct Failure {
    /// What kind of error.
    pub code: Code,
    /// One sentence for a person.
    pub detail: CompactString,
}

/// Kind of an engine's error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The engine's queue is full. The request did not run.
    Overloaded,
    /// The engine is leaving. The request did not run.
    Draining,
    /// The engine lacks the model, version or layers. The request did not run.
    NotHoldingLayers,
    /// The engine has no such session. The request did not run.
    SessionUnknown,
    /// The position is not the session's next one. The request did not run.
    PositionMismatch,
    /// The order carries an old fencing number. The order did not run.
    Fenced,
    /// The session was cancelled while the request waited or ran.
    Cancelled,
    /// The request is malformed.
    BadRequest,
    /// Anything else; the request may have run.
    Internal,
}

impl Code {
    /// Whether the code promises that the request did not run.
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
