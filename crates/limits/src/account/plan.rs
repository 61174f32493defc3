//! Sizes of the parts of the account.

use agatemill_core::quantity::Size;

/// Memory of the smallest machine, which is assumed if none is stated.
pub const SMALLEST_MEMORY: Size = Size(160_000_000);

/// How the memory of a process is divided. What is left is for the program itself, its view of the platform and the buffers of
/// the kernel, an eighth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Bytes of large bodies of requests.
    pub large: usize,
    /// Bytes that are kept free for small bodies.
    pub small: usize,
    /// Bytes of responses that are read whole.
    pub responses: usize,
    /// Bytes of connections, with their heads and buffers.
    pub connections: usize,
}

impl From<Size> for Plan {
    /// Divides the memory of a machine. Of 160 MB, connections take 50 MB (2,500 of 20 KB), responses 32 MB, large bodies 48 MB,
    /// which are eleven of 4 MiB, and small ones 10 MB, which is 4 KB for each connection.
    fn from(memory: Size) -> Self {
        let memory = memory.to_usize();
        Self {
            large: memory / 10 * 3,
            small: memory / 16,
            responses: memory / 5,
            connections: memory / 16 * 5,
        }
    }
}
