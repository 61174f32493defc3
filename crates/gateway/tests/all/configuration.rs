//! Tests of configurations that the operator writes.

use crate::run_test;
use crate::system::System;
use agatemill_standin::document;

/// Guards against a key that goes on working because the version that revokes it cannot be decoded.
#[test]
fn a_configuration_that_cannot_be_decoded_ends_requests_with_keys() {
    run_test(2, |system| async move {
        let routes = document::routes(4, r#""k1""#);
        let unreadable = routes.replace(r#""version":4"#, r#""version":"four""#);
        system.store.put(document::KEY, &unreadable);
        let state = system.process.state();
        let is_stale = || !state.is_ready();
        system.wait_until("the view is stale", is_stale).await;
        assert_eq!(send(&system, "a1", "k2").await, 503);
        assert_eq!(system.run_count("a1"), 0);
        let readable = document::routes(5, r#""k1""#);
        system.store.put(document::KEY, &readable);
        system
            .wait_until("the view is recent", || state.is_ready())
            .await;
        assert_eq!(send(&system, "a2", "k2").await, 401);
        assert_eq!(send(&system, "a3", "k1").await, 200);
    });
}

async fn send(system: &System, attempt: &str, key: &str) -> u16 {
    let response = system.send_with("read", attempt, key, "please").await;
    response.status.as_u16()
}
