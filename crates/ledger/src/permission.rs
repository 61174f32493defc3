//! Permission to send the call of a won claim.

use core::time::Duration;

use crate::attempt::deadline_exceeded;
use agatemill_core::Refusal;

/// Whether the call of a won claim may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Permission {
    /// The call has not been sent.
    Open,
    /// The call may have been sent.
    Given,
    /// The call was refused as not run and is never sent.
    Withdrawn,
}

impl Permission {
    /// Checks the deadline. Must be called immediately before each byte that could be the first one of a send.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller. A refusal before any permission was given is final: all later checks are
    /// refused as well. A refusal after a permission means only that no further send may follow.
    pub fn check(&mut self, deadline: Duration, now: Duration) -> Result<(), Refusal> {
        if *self == Self::Withdrawn || now >= deadline {
            if *self == Self::Open {
                *self = Self::Withdrawn;
            }
            return Err(deadline_exceeded());
        }
        *self = Self::Given;
        Ok(())
    }
}
