//! Simulations on an in-memory network: detection, false deaths, partitions, restarts and traffic.

use core::time::Duration;

use crate::network::Network;
use agatemill_membership::State;

mod network;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a dead host that stays in the directory: all others must suspect it within 2 s and declare it
/// dead when the suspicion times out.
#[test]
fn a_dead_host_is_suspected_within_two_seconds() {
    for count in [3, 8, 30, 100] {
        for seed in 0..20 {
            let mut network = Network::new(count, seed);
            network.run(3 * SECOND);
            network.kill(1);
            let suspected = network.run_until(2 * SECOND, |network| {
                network.all_see(1, |state| state != State::Alive)
            });
            assert!(suspected.is_some(), "{count} hosts, seed {seed}");
            let dead = network.run_until(5 * SECOND, |network| {
                network.all_see(1, |state| state == State::Dead)
            });
            assert!(dead.is_some(), "{count} hosts, seed {seed}");
        }
    }
}

/// Guards against suspicions that queue behind profile updates when the profile of every member changes.
#[test]
fn profile_changes_do_not_delay_a_suspicion() {
    for seed in 0..2 {
        let mut network = Network::new(300, seed);
        network.run(10 * SECOND);
        network.change_profiles(9);
        network.run(SECOND / 2);
        network.kill(299);
        let suspected = network.run_until(2 * SECOND, |network| {
            network.all_see(299, |state| state != State::Alive)
        });
        assert!(suspected.is_some(), "seed {seed}");
    }
}

/// Guards against live hosts that are declared dead because datagrams are lost.
#[test]
fn ten_percent_datagram_loss_causes_no_false_death() {
    for count in [3, 8, 30, 100] {
        let mut network = Network::new(count, 7);
        network.loss = 0.1;
        for _ in 0..120 {
            network.run(SECOND / 2);
            assert_eq!(network.false_deaths(), [], "{count} hosts");
        }
    }
}

/// Guards against a paused process that suspects others because it missed their acknowledgements, and against a
/// pause that ends in a false death.
#[test]
fn a_paused_process_suspects_nobody() {
    for count in [3, 8, 30, 100] {
        for millis in [1_200, 3_000, 20_000] {
            let mut network = Network::new(count, millis);
            network.run(3 * SECOND);
            network.pause(0);
            network.run(Duration::from_millis(millis));
            network.resume(0);
            for _ in 0..60 {
                network.run(SECOND / 10);
                let suspected = (1..count).any(|index| network.state(0, index) != State::Alive);
                assert!(!suspected, "{count} hosts, paused for {millis} ms");
            }
            assert_eq!(
                network.false_deaths(),
                [],
                "{count} hosts, paused for {millis} ms"
            );
        }
    }
}

/// Guards against a one-way link failure between two hosts that gets either of them declared dead.
#[test]
fn a_one_way_cut_between_two_hosts_causes_no_false_death() {
    for count in [3, 8, 30, 100] {
        let mut network = Network::new(count, 11);
        network.cut(0, 1);
        for _ in 0..60 {
            network.run(SECOND / 2);
            assert_eq!(network.false_deaths(), [], "{count} hosts");
        }
    }
}

/// Guards against an isolated host that still considers the others reachable: whichever direction of its links
/// fails, it must see them as dead, and they must see it as dead.
#[test]
fn a_host_that_cannot_send_or_cannot_receive_is_isolated() {
    for count in [3, 8, 30] {
        for receives in [false, true] {
            let mut network = Network::new(count, 13);
            for index in 1..count {
                let (from, to) = if receives { (0, index) } else { (index, 0) };
                network.cut(from, to);
            }
            network.run(40 * SECOND);
            assert!(network.all_see(0, |state| state == State::Dead), "{count}");
            let alone = (1..count).all(|index| network.state(0, index) == State::Dead);
            assert!(alone, "{count} hosts, receives: {receives}");
            let rest = (1..count)
                .all(|viewer| (1..count).all(|index| network.state(viewer, index) != State::Dead));
            assert!(rest, "{count} hosts, receives: {receives}");
        }
    }
}

/// Guards against two sides that do not merge after a partition heals, or that lose members of their own side.
#[test]
fn a_healed_partition_converges() {
    for count in [3, 8, 30, 100] {
        let boundary = count / 2;
        let mut network = Network::new(count, 17);
        network.split(boundary);
        network.run(60 * SECOND);
        for viewer in 0..count {
            for index in 0..count {
                let same = (viewer < boundary) == (index < boundary);
                let expected = if same { State::Alive } else { State::Dead };
                assert_eq!(network.state(viewer, index), expected, "{count} hosts");
            }
        }
        network.heal();
        let healed = network.run_until(30 * SECOND, |network| {
            (0..count).all(|index| network.all_see(index, |state| state == State::Alive))
        });
        assert!(healed.is_some(), "{count} hosts");
    }
}

/// Guards against a restarted host whose earlier run's dead or left state persists.
#[test]
fn a_restarted_host_replaces_its_earlier_run() {
    for leaves in [false, true] {
        let mut network = Network::new(8, 19);
        network.run(2 * SECOND);
        if leaves {
            network.leave(3);
        } else {
            network.kill(3);
        }
        network.run(10 * SECOND);
        let past = if leaves { State::Left } else { State::Dead };
        assert!(network.all_see(3, |state| state == past));
        network.restart(3, 2, 0);
        let back = network.run_until(5 * SECOND, |network| {
            network.all_see(3, |state| state == State::Alive)
        });
        assert!(back.is_some(), "left: {leaves}");
    }
}

/// Guards against dead members that are retained forever, or that members remove and then learn again from each
/// other.
#[test]
fn a_dead_member_is_removed_after_the_retention() {
    let mut network = Network::new(8, 23);
    network.run(2 * SECOND);
    network.kill(3);
    network.run(240 * SECOND);
    assert!(network.all_see(3, |state| state == State::Dead));
    network.run(360 * SECOND);
    for viewer in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(network.machine(viewer).others().count(), 6);
    }
}

/// Guards against traffic that grows with the number of members: the budget of all control traffic is 14 KB per
/// second.
#[test]
fn traffic_is_bounded() {
    for count in [3, 8, 30, 100] {
        let mut network = Network::new(count, 29);
        network.loss = 0.1;
        network.run(20 * SECOND);
        for index in 0..count / 4 {
            network.kill(index);
        }
        let before = network.bytes.clone();
        network.run(20 * SECOND);
        for (after, before) in network.bytes.iter().zip(before) {
            let rate = (after - before) / 20;
            assert!(rate < 10_000, "{count} hosts: {rate} bytes a second");
        }
    }
}
