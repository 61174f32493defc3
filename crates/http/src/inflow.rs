//! Connections whose peers may cost a bounded amount.

use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::task::ready;
use std::io;
use std::io::IoSlice;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;

use crate::Overhead;
use agatemill_runtime::Turn;

/// A connection that lets other tasks run while its peer sends, and fails when the framing of a body costs too much.
#[derive(Debug)]
pub struct Inflow<S> {
    stream: Turn<S>,
    overhead: Overhead,
}

impl<S> Inflow<S> {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: S, overhead: Overhead) -> Self {
        Self {
            stream: Turn::new(stream),
            overhead,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Inflow<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.overhead.record_read(bytes)?;
        Poll::Ready(Ok(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Inflow<S> {
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
