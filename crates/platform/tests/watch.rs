//! Tests of watches against the fake platform.

use core::time::Duration;

use assert_matches::assert_matches;

use agatemill_core::number::Revision;
use agatemill_fake::platform::Platform;
use agatemill_fake::platform::faults::Change as Fault;
use agatemill_platform::Client;
use agatemill_platform::Error;
use agatemill_platform::Swap;
use agatemill_platform::Watch;
use agatemill_platform::watch::Change;

const TIMEOUT: Duration = Duration::from_millis(500);
const ABSENT: Revision = Revision(0);

fn with_platform<T: Future<Output = ()>>(test: impl FnOnce(Platform, Client) -> T) {
    smol::block_on(async {
        let platform = Platform::listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let client = platform.client(TIMEOUT);
        test(platform, client).await;
    });
}

async fn next(watch: &mut Watch) -> Result<Change, Error> {
    let next = agatemill_runtime::timeout(Duration::from_secs(5), watch.next()).await;
    next.expect("the watch timed out")
}

async fn write(client: &Client, text: &str, expected: Revision) -> Revision {
    let swap = client.swap("k", text.as_bytes(), expected, None).await;
    assert_matches!(swap, Ok(Swap::Done(revision)) => revision)
}

fn down(platform: &Platform, down: bool) {
    platform.update_faults(&Fault {
        down: Some(down),
        ..Default::default()
    });
}

/// Guards against changes that are lost, duplicated or reordered when the connection breaks repeatedly between
/// and during writes.
#[test]
fn no_change_is_missed_over_reconnects() {
    const WRITES: usize = 60;
    with_platform(async |platform, client| {
        let writer = client.clone();
        let background = agatemill_runtime::spawn(async move {
            let mut revision = ABSENT;
            for number in 0..WRITES {
                revision = write_with_retries(&writer, &number.to_string(), revision).await;
            }
        });
        let mut seen = Vec::new();
        let mut from = Revision(1);
        while seen.len() < WRITES {
            let Ok(mut watch) = client.watch("k", from).await else {
                down(&platform, false);
                continue;
            };
            for _ in 0..7 {
                let Ok(Change::Put(entry)) = next(&mut watch).await else {
                    break;
                };
                from = entry.revision.next();
                seen.push(String::from_utf8(entry.value).unwrap());
                if seen.len() == WRITES {
                    break;
                }
            }
            down(&platform, true);
            assert_matches!(client.watch("k", from).await, Err(Error::Unavailable(_)));
            down(&platform, false);
        }
        background.await;
        let expected: Vec<_> = (0..WRITES).map(|number| number.to_string()).collect();
        assert_eq!(seen, expected);
    });
}

/// Writes a value exactly once, with retries over connection failures.
async fn write_with_retries(client: &Client, text: &str, expected: Revision) -> Revision {
    loop {
        match client.swap("k", text.as_bytes(), expected, None).await {
            Ok(Swap::Done(revision)) => return revision,
            Ok(Swap::Conflict(Some(found))) => {
                assert_eq!(found.value, text.as_bytes());
                return found.revision;
            }
            _ => agatemill_runtime::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Guards against a client that keeps waiting on a watch that the service has ended, where no change would
/// ever arrive.
#[test]
fn an_ended_watch_is_an_error() {
    with_platform(async |platform, client| {
        let revision = write(&client, "1", ABSENT).await;
        let mut watch = client.watch("k", revision).await.unwrap();
        assert_matches!(next(&mut watch).await, Ok(Change::Put(_)));
        down(&platform, true);
        assert_matches!(next(&mut watch).await, Err(Error::Unavailable(_)));
    });
}

/// Guards against a watch that silently skips changes that the service has compacted.
#[test]
fn a_watch_of_compacted_history_is_an_error() {
    with_platform(async |_platform, client| {
        let mut revision = ABSENT;
        for _ in 0..1100 {
            revision = write(&client, "1", revision).await;
        }
        let mut watch = client.watch("k", Revision(1)).await.unwrap();
        assert_matches!(next(&mut watch).await, Err(Error::Unavailable(_)));
    });
}

/// Guards against deletions that are not reported, and against reported changes of other keys.
#[test]
fn a_watch_reports_deletions_of_its_key_only() {
    with_platform(async |platform, client| {
        let lease = client.grant(Duration::from_mins(1)).await.unwrap();
        let mut watch = client.watch("k", Revision(1)).await.unwrap();
        client.swap("other", b"", ABSENT, None).await.unwrap();
        client.swap("k", b"1", ABSENT, Some(lease)).await.unwrap();
        assert_matches!(next(&mut watch).await, Ok(Change::Put(_)));
        platform.update_faults(&Fault {
            drop_leases: true,
            ..Default::default()
        });
        assert_eq!(next(&mut watch).await, Ok(Change::Deleted));
    });
}

/// Guards against watches that stay open when the store is restored to an older snapshot: its next revisions
/// have already been used.
#[test]
fn a_restore_ends_watches_and_restores_old_values() {
    with_platform(async |platform, client| {
        let revision = write(&client, "old", ABSENT).await;
        platform.snapshot();
        let newer = write(&client, "new", revision).await;
        let mut watch = client.watch("k", newer.next()).await.unwrap();
        assert!(platform.restore());
        assert_matches!(next(&mut watch).await, Err(Error::Unavailable(_)));
        assert_eq!(client.get("k").await.unwrap().unwrap().value, b"old");
    });
}

/// Guards against counts that omit calls; the platform's limits are checked with these counts.
#[test]
fn calls_are_counted_by_kind() {
    with_platform(async |platform, client| {
        write(&client, "1", ABSENT).await;
        client.get("k").await.unwrap();
        client.grant(Duration::from_mins(1)).await.unwrap();
        let watch = client.watch("k", Revision(0)).await.unwrap();
        let counts = platform.counts();
        let totals = [counts.reads, counts.writes, counts.leases, counts.watches];
        assert_eq!(totals.map(|calls| calls.total), [1; 4]);
        assert_eq!((counts.waiting, counts.waiting_peak), (1, 1));
        watch.close();
    });
}
