//! Control paths of the fake platform, which tests use from other processes.

use core::net::SocketAddr;
use core::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use agatemill_fake::platform::Counts;
use agatemill_fake::platform::Faults;
use agatemill_fake::platform::Platform;

const TIMEOUT: Duration = Duration::from_secs(2);

async fn exchange(address: SocketAddr, method: &str, path: &str, body: &'static str) -> Bytes {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let client = agatemill_http::Client::new(TIMEOUT);
    let answer = client.fetch(request, TIMEOUT, 1 << 20).await.unwrap();
    answer.into_body()
}

/// Guards against faults that cannot be set over HTTP, or that cannot be removed while the service is down.
#[test]
fn faults_are_set_and_removed_over_http() {
    smol::block_on(async {
        let platform = Platform::listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let at = platform.address();
        let client = platform.client(TIMEOUT);
        let set = exchange(at, "POST", "/fake/faults", r#"{"down":true,"delay_ms":5}"#).await;
        let set: Faults = serde_json::from_slice(&set).unwrap();
        assert!(set.down && set.delay_ms == 5);
        assert!(client.get("k").await.is_err());
        let unknown = exchange(at, "POST", "/fake/faults", r#"{"dwon":false}"#).await;
        assert!(String::from_utf8_lossy(&unknown).contains("unknown field"));
        exchange(at, "POST", "/fake/faults", r#"{"down":false}"#).await;
        assert_eq!(client.get("k").await, Ok(None));
    });
}

/// Guards against snapshots that do not restore the earlier state, and against counters that include other calls.
#[test]
fn snapshots_and_counts_are_available_over_http() {
    smol::block_on(async {
        let platform = Platform::listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let at = platform.address();
        let early = exchange(at, "POST", "/fake/restore", "").await;
        assert!(String::from_utf8_lossy(&early).contains("no snapshot"));
        exchange(at, "POST", "/fake/snapshot", "").await;
        exchange(at, "POST", "/v3/kv/put", r#"{"key":"aw==","value":"MQ=="}"#).await;
        let client = platform.client(TIMEOUT);
        assert_eq!(client.get("k").await.unwrap().unwrap().value, b"1");
        exchange(at, "POST", "/fake/restore", "").await;
        assert_eq!(client.get("k").await, Ok(None));
        let counts = exchange(at, "GET", "/fake/counts", "").await;
        let counts: Counts = serde_json::from_slice(&counts).unwrap();
        assert_eq!((counts.reads.total, counts.writes.total), (2, 1));
        assert_eq!((counts.leases.total, counts.watches.total), (0, 0));
    });
}
