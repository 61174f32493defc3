//! Tests of leases against the fake platform.

use core::time::Duration;

use assert_matches::assert_matches;

use agatemill_core::number::Revision;
use agatemill_fake::platform::Platform;
use agatemill_fake::platform::faults::Change;
use agatemill_platform::Client;
use agatemill_platform::Error;
use agatemill_platform::Lease;

const TIMEOUT: Duration = Duration::from_millis(500);
const TTL: Duration = Duration::from_secs(1);
const ABSENT: Revision = Revision(0);

fn with_lease<T: Future<Output = ()>>(test: impl FnOnce(Platform, Client, Lease) -> T) {
    smol::block_on(async {
        let platform = Platform::listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let client = platform.client(TIMEOUT);
        let lease = client.grant(TTL).await.unwrap();
        client.swap("k", b"1", ABSENT, Some(lease)).await.unwrap();
        test(platform, client, lease).await;
    });
}

/// Guards against keys that outlive their lease, and against an expired lease that can be renewed.
#[test]
fn a_lease_expires_with_its_keys() {
    with_lease(async |_platform, client, lease| {
        agatemill_runtime::sleep(TTL + Duration::from_millis(100)).await;
        assert_eq!(client.get("k").await, Ok(None));
        assert_eq!(client.renew(lease).await, Err(Error::LeaseExpired));
        let late = client.swap("k", b"2", ABSENT, Some(lease)).await;
        assert_eq!(late, Err(Error::LeaseExpired));
    });
}

/// Guards against renewals without effect.
#[test]
fn a_renewed_lease_does_not_expire() {
    with_lease(async |_platform, client, lease| {
        for _ in 0..4 {
            agatemill_runtime::sleep(TTL / 2).await;
            assert_eq!(client.renew(lease).await, Ok(()));
        }
        assert_matches!(client.get("k").await, Ok(Some(_)));
    });
}

/// Guards against keys that remain after their lease was revoked by the client or dropped by the service.
#[test]
fn revoked_and_dropped_leases_expire_immediately() {
    with_lease(async |platform, client, lease| {
        client.revoke(lease).await.unwrap();
        assert_eq!(client.get("k").await, Ok(None));
        let lease = client.grant(TTL).await.unwrap();
        client.swap("k", b"2", ABSENT, Some(lease)).await.unwrap();
        platform.update_faults(&Change {
            drop_leases: true,
            ..Default::default()
        });
        assert_eq!(client.get("k").await, Ok(None));
        assert_eq!(client.renew(lease).await, Err(Error::LeaseExpired));
    });
}
