//! Memory that a request takes.

use hyper::http::request;

use agatemill_limits::account::SMALL_BYTES;

/// Largest head that the memory of its connection covers, in bytes.
const SMALL_HEAD_BYTES: usize = 2 << 10;

/// Bytes that a larger head takes for each of its own: it is buffered, parsed, passed on and kept for another attempt.
const HEAD_FACTOR: usize = 10;

/// What a request takes of the account of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    /// Bytes beside the body.
    head: usize,
    /// Number of copies of a body over [`SMALL_BYTES`] that exist at once. Invariant: at least 1.
    copies: usize,
}

impl Cost {
    /// Cost of a request with a head of this size in bytes and one copy of its body.
    #[must_use]
    pub fn of_head(bytes: usize) -> Self {
        let is_small = bytes <= SMALL_HEAD_BYTES;
        let head = if is_small { 0 } else { bytes * HEAD_FACTOR };
        Self { head, copies: 1 }
    }

    /// Cost of a request of whose body `copies` exist at once.
    #[must_use]
    pub fn with_copies(self, copies: usize) -> Self {
        Self {
            copies: copies.max(1),
            ..self
        }
    }

    /// Bytes for a body of this size.
    #[must_use]
    pub fn bytes(self, body: usize) -> usize {
        let copies = if body > SMALL_BYTES { self.copies } else { 1 };
        self.head + body * copies
    }
}

/// Size of the head of a request in bytes, without optional spaces.
#[must_use]
pub fn head_bytes(head: &request::Parts) -> usize {
    let line = head.method.as_str().len() + head.uri.path().len() + " HTTP/1.1\r\n".len();
    let query = head.uri.query().map_or(0, |query| query.len() + 1);
    let lines = head.headers.iter();
    let headers = lines.map(|(name, value)| name.as_str().len() + value.len() + ":\r\n".len());
    line + query + headers.sum::<usize>()
}
