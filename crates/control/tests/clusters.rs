//! Integration tests of controls on loopback: configuration distribution, the directory, restarts and planned stops.

use core::time::Duration;

use crate::cluster::SECOND;

#[allow(dead_code)]
mod cluster;

/// Guards against a configuration that reaches only the control to which it was pushed.
#[test]
fn a_pushed_configuration_reaches_all_controls() {
    smol::block_on(async {
        let controls = cluster::cluster(8).await;
        assert_eq!(
            cluster::push(&controls[3], cluster::envelope(1, "ada")).await,
            1
        );
        for control in &controls {
            let received = async || control.generation().0 == 1;
            assert!(cluster::wait_until(3 * SECOND, received).await.is_some());
        }
        // A lower generation never replaces a higher one.
        cluster::push(&controls[3], cluster::envelope(5, "ada")).await;
        assert_eq!(
            cluster::push(&controls[3], cluster::envelope(4, "ada")).await,
            5
        );
    });
}

/// Guards against a count that omits hosts of other zones, an entry with an older generation than its control, or
/// a host that has just died and may still serve callers.
#[test]
fn hosts_with_an_old_or_unknown_generation_are_counted() {
    smol::block_on(async {
        let mut controls = cluster::cluster(9).await;
        cluster::push(&controls[3], cluster::envelope(2, "ada")).await;
        let all = async || cluster::count(&controls[0], 2).await.in_force == 9;
        assert!(cluster::wait_until(3 * SECOND, all).await.is_some());
        assert!(cluster::count(&controls[0], 2).await.is_complete());
        // The entry reports generation 1.
        let entry = cluster::local(&controls[4]).await;
        cluster::report(&entry, 9_500).await;
        drop(controls.pop());
        let count = cluster::count(&controls[0], 2).await;
        let behind = |count: &agatemill_wire::Count| {
            let named = count.behind.iter();
            named
                .map(|member| (member.host.to_string(), member.generation))
                .collect::<Vec<_>>()
        };
        let expected = [("host-4".to_owned(), Some(1)), ("host-8".to_owned(), None)];
        assert_eq!(behind(&count), expected);
        assert_eq!((count.members, count.in_force, count.highest), (9, 7, 2));
    });
}

/// Guards against a `follow` call that waits for its full timeout although a new generation is available.
#[test]
fn follow_returns_the_next_generation_at_once() {
    smol::block_on(async {
        let controls = cluster::cluster(2).await;
        let client = cluster::local(&controls[1]).await;
        let start = agatemill_runtime::now();
        let waiting = agatemill_runtime::spawn(async move {
            let wait = Duration::from_secs(8);
            client.follow(tarpc::context::current(), 0, wait).await
        });
        agatemill_runtime::sleep(SECOND / 5).await;
        cluster::push(&controls[0], cluster::envelope(1, "ada")).await;
        let envelope = waiting.await.expect("a response");
        assert_eq!(envelope, Some(cluster::envelope(1, "ada")));
        assert!(agatemill_runtime::now().saturating_sub(start) < 4 * SECOND);
    });
}

/// Guards against a dead host that stays in the directory, to which callers would then connect.
#[test]
fn a_killed_host_leaves_the_directory_within_two_seconds() {
    smol::block_on(async {
        let mut controls = cluster::cluster(5).await;
        let mut entries = Vec::new();
        for (index, control) in controls.iter().enumerate() {
            let port = 9_000 + u16::try_from(index).expect("small");
            entries.push(cluster::entry(control, port).await);
        }
        for control in &controls {
            let full = async || cluster::directory(control).await.len() == 5;
            assert!(cluster::wait_until(3 * SECOND, full).await.is_some());
        }
        // The control is dropped first, so that it cannot announce that its entry has disconnected.
        drop(controls.remove(4));
        drop(entries.remove(4));
        let gone = async || {
            for control in &controls {
                if cluster::directory(control)
                    .await
                    .contains(&"host-4".to_owned())
                {
                    return false;
                }
            }
            true
        };
        let took = cluster::wait_until(2 * SECOND, gone).await;
        assert!(took.is_some(), "still listed after 2 s");
    });
}

/// Guards against a dead entry that stays in the directory: its closed connection makes it absent at once,
/// before the 1.5 s limit of its reports.
#[test]
fn a_closed_connection_makes_the_entry_absent_everywhere() {
    smol::block_on(async {
        let controls = cluster::cluster(3).await;
        let entry = cluster::entry(&controls[0], 9_100).await;
        let listed = async || cluster::directory(&controls[2]).await == ["host-0"];
        assert!(cluster::wait_until(3 * SECOND, listed).await.is_some());
        drop(entry);
        let gone = async || cluster::directory(&controls[2]).await.is_empty();
        assert!(cluster::wait_until(SECOND, gone).await.is_some());
    });
}

/// Guards against an entry that hangs but stays in the directory because its connection is still open.
#[test]
fn an_entry_without_reports_becomes_absent() {
    smol::block_on(async {
        let controls = cluster::cluster(2).await;
        let client = cluster::local(&controls[0]).await;
        cluster::report(&client, 9_200).await;
        let listed = async || cluster::directory(&controls[1]).await == ["host-0"];
        assert!(cluster::wait_until(SECOND, listed).await.is_some());
        let gone = async || cluster::directory(&controls[1]).await.is_empty();
        assert!(cluster::wait_until(5 * SECOND / 2, gone).await.is_some());
        drop(client);
    });
}

/// Guards against a restarted control that has no document, or an old one, during an outage of the platform.
#[test]
fn a_restarted_control_pulls_the_newest_generation_from_its_peers() {
    smol::block_on(async {
        let mut controls = cluster::cluster(3).await;
        cluster::push(&controls[0], cluster::envelope(7, "ada")).await;
        drop(controls.remove(2));
        let peers = vec![controls[1].address()];
        let restarted = cluster::start(2, peers).await;
        let received = async || restarted.generation().0 == 7;
        assert!(cluster::wait_until(3 * SECOND, received).await.is_some());
        let joined = async || {
            let members = cluster::overview(&controls[0]).await.members;
            let alive = agatemill_wire::member::State::Alive;
            members
                .iter()
                .filter(|member| member.state == alive)
                .count()
                == 3
        };
        assert!(cluster::wait_until(5 * SECOND, joined).await.is_some());
    });
}

/// Guards against a drain request that is not forwarded by the control that the operator calls.
#[test]
fn a_drain_request_reaches_its_host() {
    smol::block_on(async {
        let controls = cluster::cluster(3).await;
        let client = cluster::local(&controls[2]).await;
        assert!(!cluster::report(&client, 9_300).await.drain);
        let operator = cluster::operator(&controls[0]).await;
        let drain = async |host: &str| {
            let host = host.parse().expect("a valid id");
            operator.drain(tarpc::context::current(), host).await
        };
        assert!(drain("host-2").await.expect("a response"));
        assert!(!drain("host-9").await.expect("a response"));
        assert!(cluster::report(&client, 9_300).await.drain);
    });
}

/// Guards against a planned stop that other members treat as a failure.
#[test]
fn a_stopped_control_has_left() {
    smol::block_on(async {
        let mut controls = cluster::cluster(4).await;
        controls.remove(3).close().await;
        let left = agatemill_wire::member::State::Left;
        for control in &controls {
            let has_left = async || {
                let members = cluster::overview(control).await.members;
                let stopped = members
                    .iter()
                    .find(|member| member.host.as_str() == "host-3");
                stopped.is_some_and(|member| member.state == left)
            };
            assert!(cluster::wait_until(2 * SECOND, has_left).await.is_some());
        }
    });
}
