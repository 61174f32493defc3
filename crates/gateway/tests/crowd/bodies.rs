//! Crowds of callers that send large bodies.

use crate::host::Host;
use crate::host::Limits;

/// Guards against a harness that measures nothing: a process without a crowd stays far below the bounds of the other tests.
#[test]
fn a_process_without_a_crowd_is_small() {
    let mut host = Host::start(Limits::default());
    host.assert_within(60_000_000);
    assert!(host.open_descriptors() < 64);
    assert_eq!(host.readiness(), Some(200));
    assert!(host.read_metrics().contains("agatemill_requests"));
    host.assert_serves("read");
    assert!(host.store.calls() > 0);
    assert!(
        host.engines
            .iter()
            .any(|engine| !engine.arrivals().is_empty())
    );
    assert!(
        host.services
            .iter()
            .any(|server| !server.arrivals().is_empty())
    );
}
