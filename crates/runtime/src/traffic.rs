//! Counters of the bytes that this process sends and receives over sockets, without TCP, UDP and IP headers.
//!
//! The operating system does not count socket bytes per process: `/proc/PID/io` omits `send` and `recv`,
//! and `/proc/PID/net/dev` covers the whole network namespace.

use core::pin::Pin;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::task::Context;
use core::task::Poll;
use std::io;
use std::io::IoSlice;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Bytes since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Returns the bytes counted so far.
#[must_use]
pub fn total() -> Traffic {
    Traffic {
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
    }
}

/// Adds to the count of sent bytes.
pub fn record_sent(bytes: usize) {
    SENT.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Adds to the count of received bytes.
pub fn record_received(bytes: usize) {
    RECEIVED.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Counts the bytes read from and written to a stream.
#[derive(Clone, Debug)]
pub struct Meter<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for Meter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = polled {
            record_received(bytes);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Meter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write(context, buffer);
        if let Poll::Ready(Ok(bytes)) = polled {
            record_sent(bytes);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write_vectored(context, buffers);
        if let Poll::Ready(Ok(bytes)) = polled {
            record_sent(bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(context)
    }
}
