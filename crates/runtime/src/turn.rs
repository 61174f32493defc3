//! Reading from a stream without holding up other tasks.

use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use std::io;
use std::io::IoSlice;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;

/// Bytes after which a stream lets other tasks run; also the most that one read returns.
pub const MAX_BYTES: usize = 64 << 10;

/// Reads after which a stream lets other tasks run.
const MAX_READS: u32 = 32;

/// A stream whose reads let other tasks run after a number of bytes.
///
/// Protocol libraries decode for as long as there are bytes, within one poll: no timeout and no other task of the thread runs
/// while a peer sends faster than it is read.
#[derive(Clone, Debug)]
pub struct Turn<S> {
    stream: S,
    /// Bytes read since other tasks could run.
    bytes: usize,
    /// Reads in the same time.
    reads: u32,
}

impl<S> Turn<S> {
    /// Wraps a stream.
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            bytes: 0,
            reads: 0,
        }
    }

    fn end(&mut self) {
        self.bytes = 0;
        self.reads = 0;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Turn<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.bytes >= MAX_BYTES || self.reads >= MAX_READS {
            self.end();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buffer.len().min(MAX_BYTES - self.bytes);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buffer[..length]);
        match &read {
            Poll::Ready(result) => {
                self.bytes += result.as_ref().copied().unwrap_or_default();
                self.reads += 1;
            }
            Poll::Pending => self.end(),
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Turn<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
