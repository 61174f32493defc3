//! TCP connections for the pool.

use core::future::Future;
use core::net::SocketAddr;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::time::Duration;
use std::io;
use std::io::IoSlice;

use hyper::Uri;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use tower_service::Service;

use crate::Inflow;
use crate::Overhead;
use crate::Quota;
use crate::closer::Closer;
use crate::quota::Permit;
use agatemill_runtime::traffic::Meter;

/// Opens TCP connections to the IP address and port in a URI.
#[derive(Clone, Debug)]
pub struct Connector {
    /// Timeout for opening a connection.
    pub timeout: Duration,
    /// Limit on open connections, if there is one.
    pub quota: Option<Quota>,
}

/// A TCP stream of the pool.
///
/// A newtype, because the pool requires the I/O type to implement its `Connection` trait.
pub struct Stream {
    io: FuturesIo<Inflow<Meter<TcpStream>>>,
    /// Given to each response on the connection, as `overhead`.
    closer: Closer,
    overhead: Overhead,
    _permit: Option<Permit>,
}

impl Connector {
    /// Opens any number of connections, each within `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            quota: None,
        }
    }
}

impl Service<Uri> for Connector {
    type Response = Stream;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Stream>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let limit = self.timeout;
        let quota = self.quota.clone();
        Box::pin(async move {
            let permit = match &quota {
                Some(quota) => Some(quota.acquire().ok_or(io::ErrorKind::QuotaExceeded)?),
                None => None,
            };
            let address = address(&uri)?;
            let connect = agatemill_runtime::timeout(limit, TcpStream::connect(address)).await;
            let stream = connect.ok_or(io::ErrorKind::TimedOut)??;
            stream.set_nodelay(true)?;
            let overhead = Overhead::default();
            Ok(Stream {
                io: FuturesIo::new(Inflow::new(Meter(stream), overhead.clone())),
                closer: Closer::default(),
                overhead,
                _permit: permit,
            })
        })
    }
}

fn address(uri: &Uri) -> io::Result<SocketAddr> {
    let text = uri.authority().map_or("", |authority| authority.as_str());
    text.parse().map_err(|_| {
        let message = format!("{uri} has no IP address with a port");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        Connected::new()
            .extra(self.closer.clone())
            .extra(self.overhead.clone())
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.closer.poll_open(cx)?;
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.closer.check_open()?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
