//! Tests of the size limit of gossip datagrams and of truncated datagrams.

use core::net::Ipv6Addr;
use core::net::SocketAddr;

use agatemill_core::id;
use agatemill_wire::Count;
use agatemill_wire::Datagram;
use agatemill_wire::Member;
use agatemill_wire::datagram::Invalid;
use agatemill_wire::datagram::Kind;
use agatemill_wire::member::Service;
use agatemill_wire::member::State;

/// A datagram with members whose fields have the longest encoding.
fn largest(members: usize) -> Datagram {
    let name = "x".repeat(id::MAX_LEN);
    let host: id::Host = name.parse().expect("a valid id");
    let address = SocketAddr::from((Ipv6Addr::LOCALHOST, u16::MAX));
    let member = Member {
        host: host.clone(),
        zone: name.parse().expect("a valid id"),
        run: u64::MAX,
        incarnation: u64::MAX,
        revision: u64::MAX,
        control: address,
        gossip: address,
        entry: Some(address),
        service: Service::Draining,
        state: State::Left,
    };
    Datagram {
        environment: u64::MAX,
        from: host.clone(),
        kind: Kind::PingRequest { target: host },
        sequence: u64::MAX,
        generation: u64::MAX,
        confirmed_ms: Some(u64::MAX),
        hosts: u64::MAX,
        members: vec![member; members],
    }
}

/// Guards against a failure detector that sends more updates in a message than fit into a datagram; its
/// default is five.
#[test]
fn five_of_the_largest_members_fit() {
    let datagram = largest(5);
    let bytes = datagram.encode().expect("it fits");
    assert_eq!(Datagram::decode(&bytes), Ok(datagram));
    let too_large = largest(7).encode();
    assert!(matches!(too_large, Err(Invalid::TooLarge { .. })));
}

/// Guards against a truncated datagram that is accepted or makes the decoder panic.
#[test]
fn truncated_datagrams_are_rejected() {
    let bytes = largest(2).encode().expect("it fits");
    for length in 0..bytes.len() {
        assert!(Datagram::decode(&bytes[..length]).is_err());
    }
}

/// Guards against the reply of a zone that is dropped because long host names make it too large.
#[test]
fn the_largest_count_fits() {
    let name: id::Host = "x".repeat(id::MAX_LEN).parse().expect("a valid id");
    let members = core::iter::repeat_n((name, Some(u64::MAX - 1)), 50);
    let mut datagram = largest(0);
    datagram.kind = Kind::Counted(Count::of(u64::MAX, members));
    let bytes = datagram.encode().expect("it fits");
    assert_eq!(Datagram::decode(&bytes), Ok(datagram));
}
