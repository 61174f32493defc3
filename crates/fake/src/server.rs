//! HTTP server of the fake engines and services.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::net::Shutdown;

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use smol::Task;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Delay before `accept` is retried after an error, such as too many open files, that is likely to persist.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A response, or `None` to close the connection without one.
pub type Outcome = Option<Response<Body>>;

/// A running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    listener: TcpListener,
    /// Dropping the task cancels it.
    _accept: Task<()>,
    /// Dropping the sender closes all connections.
    _running: Sender<()>,
}

impl Server {
    /// Starts a server at an address; port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// I/O errors of opening the listener.
    pub async fn listen<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Outcome> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (running, stopped) = channel::bounded(1);
        Ok(Self {
            address,
            _accept: agatemill_runtime::spawn(accept(listener.clone(), handler, stopped)),
            listener,
            _running: running,
        })
    }

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    /// Refuses new connections. The executor may drop the accept task, and with it the listener, only later; until then
    /// connections would be accepted and then reset.
    fn drop(&mut self) {
        // Fails only if the listener is already closed.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }
}

/// Accepts connections until the task is dropped.
async fn accept<H, F>(listener: TcpListener, handler: H, stopped: Receiver<()>)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Outcome> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            agatemill_runtime::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let serve = serve(stream, handler.clone());
        let stopped = stopped.clone();
        let until = async move {
            let _ = stopped.recv().await;
        };
        agatemill_runtime::spawn(smol::future::or(serve, until)).detach();
    }
}

async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Outcome> + Send + 'static,
{
    // The option affects only latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let handler = handler.clone();
        async move {
            let request = read_body(request).await?;
            let response = handler(request).await;
            response.ok_or(io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    });
    let io = FuturesIo::new(stream);
    // An error means that the caller or an injected fault closed the connection.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn read_body(request: Request<Incoming>) -> io::Result<Request<Bytes>> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    Ok(Request::from_parts(head, body))
}

/// A response with this body.
pub(crate) fn complete(status: u16, body: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
    with_status(status, body.boxed_unsync())
}

/// A response whose `content-length` covers the whole body but which ends after half of it.
pub(crate) fn truncated(body: Vec<u8>) -> Response<Body> {
    let length = body.len();
    let half = Bytes::from(body).slice(..length / 2);
    let broken = io::Error::from(io::ErrorKind::ConnectionAborted);
    let frames = stream::iter([Ok(Frame::data(half)), Err(broken)]);
    let mut response = with_status(200, StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert("content-length", length.into());
    response
}

/// A JSON response.
pub(crate) fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("responses always serialise to JSON");
    complete(status, body)
}

fn with_status(status: u16, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    if let Ok(status) = status.try_into() {
        *response.status_mut() = status;
    }
    response
}
