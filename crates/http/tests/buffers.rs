//! Memory for responses that are read whole.

use core::net::SocketAddr;
use core::time::Duration;

use bytes::Bytes;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use http_body_util::Full;
use hyper::Request;
use smol::net::TcpListener;

use agatemill_http::Buffers;
use agatemill_http::Client;
use agatemill_http::Error;

const BODY_BYTES: usize = 3 << 20;

/// Size of a response that does not count.
const SMALL_BYTES: usize = 16 << 10;

const MAX_BODY_BYTES: usize = 8 << 20;

const LIMIT: usize = 16 << 20;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Serves responses of `length` bytes whose last byte is sent after `delay`.
async fn serve(length: usize, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let respond = async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
                );
                let body = vec![b'x'; length - 1];
                // A client may close the connection before the end.
                let _ = stream.write_all(head.as_bytes()).await;
                let _ = stream.write_all(&body).await;
                agatemill_runtime::sleep(delay).await;
                let _ = stream.write_all(b"x").await;
            };
            agatemill_runtime::spawn(respond).detach();
        }
    };
    agatemill_runtime::spawn(accept).detach();
    address
}

fn request(address: SocketAddr) -> Request<Full<Bytes>> {
    Request::get(format!("http://{address}/"))
        .body(Full::default())
        .unwrap()
}

/// Guards against a process that runs out of memory because many servers send large responses at once: 20 responses of
/// 3 MB, each below its own limit, were all buffered.
#[test]
fn responses_that_are_read_at_once_share_a_limit() {
    smol::block_on(async {
        let address = serve(BODY_BYTES, Duration::from_secs(1)).await;
        let buffers = Buffers::new(LIMIT);
        let client = Client::new(TIMEOUT).with_buffers(buffers.clone());
        let fetches = (0..20).map(|_| client.fetch(request(address), TIMEOUT, MAX_BODY_BYTES));
        let results = futures::future::join_all(fetches).await;
        let complete = results.iter().filter(|result| result.is_ok()).count();
        let held = buffers.used();
        assert!(complete > 0, "no response was read");
        assert!(held <= LIMIT, "{held} bytes");
        let counted = complete * (BODY_BYTES - SMALL_BYTES);
        assert!(held >= counted, "{held} bytes of {complete} responses");
        for error in results.iter().filter_map(|result| result.as_ref().err()) {
            assert!(matches!(error, Error::BuffersFull { .. }), "{error}");
        }
        assert!(complete < results.len());
        drop(results);
        assert_eq!(buffers.used(), 0, "the memory of dropped responses counts");
        let next = client
            .fetch(request(address), TIMEOUT, MAX_BODY_BYTES)
            .await;
        assert_eq!(next.unwrap().body().len(), BODY_BYTES);
    });
}

/// Guards against small responses that are lost because large ones use the memory.
#[test]
fn a_small_response_is_read_while_the_buffers_are_full() {
    smol::block_on(async {
        let client = Client::new(TIMEOUT).with_buffers(Buffers::new(0));
        let large = serve(BODY_BYTES, Duration::ZERO).await;
        let result = client.fetch(request(large), TIMEOUT, MAX_BODY_BYTES).await;
        assert!(matches!(result, Err(Error::BuffersFull { .. })));
        let small = serve(SMALL_BYTES, Duration::ZERO).await;
        let result = client.fetch(request(small), TIMEOUT, MAX_BODY_BYTES).await;
        assert_eq!(result.unwrap().body().len(), SMALL_BYTES);
    });
}

/// Guards against one response that takes all memory.
#[test]
fn a_response_over_its_limit_is_given_up() {
    smol::block_on(async {
        let address = serve(BODY_BYTES, Duration::ZERO).await;
        let buffers = Buffers::new(LIMIT);
        let client = Client::new(TIMEOUT).with_buffers(buffers.clone());
        let result = client
            .fetch(request(address), TIMEOUT, BODY_BYTES - 1)
            .await;
        assert!(matches!(result, Err(Error::TooLarge { .. })), "{result:?}");
        assert_eq!(buffers.used(), 0);
    });
}
