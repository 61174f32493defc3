//! What a control tells an operator.

use serde::Deserialize;
use serde::Serialize;

use crate::Member;
use agatemill_core::id;

/// State of the system as one control sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// Host that answers.
    pub host: id::Host,
    /// Environment that it serves.
    pub environment: id::Environment,
    /// Newest generation that it holds.
    pub generation: u64,
    /// Digest of that document in hexadecimal; empty when there is none.
    pub digest: String,
    /// Milliseconds since the platform confirmed that generation.
    pub confirmed_ms: Option<u64>,
    /// Whether this host holds the planner's lease.
    pub planner: bool,
    /// All members that it knows of, itself included.
    pub members: Vec<Member>,
}
