//! Tests of the freshness rule.

use core::time::Duration;

use crate::network::host;
use agatemill_membership::freshness::Decision;
use agatemill_membership::freshness::Peer;
use agatemill_membership::freshness::decide;

#[allow(dead_code)]
mod network;

const LIMIT: Duration = Duration::from_secs(10);

fn decide_for(own: usize, count: usize, reached: &[usize], age: Option<Duration>) -> Decision {
    let peers: Vec<_> = (0..count)
        .filter(|index| *index != own)
        .map(|index| Peer {
            host: host(index),
            reachable: reached.contains(&index),
        })
        .collect();
    decide(&host(own), &peers, age, LIMIT)
}

/// Guards against an isolated host that rejects requests although the platform has recently confirmed its document.
#[test]
fn a_confirmed_host_serves() {
    assert_eq!(decide_for(2, 8, &[], Some(LIMIT)), Decision::Serve);
}

/// Guards against a platform outage that stops all hosts, and against a minority that serves with a document that
/// may have been replaced.
#[test]
fn beyond_the_limit_the_majority_serves() {
    for age in [None, Some(LIMIT + Duration::from_millis(1))] {
        assert_eq!(decide_for(7, 8, &[1, 2, 3, 4], age), Decision::Serve);
        assert_eq!(decide_for(0, 8, &[1, 2], age), Decision::Refuse);
        assert_eq!(decide_for(0, 1, &[], age), Decision::Serve);
    }
}

/// Guards against both sides of an even split serving, or neither: for every even split, exactly one
/// side serves, and it is the one with the lowest host id.
#[test]
fn in_an_even_split_one_side_serves() {
    let count = 6;
    for mask in 0_u32..1 << count {
        if mask.count_ones() != 3 {
            continue;
        }
        let side: Vec<_> = (0..count).filter(|index| mask >> index & 1 == 1).collect();
        let lowest = side.contains(&0);
        for own in &side {
            let expected = if lowest {
                Decision::Serve
            } else {
                Decision::Refuse
            };
            assert_eq!(decide_for(*own, count, &side, None), expected, "{side:?}");
        }
    }
}

/// Guards against both sides serving after any partition of the members into two.
#[test]
fn never_do_both_sides_serve() {
    let count = 7;
    for mask in 0_u32..1 << count {
        let (a, b): (Vec<_>, Vec<_>) = (0..count).partition(|index| mask >> index & 1 == 1);
        let serves = |side: &Vec<usize>| {
            side.iter()
                .any(|own| decide_for(*own, count, side, None) == Decision::Serve)
        };
        assert!(!(serves(&a) && serves(&b)), "{a:?} {b:?}");
    }
}
