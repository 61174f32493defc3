//! Limit on what the framing of a body may cost.

use core::sync::atomic::AtomicI64;
use core::sync::atomic::Ordering;
use std::io;
use std::sync::Arc;

use agatemill_runtime::turn;

/// Bytes on the wire for each byte of a body. The smallest chunk takes 6, and 13 with a size that is padded to 8 digits.
const BYTES_PER_BYTE: i64 = 16;

/// Bytes of framing that a body may take before it brings its first byte, and from then on ahead of its bytes: the extensions
/// and trailers that the HTTP library allows, twice.
const AHEAD_BYTES: usize = 64 << 10;

/// Bytes on the wire that a body may take ahead of its bytes. The HTTP library may hold a frame and what it read last before the
/// body is read.
#[expect(clippy::cast_possible_wrap, reason = "far below the maximum")]
const ALLOWANCE_BYTES: i64 = (2 * turn::MAX_BYTES + AHEAD_BYTES) as i64;

/// Value of `left` while no body is being read.
const UNLIMITED: i64 = i64::MAX;

/// Limit on the bytes that bodies on a connection take on the wire. Clones refer to the same connection.
///
/// The HTTP library bounds extensions and trailers, but neither the length of a chunk's size nor the number of chunks.
#[derive(Clone, Debug)]
pub struct Overhead(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    /// Bytes on the wire that the body may still take. Invariant: at most [`ALLOWANCE_BYTES`], or [`UNLIMITED`].
    left: AtomicI64,
}

impl Default for Overhead {
    /// The limit of a connection without a body.
    fn default() -> Self {
        Self(Arc::new(Inner {
            left: AtomicI64::new(UNLIMITED),
        }))
    }
}

impl Overhead {
    /// Whether a body has taken too many bytes.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.0.left.load(Ordering::Relaxed) < 0
    }

    /// Begins a body.
    pub(crate) fn begin(&self) {
        self.0.left.store(ALLOWANCE_BYTES, Ordering::Relaxed);
    }

    /// Records bytes of the body itself.
    pub(crate) fn record_data(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(UNLIMITED);
        let earned = bytes.saturating_mul(BYTES_PER_BYTE);
        self.update(|left| left.saturating_add(earned).min(ALLOWANCE_BYTES));
    }

    /// Records bytes that were read from the connection.
    ///
    /// # Errors
    ///
    /// `InvalidData` when the body has taken too many bytes.
    pub(crate) fn record_read(&self, bytes: usize) -> io::Result<()> {
        let bytes = i64::try_from(bytes).unwrap_or(UNLIMITED);
        self.update(|left| left.saturating_sub(bytes));
        if self.is_exceeded() {
            let text = "the framing of the body is out of proportion";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }

    /// Ends a body, whether it is complete or not. One that has taken too many bytes stays so.
    pub(crate) fn end(&self) {
        self.update(|_| UNLIMITED);
    }

    /// Changes the bytes left, unless there is no limit on them or they are exceeded.
    fn update(&self, change: impl Fn(i64) -> i64) {
        let change = |left| (0..UNLIMITED).contains(&left).then(|| change(left));
        let left = &self.0.left;
        // Fails if there is nothing to change.
        let _ = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
    }
}
