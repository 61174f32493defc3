//! Limits on the attempts of a request.

use core::net::SocketAddrV4;

use agatemill_core::id;
use agatemill_fleet::Attempts;

const MAX_ATTEMPTS: u32 = 2;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 80)
}

/// Attempts that ran on the servers with these numbers; each run ended because its server seemed lost.
fn lost_runs(numbers: &[u8]) -> Attempts {
    let mut attempts = Attempts::default();
    for number in numbers {
        let server: id::Server = format!("s{number}").parse().unwrap();
        attempts.record_send(server.clone(), address(*number));
        attempts.record_loss(&server);
    }
    attempts
}

/// Guards against a request that runs on more servers than its route allows because servers that live seem lost.
#[test]
fn a_lost_server_that_is_still_listed_counts() {
    let attempts = lost_runs(&[1, 2]);
    assert_eq!(attempts.losses(), 2);
    assert!(attempts.has_run_enough(MAX_ATTEMPTS, |_, _| true));
    assert!(!lost_runs(&[1]).has_run_enough(MAX_ATTEMPTS, |_, _| true));
}

/// Guards against a request that fails although the servers that ran it have ended.
#[test]
fn a_lost_server_that_has_ended_does_not_count() {
    let attempts = lost_runs(&[1, 2]);
    assert!(!attempts.has_run_enough(MAX_ATTEMPTS, |_, listed| listed == address(2)));
    assert!(!attempts.has_run_enough(1, |_, _| false));
}

/// Guards against a server that leaves the list while it still runs the request, and that no longer counts.
#[test]
fn a_server_that_broke_a_response_counts_until_the_end() {
    let mut attempts = Attempts::default();
    attempts.record_send("s1".parse().unwrap(), address(1));
    assert!(attempts.has_run_enough(1, |_, _| false));
}

/// Guards against a request that is resumed without end while one server after another ends.
#[test]
fn losses_and_rejections_are_limited() {
    assert!(lost_runs(&[1, 2, 3, 4]).has_run_enough(MAX_ATTEMPTS, |_, _| false));
    let mut attempts = Attempts::default();
    for _ in 0..4 {
        assert!(!attempts.is_often_rejected());
        let server: id::Server = "s1".parse().unwrap();
        attempts.record_send(server.clone(), address(1));
        attempts.record_rejection(&server);
        assert_eq!(attempts.runs(), 0);
    }
    assert!(attempts.is_often_rejected());
    assert!(!attempts.has_run_enough(MAX_ATTEMPTS, |_, _| true));
}
