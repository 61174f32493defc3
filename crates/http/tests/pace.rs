//! Responses whose bodies arrive slowly.

use core::net::SocketAddr;
use core::time::Duration;

use assert_matches::assert_matches;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use http_body_util::Full;
use hyper::Request;
use smol::net::TcpListener;

use agatemill_http::Client;
use agatemill_http::Error;
use agatemill_http::Pace;

const TIMEOUT: Duration = Duration::from_millis(400);

const PACE: Pace = Pace {
    bytes: 1_000,
    period: TIMEOUT,
};

const MAX_BODY_BYTES: usize = 1 << 20;

/// Serves bodies of `chunks` chunks of `bytes` each, with a pause before each.
async fn serve(chunks: usize, bytes: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let respond = async move {
                let _ = stream.read(&mut [0; 4_096]).await;
                let length = chunks * bytes;
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                // A client may close the connection before the end.
                let _ = stream.write_all(head.as_bytes()).await;
                for _ in 0..chunks {
                    agatemill_runtime::sleep(pause).await;
                    let _ = stream.write_all(&vec![b'x'; bytes]).await;
                }
            };
            agatemill_runtime::spawn(respond).detach();
        }
    };
    agatemill_runtime::spawn(accept).detach();
    address
}

async fn fetch(address: SocketAddr) -> Result<usize, Error> {
    let request = Request::get(format!("http://{address}/"));
    let request = request.body(Full::default()).unwrap();
    let client = Client::new(TIMEOUT);
    let response = client
        .fetch_paced(request, TIMEOUT, PACE, MAX_BODY_BYTES)
        .await?;
    Ok(response.body().len())
}

/// Guards against a response that is given up and read again from its start although it arrives steadily.
#[test]
fn a_body_that_arrives_steadily_is_read_to_its_end() {
    smol::block_on(async {
        let address = serve(20, 1_000, Duration::from_millis(60)).await;
        assert_eq!(fetch(address).await.unwrap(), 20_000);
    });
}

/// Guards against a read that never ends because a byte arrives now and then.
#[test]
fn a_body_that_trickles_is_given_up() {
    smol::block_on(async {
        let address = serve(10_000, 1, Duration::from_millis(20)).await;
        assert_matches!(fetch(address).await, Err(Error::TimedOut));
    });
}

/// Guards against a body whose end is waited for without a limit.
#[test]
fn a_body_whose_end_does_not_arrive_is_given_up() {
    smol::block_on(async {
        let address = serve(2, 1_500, Duration::from_secs(1)).await;
        assert_matches!(fetch(address).await, Err(Error::TimedOut));
    });
}
