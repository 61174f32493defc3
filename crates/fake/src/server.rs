//! HTTP server of the stand-ins for engines and services.

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

/// Largest request.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Wait after an error of `accept`, such as too many open files, which stays for a while.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An answer, or `None` to close the connection without one.
pub type Answer = Option<Response<Body>>;

/// A running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    listener: TcpListener,
    /// The task ends when it is dropped.
    _accept: Task<()>,
    /// Connections end when this sender is dropped.
    _running: Sender<()>,
}

impl Server {
    /// Serves at an address; port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// Any error of opening the listener.
    pub async fn listen<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
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

    /// The address that it serves at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    /// Refuses new connections from now on. The listener itself is closed when the executor drops the accept
    /// task, which can be later; until then connections would be accepted and reset.
    fn drop(&mut self) {
        // Fails only when the listener is closed already.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H, stopped: Receiver<()>)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            agatemill_runtime::sleep(ACCEPT_PAUSE).await;
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
    F: Future<Output = Answer> + Send + 'static,
{
    // Only latency depends on this option.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let handler = handler.clone();
        async move {
            let request = read(request).await?;
            let answer = handler(request).await;
            answer.ok_or(io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    });
    let io = FuturesIo::new(stream);
    // An error here is a connection that the caller or a fault has closed.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn read(request: Request<Incoming>) -> io::Result<Request<Bytes>> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    Ok(Request::from_parts(head, body))
}

/// An answer with this body.
pub(crate) fn whole(status: u16, body: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
    response(status, body.boxed_unsync())
}

/// An answer that announces the whole body and breaks off after half of it.
pub(crate) fn cut(body: Vec<u8>) -> Response<Body> {
    let length = body.len();
    let half = Bytes::from(body).slice(..length / 2);
    let broken = io::Error::from(io::ErrorKind::ConnectionAborted);
    let frames = stream::iter([Ok(Frame::data(half)), Err(broken)]);
    let mut answer = response(200, StreamBody::new(frames).boxed_unsync());
    answer.headers_mut().insert("content-length", length.into());
    answer
}

/// An answer in JSON.
pub(crate) fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("answers are always valid JSON");
    whole(status, body)
}

fn response(status: u16, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    if let Ok(status) = status.try_into() {
        *response.status_mut() = status;
    }
    response
}
