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

use agatemill_http::Inflow;
use agatemill_http::Overhead;

/// Largest automatic error response of the HTTP library, in bytes.
const MAX_AUTOMATIC_BYTES: usize = 256;

/// State that the I/O of a connection shares with its server.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Number of reads since the last complete request head.
    reads: AtomicU64,
    /// Status of the automatic error response that was suppressed; 0 for none.
    suppressed: AtomicU16,
}

/// I/O of one connection. Suppresses the bare error responses that the HTTP library writes for malformed
/// heads, so that the entry can respond with a problem document instead.
pub struct Io {
    inner: FuturesIo<Inflow<TcpStream>>,
    tracker: Arc<Tracker>,
    /// How long a write may make no progress. Without a limit, callers that stop reading would keep
    /// connections open for ever.
    stall_limit: Duration,
    /// Runs while a write makes no progress.
    stall_timer: Option<Timer>,
}

impl Tracker {
    /// Records that the head of a request is complete.
    pub fn record_head(&self) {
        self.reads.store(0, Ordering::Relaxed);
    }

    /// Whether a part of a head has arrived.
    #[must_use]
    pub fn has_partial_head(&self) -> bool {
        self.reads.load(Ordering::Relaxed) > 0
    }

    /// Status of the suppressed error response, if any.
    #[must_use]
    pub fn suppressed_status(&self) -> Option<u16> {
        Some(self.suppressed.load(Ordering::Relaxed)).filter(|status| *status > 0)
    }
}

impl Io {
    /// Wraps a connection; a write fails when it makes no progress for `limit`, and a read when `overhead` is exceeded.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        overhead: Overhead,
        tracker: Arc<Tracker>,
        limit: Duration,
    ) -> Self {
        Self {
            inner: FuturesIo::new(Inflow::new(stream, overhead)),
            tracker,
            stall_limit: limit,
            stall_timer: None,
        }
    }
}

impl Io {
    /// Fails a write that makes no progress within the limit.
    fn apply_stall_limit(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.stall_timer = None;
            return result;
        }
        let limit = self.stall_limit;
        let timer = self.stall_timer.get_or_insert_with(|| Timer::after(limit));
        Pin::new(timer)
            .poll(cx)
            .map(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Status of a write that is exactly one bare error response of the HTTP library. Responses of the entry
/// always have the header `agatemill-request`.
fn automatic_status(bytes: &[u8]) -> Option<u16> {
    if bytes.len() > MAX_AUTOMATIC_BYTES {
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
        let capacity = buf.remaining();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if capacity > 0 {
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
        if let Some(status) = automatic_status(buf).filter(|_| self.tracker.has_partial_head()) {
            self.tracker.suppressed.store(status, Ordering::Relaxed);
            return Poll::Ready(Ok(buf.len()));
        }
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.apply_stall_limit(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The entry may still have to write the response that replaces the suppressed one.
        if self.tracker.suppressed_status().is_some() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
