//! What a client does with bytes that are no response.

use core::time::Duration;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use agatemill_http::Client;
use agatemill_http::Error;
use agatemill_http::Invalid;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends `bytes` on each of `connections` connections after the first bytes of a request. Closes the connection afterwards, or
/// once the peer has.
fn serve(bytes: String, connections: usize, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().take(connections) {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            let _ = stream.write_all(bytes.as_bytes());
            while !closes && stream.read(&mut [0; 4_096]).is_ok_and(|count| count > 0) {}
        }
    });
    address
}

fn fetch(client: &Client, address: SocketAddr) -> Result<u16, Error> {
    let request = Request::get(format!("http://{address}/"));
    let request = request.body(Full::<Bytes>::default()).unwrap();
    let response = smol::block_on(client.fetch(request, TIMEOUT, 1 << 20))?;
    Ok(response.status().as_u16())
}

/// Guards against faults without their reason in the log and the metrics, and against connections that are used for another
/// request: the server serves one connection after the other.
#[test]
fn each_fault_is_reported_and_closes_its_connection() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
    let large = format!("HTTP/1.1 200 OK\r\nfiller: {}", "x".repeat(100_000));
    let cases = [
        ("HTTP/1.1 000 None\r\n\r\n", "invalid_head", false),
        ("HTTP/1.1 0200 OK\r\n\r\n", "invalid_head", false),
        ("HTTP/1.1 200 OK\r\nno field\r\n\r\n", "invalid_head", false),
        (
            "HTTP/1.1 199 Other\r\ncontent-length: 4\r\n\r\ndone",
            "invalid_head",
            false,
        ),
        ("done", "invalid_head", false),
        (&large, "invalid_head", false),
        (
            "HTTP/1.1 600 Other\r\ncontent-length: 0\r\n\r\n",
            "invalid_status",
            false,
        ),
        (
            "HTTP/1.1 101 Switching Protocols\r\n\r\n",
            "invalid_status",
            false,
        ),
        ("HTTP/1.1 199 Other\r\n\r\n", "no_final_response", true),
        (&interim, "no_final_response", false),
    ];
    for (bytes, reason, closes) in cases {
        let address = serve(bytes.to_owned(), 2, closes);
        let reasons: Arc<Mutex<Vec<(String, &str)>>> = Arc::default();
        let seen = Arc::clone(&reasons);
        let client = Client::new(TIMEOUT).with_observer(move |server, fault: &Invalid| {
            let mut reasons = seen.lock().unwrap();
            reasons.push((server.to_owned(), fault.reason()));
        });
        for _ in 0..2 {
            assert_matches!(fetch(&client, address), Err(Error::Invalid(_)), "{reason}");
        }
        let expected = (address.to_string(), reason);
        assert_eq!(*reasons.lock().unwrap(), [expected.clone(), expected]);
    }
}

/// Guards against a response that is refused because as many interim ones as a server may send come first.
#[test]
fn interim_responses_up_to_the_maximum_are_skipped() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(64);
    let address = serve(format!("{interim}HTTP/1.1 204 None\r\n\r\n"), 1, false);
    assert_matches!(fetch(&Client::new(TIMEOUT), address), Ok(204));
}
