//! Limit on open connections.

use core::time::Duration;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use agatemill_http::Client;
use agatemill_http::Error;
use agatemill_http::Quota;

const LIMIT: Duration = Duration::from_secs(10);

/// Answers each connection's first request and keeps the connection open.
fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut streams = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            streams.push(stream);
        }
    });
    address
}

async fn fetch(client: &Client, address: SocketAddr) -> Result<(), Error> {
    let request = Request::get(format!("http://{address}/"));
    let request = request.body(Full::<Bytes>::default()).unwrap();
    client.fetch(request, LIMIT, 1 << 10).await.map(drop)
}

/// Guards against connections to servers that take the descriptors of other purposes, and against a refusal that looks as if
/// the request might have run.
#[test]
fn requests_beyond_the_quota_are_not_sent() {
    let quota = Quota::new(2, |_| ());
    let client = Client::new(LIMIT).with_quota(quota.clone());
    let servers = [serve(), serve(), serve()];
    smol::block_on(async {
        fetch(&client, servers[0]).await.unwrap();
        fetch(&client, servers[1]).await.unwrap();
        assert_eq!(quota.open(), 2, "idle connections count");
        let refused = fetch(&client, servers[2]).await;
        assert_matches!(refused, Err(Error::Connect(error)) if error.kind() == io::ErrorKind::QuotaExceeded);
    });
}

/// Guards against permits that are never returned.
#[test]
fn a_closed_connection_returns_its_permit() {
    let quota = Quota::new(1, |_| ());
    let client = Client::without_reuse(LIMIT).with_quota(quota.clone());
    let address = serve();
    smol::block_on(async {
        for _ in 0..3 {
            fetch(&client, address).await.unwrap();
            while quota.open() > 0 {
                smol::Timer::after(Duration::from_millis(5)).await;
            }
        }
    });
}
