//! Decisions of a won claim about sending.

use core::time::Duration;

use crate::attempt::late;
use agatemill_core::Refusal;

/// Whether the call of a won claim may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Permission {
    /// Nothing has been sent.
    Open,
    /// The call may have been sent.
    Given,
    /// The call was refused as not run and is never sent.
    Withdrawn,
}

impl Permission {
    /// Checks the deadline, just before each byte that could be the first one of a send.
    ///
    /// # Errors
    ///
    /// The refusal for the caller. Once it was given before any permission, it is final: a later check
    /// is refused as well. After a permission the refusal says only that no further send may follow.
    pub fn check(&mut self, deadline: Duration, now: Duration) -> Result<(), Refusal> {
        if *self == Self::Withdrawn || now >= deadline {
            if *self == Self::Open {
                *self = Self::Withdrawn;
            }
            return Err(late());
        }
        *self = Self::Given;
        Ok(())
    }
}
