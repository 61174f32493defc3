//! I/O of one caller's connection.

use core::future::Future;
use core::pin::Pin;
use core::sync::atomic::AtomicU16;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::task::Context;
use core::task::Poll;
use core::task::ready;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// Longest answer that the HTTP library writes on its own.
const AUTOMATIC_BYTES: usize = 256;

/// What has passed on a connection.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Reads from the caller since the last request whose head was whole.
    reads: AtomicU64,
    /// Status of an answer of the HTTP library that was held back; 0 for none.
    held_back: AtomicU16,
}

/// I/O of one connection. Holds back the bare answers that the HTTP library gives to malformed heads, so
/// that the entry can answer with a problem document instead.
pub struct Io {
    inner: FuturesIo<TcpStream>,
    tracker: Arc<Tracker>,
    /// How long a caller may read nothing of an answer. Without a limit, callers that stop reading would
    /// hold connections for ever.
    limit: Duration,
    /// Runs while the caller does not read.
    stall: Option<Timer>,
}

impl Tracker {
    /// Notes that a request's head is whole.
    pub fn record_head(&self) {
        self.reads.store(0, Ordering::Relaxed);
    }

    /// Whether part of a head has arrived.
    #[must_use]
    pub fn has_partial_head(&self) -> bool {
        self.reads.load(Ordering::Relaxed) > 0
    }

    /// Status of the answer that was held back.
    #[must_use]
    pub fn suppressed_status(&self) -> Option<u16> {
        Some(self.held_back.load(Ordering::Relaxed)).filter(|status| *status > 0)
    }
}

impl Io {
    /// Wraps a connection whose writes fail when they make no progress for `limit`.
    #[must_use]
    pub fn new(stream: TcpStream, tracker: Arc<Tracker>, limit: Duration) -> Self {
        Self {
            inner: FuturesIo::new(stream),
            tracker,
            limit,
            stall: None,
        }
    }
}

impl Io {
    /// Fails a write that makes no progress within the limit.
    fn limit_stall(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.stall = None;
            return result;
        }
        let limit = self.limit;
        let stall = self.stall.get_or_insert_with(|| Timer::after(limit));
        Pin::new(stall)
            .poll(cx)
            .map(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// The status of a write that is exactly one bare error answer of the HTTP library. Answers of the entry
/// always have `agatemill-request`.
fn automatic(bytes: &[u8]) -> Option<u16> {
    if bytes.len() > AUTOMATIC_BYTES {
        return None;
    }
    let text = core::str::from_utf8(bytes).ok()?;
    let status = text.strip_prefix("HTTP/1.1 4")?.get(..2)?;
    let is_head = text.find("\r\n\r\n") == Some(text.len() - 4);
    let is_bare = text.contains("content-length: 0\r\n") && !text.contains("agatemill-request:");
    let status = status.parse::<u16>().ok()?;
    (is_head && is_bare).then_some(400 + status)
}

impl Read for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buf.remaining();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if room > 0 {
            self.tracker.reads.fetch_add(1, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(status) = automatic(buf).filter(|_| self.tracker.has_partial_head()) {
            self.tracker.held_back.store(status, Ordering::Relaxed);
            return Poll::Ready(Ok(buf.len()));
        }
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.limit_stall(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The entry may still have to write the answer in place of one that was held back.
        if self.tracker.suppressed_status().is_some() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
