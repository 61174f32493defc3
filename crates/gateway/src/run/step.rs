//! What happens to a run.

use bytes::Bytes;

use agatemill_core::Cause;

/// What happened to a run.
#[derive(Debug)]
pub enum Step {
    /// The head of the response arrived.
    Head,
    /// These complete events arrived.
    Events(Bytes),
    /// The response is complete.
    Complete,
    /// The engines stated that they did not run the request, or it was not sent.
    NotRun(Cause),
    /// The run ended without a response head; it may have begun.
    Unknown(Cause),
    /// The response is of no use to the caller; the run may have begun.
    Unusable,
    /// The run ended within the response.
    Broken(&'static str),
    /// An engine became silent, or still is. The run may still continue.
    Silent,
    /// The first engine has ended, and the run with it.
    Ended,
}
