//! Complete bodies.

use core::ops::Deref;

use bytes::Bytes;

use agatemill_limits::account::Share;

/// A complete body. Its share of the account is returned when it is dropped.
#[derive(Debug)]
pub struct Held {
    pub(super) bytes: Vec<u8>,
    /// `None` for a request that takes no memory.
    pub(super) share: Option<Share>,
}

impl Held {
    /// Drops the bytes and keeps their share, for what was made of them.
    #[must_use]
    pub fn into_share(self) -> Option<Share> {
        self.share
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Deref for Held {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<Held> for Bytes {
    fn from(held: Held) -> Self {
        Self::from_owner(held)
    }
}
