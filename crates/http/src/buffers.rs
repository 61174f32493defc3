//! Memory for responses that are buffered whole.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;

use crate::Error;

/// Bytes of each response that do not count towards the limit, so that large responses cannot displace small ones.
const EXEMPT_BYTES: usize = 16 << 10;

/// Limit on the bytes of all responses that are buffered at once. Clones share the limit.
///
/// The first `EXEMPT_BYTES` of each response do not count; the number of requests in progress bounds them.
#[derive(Clone, Debug)]
pub struct Buffers {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// A response body that is being buffered. Its memory counts until the bytes are dropped.
#[derive(Debug)]
pub struct Buffer {
    buffers: Buffers,
    bytes: Vec<u8>,
    /// Bytes that count towards the limit. Invariant: included in `buffers`.
    counted: usize,
}

impl Buffers {
    /// Creates a limit of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
        }
    }

    /// Bytes that count towards the limit now.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Starts an empty buffer.
    #[must_use]
    pub fn start(&self) -> Buffer {
        Buffer {
            buffers: self.clone(),
            bytes: Vec::new(),
            counted: 0,
        }
    }

    fn reserve(&self, bytes: usize) -> Result<(), Error> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        match self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
        {
            Ok(_) => Ok(()),
            Err(used) => Err(Error::BuffersFull { used }),
        }
    }
}

impl Buffer {
    /// Appends bytes; the buffer holds at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] when the buffer would exceed `max_bytes` and [`Error::BuffersFull`] when all buffers
    /// together would exceed their limit.
    pub fn extend(&mut self, data: &[u8], max_bytes: usize) -> Result<(), Error> {
        let length = self.bytes.len() + data.len();
        if length > max_bytes {
            return Err(Error::TooLarge { limit: max_bytes });
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            self.grow(length.max(capacity * 2).min(max_bytes))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Grows to a capacity of `bytes`, if the limit allows that.
    fn grow(&mut self, bytes: usize) -> Result<(), Error> {
        let counted = bytes.saturating_sub(EXEMPT_BYTES);
        self.buffers.reserve(counted.saturating_sub(self.counted))?;
        self.counted = counted;
        self.bytes.reserve_exact(bytes - self.bytes.len());
        Ok(())
    }

    /// Completes the buffer.
    #[must_use]
    pub fn close(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.buffers.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
