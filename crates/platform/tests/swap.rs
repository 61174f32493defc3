//! Tests of reads and compare-and-swap against the fake platform.

use core::time::Duration;

use assert_matches::assert_matches;

use agatemill_core::number::Revision;
use agatemill_fake::platform::Platform;
use agatemill_fake::platform::faults::Change;
use agatemill_platform::Client;
use agatemill_platform::Error;
use agatemill_platform::Swap;

const TIMEOUT: Duration = Duration::from_millis(500);
const ABSENT: Revision = Revision(0);

fn with_platform<T: Future<Output = ()>>(test: impl FnOnce(Platform, Client) -> T) {
    smol::block_on(async {
        let platform = Platform::listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let client = platform.client(TIMEOUT);
        test(platform, client).await;
    });
}

/// Guards against a swap that overwrites a value that its caller has not read.
#[test]
fn swap_writes_only_at_the_expected_revision() {
    with_platform(async |_platform, client| {
        let first = client.swap("k", b"1", ABSENT, None).await;
        assert_eq!(first, Ok(Swap::Done(Revision(1))));
        let found = assert_matches!(
            client.swap("k", b"2", ABSENT, None).await,
            Ok(Swap::Conflict(Some(found))) => found
        );
        assert_eq!(found.value, b"1");
        let second = client.swap("k", b"2", found.revision, None).await;
        assert_eq!(second, Ok(Swap::Done(Revision(2))));
        let absent = client.swap("other", b"2", Revision(2), None).await;
        assert_eq!(absent, Ok(Swap::Conflict(None)));
        assert_eq!(client.get("k").await.unwrap().unwrap().value, b"2");
    });
}

/// Guards against a revision query that misses a change, or that transfers the value.
#[test]
fn the_revision_of_a_key_is_read_without_its_value() {
    with_platform(async |platform, client| {
        assert_eq!(client.revision("k").await, Ok(None));
        client.swap("k", b"1", ABSENT, None).await.unwrap();
        assert_eq!(client.revision("k").await, Ok(Some(Revision(1))));
        client.swap("k", b"2", Revision(1), None).await.unwrap();
        assert_eq!(client.revision("k").await, Ok(Some(Revision(2))));
        let before = agatemill_runtime::traffic::total().received;
        let value = vec![b'x'; 500_000];
        client.swap("large", &value, ABSENT, None).await.unwrap();
        client.revision("large").await.unwrap();
        let received = agatemill_runtime::traffic::total().received - before;
        assert!(received < 100_000, "received {received} bytes");
        drop(platform);
    });
}

/// Guards against concurrent swaps of the same revision of which more than one succeeds.
#[test]
fn one_of_many_concurrent_swaps_wins() {
    with_platform(async |_platform, client| {
        let tasks: Vec<_> = (0..16_u8)
            .map(|id| {
                let client = client.clone();
                agatemill_runtime::spawn(async move { client.swap("k", &[id], ABSENT, None).await })
            })
            .collect();
        let mut winners = 0;
        for task in tasks {
            winners += usize::from(matches!(task.await, Ok(Swap::Done(_))));
        }
        assert_eq!(winners, 1);
    });
}

/// Guards against listings that miss keys or contain keys of another prefix.
#[test]
fn list_returns_the_keys_of_a_prefix() {
    with_platform(async |_platform, client| {
        for key in ["/a/1", "/a/2", "/b/1", "/a"] {
            client.swap(key, b"", ABSENT, None).await.unwrap();
        }
        let entries = client.list("/a/").await.unwrap();
        let keys: Vec<_> = entries.iter().map(|entry| entry.key.as_str()).collect();
        assert_eq!(keys, ["/a/1", "/a/2"]);
    });
}

/// Guards against a write that is reported as failed although it took effect and only its response was lost.
#[test]
fn a_lost_response_after_the_write_is_uncertain() {
    with_platform(async |platform, client| {
        platform.update_faults(&Change {
            lose_writes: Some(1),
            ..Default::default()
        });
        let swap = client.swap("k", b"1", ABSENT, None).await;
        assert_matches!(swap, Err(Error::Uncertain(_)));
        assert_eq!(client.get("k").await.unwrap().unwrap().value, b"1");
    });
}

