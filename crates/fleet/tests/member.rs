//! Choice of the hosts that perform duties for others.

use std::collections::HashMap;

use agatemill_core::id;
use agatemill_fleet::Capacity;
use agatemill_fleet::Member;
use agatemill_fleet::member;

/// Hosts of zone `a` of a large fleet: `a1` to `a3` are large, the others small.
fn members() -> HashMap<id::Host, Member> {
    let member = |number: u16| {
        let (link, processor_permille) = match number {
            1..=3 => ("200Mbit/s", 500),
            _ => ("20Mbit/s", 120),
        };
        let address = core::net::SocketAddrV4::new([10, 0, 0, 1].into(), 1_000 + number);
        Member {
            host: format!("a{number}").parse().unwrap(),
            zone: "a".parse().unwrap(),
            address,
            exchange: address,
            capacity: Capacity {
                link: link.parse().unwrap(),
                processor_permille,
            },
        }
    };
    let members = (1..=68).map(member);
    members
        .map(|member| (member.host.clone(), member))
        .collect()
}

fn leader(members: &HashMap<id::Host, Member>) -> &Member {
    member::zone_leader(members, &"a".parse().unwrap()).unwrap()
}

/// Guards against a small host that sends all changes and totals to 67 others although large ones are there: in the order of
/// names `a10` follows `a1`.
#[test]
fn large_hosts_lead_a_zone_before_small_ones() {
    let mut members = members();
    for expected in ["a1", "a2", "a3"] {
        let host = leader(&members).host.clone();
        assert_eq!(host.as_str(), expected);
        members.remove(&host);
    }
    assert_eq!(leader(&members).host.as_str(), "a10");
}

/// Guards against hosts that disagree on a leader, and against one that is preferred because nothing is known of it.
#[test]
fn equal_hosts_are_ordered_by_name_and_unknown_ones_come_last() {
    let mut members = members();
    let unknown = members.get_mut(&"a1".parse().unwrap()).unwrap();
    unknown.capacity = Capacity::default();
    assert_eq!(leader(&members).host.as_str(), "a2");
    for member in members.values_mut() {
        member.capacity = Capacity::default();
    }
    assert_eq!(leader(&members).host.as_str(), "a1");
}

/// Guards against a processor that outweighs the link, over which the duties send most.
#[test]
fn the_faster_link_decides_before_the_processor() {
    let capacity = |link: &str, processor_permille| Capacity {
        link: link.parse().unwrap(),
        processor_permille,
    };
    assert!(capacity("200Mbit/s", 120) > capacity("20Mbit/s", 500));
    assert!(capacity("20Mbit/s", 500) > capacity("20Mbit/s", 120));
}
