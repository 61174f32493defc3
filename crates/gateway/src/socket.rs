//! The socket of a connection to this host.

use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::time::Duration;
use std::io;
use std::io::IoSlice;
use std::sync::Arc;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

use crate::State;
use crate::connections::Guard;

/// Added to the longest gap after which callers abandon a response: a round trip, and the delay of a busy machine.
const STALL_MARGIN: Duration = Duration::from_secs(1);

/// Longest gap before the first configuration is known, when only refusals are sent.
const DEFAULT_GAP: Duration = Duration::from_secs(2);

/// A socket that records when the head of a request begins, and fails when the peer accepts no bytes for longer than any
/// caller that still reads.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    state: Arc<State>,
    guard: Guard,
    /// Runs since the socket accepts no more bytes.
    stall: Option<smol::Timer>,
}

impl Socket {
    /// Wraps the socket of a connection.
    #[must_use]
    pub fn new(state: &Arc<State>, stream: TcpStream, guard: &Guard) -> Self {
        Self {
            stream,
            state: Arc::clone(state),
            guard: guard.clone(),
            stall: None,
        }
    }

    /// Handles the result of a write: ends the connection if there has been no progress for too long.
    fn record_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let limit = || longest_gap(&self.state) + STALL_MARGIN;
        let timer = self
            .stall
            .get_or_insert_with(|| smol::Timer::after(limit()));
        if Pin::new(timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.guard.set_reason("not_read");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// The longest time for which a caller waits within a response.
fn longest_gap(state: &State) -> Duration {
    let configuration = state.view().configuration.clone();
    configuration.map_or(DEFAULT_GAP, |configuration| configuration.longest_gap())
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if matches!(read, Poll::Ready(Ok(1..))) {
            self.guard.record_bytes();
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.record_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.record_write(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
