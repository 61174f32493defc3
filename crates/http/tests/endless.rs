//! Servers that send bytes without end.

use core::time::Duration;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use agatemill_http::Client;
use agatemill_http::Error;
use agatemill_http::Invalid;

const CONNECTIONS: usize = 8;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time in which an abandoned connection must be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends interim responses without end on threads of its own, as fast as the connections take them. Reports each
/// connection that the client has closed.
fn serve_interim_responses() -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().take(CONNECTIONS) {
            let closed = closed.clone();
            std::thread::spawn(move || {
                let mut stream = stream.unwrap();
                let _ = stream.read(&mut [0; 4_096]);
                let pieces = "HTTP/1.1 100 Continue\r\n\r\n".repeat(10_000);
                while stream.write_all(pieces.as_bytes()).is_ok() {}
                let _ = closed.send(());
            });
        }
    });
    (address, receiver)
}

/// Guards against connections that occupy their executor for ever: the HTTP library reads interim responses for as long
/// as there are any, without a look at whether the request was given up.
#[test]
fn an_abandoned_request_ends_interim_responses() {
    let (address, closed) = serve_interim_responses();
    let fetches = async move {
        let client = Client::new(Duration::from_secs(1));
        let fetch = || {
            let request = Request::get(format!("http://{address}/"));
            let request = request.body(Full::<Bytes>::default()).unwrap();
            client.fetch(request, REQUEST_TIMEOUT, 1 << 20)
        };
        futures::future::join_all((0..CONNECTIONS).map(|_| fetch())).await
    };
    let (sender, results) = mpsc::channel();
    std::thread::spawn(move || sender.send(smol::block_on(fetches)));
    let results = results
        .recv_timeout(CLOSE_TIMEOUT)
        .expect("the requests end");
    for result in results {
        assert!(
            matches!(result, Err(Error::Invalid(Invalid::Interim(_)))),
            "{result:?}"
        );
    }
    for number in 0..CONNECTIONS {
        let result = closed.recv_timeout(CLOSE_TIMEOUT);
        assert!(
            result.is_ok(),
            "{number} of {CONNECTIONS} connections are closed"
        );
    }
}
