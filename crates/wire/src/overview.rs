//! System state that a control reports to an operator.

use serde::Deserialize;
use serde::Serialize;

use crate::Member;
use agatemill_core::id;

/// State of the system as one control sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// Host of the control.
    pub host: id::Host,
    /// Environment of the host.
    pub environment: id::Environment,
    /// Latest generation that the control has.
    pub generation: u64,
    /// Digest of that document in hexadecimal; empty when there is none.
    pub digest: String,
    /// Milliseconds since the platform confirmed that generation.
    pub confirmed_ms: Option<u64>,
    /// Whether this host holds the planner's lease.
    pub planner: bool,
    /// All members that the control knows of, itself included.
    pub members: Vec<Member>,
}
