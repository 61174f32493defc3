//! Overhead of bodies that costs more than the bodies bring, and connections that have bytes at hand all the time.

use core::future::Future;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::time::Duration;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use smol::io::AsyncRead;

use agatemill_http::Client;
use agatemill_http::Error;
use agatemill_http::Inflow;
use agatemill_http::Overhead;

/// Far more than a response takes on a busy machine.
const TIMEOUT: Duration = Duration::from_mins(1);

const MAX_BYTES: usize = 1 << 20;

/// Responds once with a chunked body: `start`, and then `piece` this many times.
fn serve(start: &'static str, piece: &'static str, count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{start}");
        let pieces = piece.repeat(1_000);
        let mut result = stream.write_all(head.as_bytes());
        for _ in 0..count / 1_000 {
            // Fails when the client closes the connection.
            result = result.and_then(|()| stream.write_all(pieces.as_bytes()));
        }
        let _ = result.and_then(|()| stream.write_all(b"0\r\n\r\n"));
    });
    address
}

fn fetch(address: SocketAddr) -> Result<Response<Bytes>, Error> {
    let client = Client::new(Duration::from_secs(1));
    let request = Request::get(format!("http://{address}/"));
    let request = request.body(Full::<Bytes>::default()).unwrap();
    smol::block_on(client.fetch(request, TIMEOUT, MAX_BYTES))
}

/// Guards against responses whose framing is read until the time of their request is up.
#[test]
fn framing_without_end_ends_the_response() {
    let framings = [
        ("", "0"),
        ("1", " "),
        ("1", "\t"),
        ("1\r\nx\r\n", "0"),
        (
            "",
            "00000000000000000000000000000000000000000000000001\r\nx\r\n",
        ),
    ];
    for (start, piece) in framings {
        let result = fetch(serve(start, piece, usize::MAX));
        assert_matches!(result, Err(Error::Lost(_)), "{start:?} {piece:?}");
    }
}

/// Guards against a limit that legal bodies reach.
#[test]
fn the_smallest_chunks_are_read() {
    for piece in ["1\r\nx\r\n", "00000001\r\nx\r\n", "1 \r\nx\r\n"] {
        let response = fetch(serve("", piece, 60_000)).unwrap();
        assert_eq!(response.body().len(), 60_000, "{piece:?}");
    }
}

/// A connection that always has bytes at hand.
struct Ready;

impl AsyncRead for Ready {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buffer.len()))
    }
}

/// Guards against a peer that sends all the time and keeps one poll from ending.
#[test]
fn a_connection_with_bytes_at_hand_lets_other_tasks_run() {
    const MAX_BYTES_OF_A_TURN: usize = 256 << 10;
    for size in [1, 8 << 10, 64 << 10] {
        let mut inflow = Inflow::new(Ready, Overhead::default());
        let mut buffer = vec![0; size];
        let mut read = || {
            let read = core::future::poll_fn(|cx| Pin::new(&mut inflow).poll_read(cx, &mut buffer));
            let mut read = core::pin::pin!(read);
            let waker = futures::task::noop_waker();
            read.as_mut().poll(&mut Context::from_waker(&waker))
        };
        for _ in 0..3 {
            let bytes: usize = core::iter::from_fn(|| match read() {
                Poll::Ready(bytes) => Some(bytes.unwrap()),
                Poll::Pending => None,
            })
            .take(MAX_BYTES_OF_A_TURN)
            .sum();
            assert!(
                (1..MAX_BYTES_OF_A_TURN).contains(&bytes),
                "{bytes} bytes of {size}"
            );
        }
    }
}

/// Guards against a limit that counts what was read ahead of a body whose reader is slow.
#[test]
fn a_large_body_is_read_by_a_slow_reader() {
    const BYTES: usize = 8 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'x'; BYTES]).unwrap();
    });
    let read = async {
        let client = Client::new(Duration::from_secs(1));
        let request = Request::get(format!("http://{address}/"));
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let mut body = client.send(request, TIMEOUT).await.unwrap().into_body();
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            received += frame.unwrap().into_data().unwrap().len();
            // The connection reads ahead meanwhile.
            agatemill_runtime::sleep(Duration::from_millis(5)).await;
        }
        received
    };
    assert_eq!(smol::block_on(read), BYTES);
}