/// Guards against treating the code "unavailable" as a refusal: the service also returns it when a write was
/// applied after the service's own timeout.
#[test]
fn a_write_that_the_service_timed_out_is_uncertain() {
    with_platform(async |platform, client| {
        platform.update_faults(&Change {
            time_out_writes: Some(1),
            ..Default::default()
        });
        let swap = client.swap("k", b"1", ABSENT, None).await;
        assert_matches!(swap, Err(Error::Uncertain(_)));
        assert_eq!(client.get("k").await.unwrap().unwrap().value, b"1");
    });
}

/// Guards against calls that hang on a slow service, and against a slow write that is reported as refused.
#[test]
fn a_slow_call_times_out() {
    with_platform(async |platform, client| {
        platform.update_faults(&Change {
            delay_ms: Some(5_000),
            ..Default::default()
        });
        let start = agatemill_runtime::now();
        let swap = client.swap("k", b"1", ABSENT, None).await;
        assert_matches!(swap, Err(Error::Uncertain(_)));
        assert_matches!(client.get("k").await, Err(Error::Unavailable(_)));
        assert!(agatemill_runtime::now() < start + 4 * TIMEOUT);
    });
}

/// Guards against refused writes that are reported as uncertain, each of which would cost a read-back.
#[test]
fn refused_calls_are_unavailable() {
    with_platform(async |platform, client| {
        platform.update_faults(&Change {
            refuse: Some(true),
            ..Default::default()
        });
        let swap = client.swap("k", b"1", ABSENT, None).await;
        assert_matches!(swap, Err(Error::Unavailable(_)));
        let large = client.swap("k", &vec![0; 1_000_001], ABSENT, None).await;
        assert_matches!(large, Err(Error::Unavailable(_)));
        platform.update_faults(&Change {
            refuse: Some(false),
            ..Default::default()
        });
        assert_eq!(client.get("k").await, Ok(None));
    });
}

/// Guards against values of the maximum size that the client or the fake platform cannot transfer.
#[test]
fn values_up_to_one_megabyte_are_stored() {
    with_platform(async |_platform, client| {
        let value = vec![7; 1_000_000];
        client.swap("k", &value, ABSENT, None).await.unwrap();
        assert_eq!(client.get("k").await.unwrap().unwrap().value, value);
        let over = client
            .swap("k", &vec![0; 1_000_001], Revision(1), None)
            .await;
        assert_matches!(over, Err(Error::Unavailable(_)));
    });
}

/// Guards against a client that does not recover after an outage, and against a write to a closing
/// connection that is reported as refused.
#[test]
fn an_outage_is_reported_and_recovered_from() {
    with_platform(async |platform, client| {
        client.swap("k", b"1", ABSENT, None).await.unwrap();
        platform.update_faults(&Change {
            down: Some(true),
            ..Default::default()
        });
        assert_matches!(client.get("k").await, Err(Error::Unavailable(_)));
        // The request was sent before the connection closed, so its effect is unknown to the client.
        let swap = client.swap("k", b"2", Revision(1), None).await;
        assert_matches!(swap, Err(Error::Uncertain(_)));
        platform.update_faults(&Change {
            down: Some(false),
            ..Default::default()
        });
        assert_eq!(client.get("k").await.unwrap().unwrap().value, b"1");
    });
}

/// Guards against a write to an address without a listener that is reported as uncertain, and against a
/// client that does not fail over from such an address.
#[test]
fn the_client_fails_over_from_an_unavailable_address() {
    with_platform(async |platform, _client| {
        let unused = Platform::listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let dead = unused.address();
        unused.close();
        // The listener closes when its task is dropped by the executor.
        agatemill_runtime::sleep(Duration::from_millis(50)).await;
        let client = Client::new(&[dead, platform.address()], TIMEOUT);
        let swap = client.swap("k", b"1", ABSENT, None).await;
        assert_matches!(swap, Err(Error::Unavailable(_)));
        let swap = client.swap("k", b"1", ABSENT, None).await;
        assert_matches!(swap, Ok(Swap::Done(_)));
    });
}
