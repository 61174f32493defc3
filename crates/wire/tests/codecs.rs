//! Property tests of the datagram and envelope codecs.

use core::net::IpAddr;
use core::net::SocketAddr;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;

use agatemill_core::id;
use agatemill_core::number::Generation;
use agatemill_wire::Datagram;
use agatemill_wire::Envelope;
use agatemill_wire::Member;
use agatemill_wire::datagram::Kind;
use agatemill_wire::member::Service;
use agatemill_wire::member::State;

fn host() -> impl Strategy<Value = id::Host> {
    "[a-z0-9][a-z0-9._-]{0,20}".prop_map(|name| name.parse().expect("a valid id"))
}

/// Addresses without the IPv6 scope id and flow label, which the encoding omits: a scope id numbers an interface
/// of the sender and means nothing to another host.
fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(IpAddr, u16)>().prop_map(SocketAddr::from)
}

fn member() -> impl Strategy<Value = Member> {
    let numbers = any::<(u64, u64, u64)>();
    (host(), numbers, address()).prop_map(|(host, numbers, address)| Member {
        host,
        zone: "zone-a".parse().expect("a valid id"),
        run: numbers.0,
        incarnation: numbers.1,
        revision: numbers.2,
        control: address,
        gossip: address,
        entry: None,
        service: Service::Ready,
        state: State::Suspect,
    })
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let kind = prop_oneof![
        Just(Kind::Ping),
        Just(Kind::Ack),
        host().prop_map(|target| Kind::PingRequest { target }),
        Just(Kind::Ask),
        any::<u64>().prop_map(|generation| Kind::Held { generation }),
        any::<u64>().prop_map(|generation| Kind::Count { generation }),
    ];
    let numbers = any::<(u64, u64, u64, Option<u64>, u64)>();
    (host(), kind, numbers, vec(member(), 0..5)).prop_map(|(from, kind, numbers, members)| {
        Datagram {
            environment: numbers.0,
            from,
            kind,
            sequence: numbers.1,
            generation: numbers.2,
            hosts: numbers.4,
            confirmed_ms: numbers.3,
            members,
        }
    })
}

proptest! {
    /// Guards against a datagram that decodes to a different one.
    #[test]
    fn datagrams_round_trip(datagram in datagram()) {
        let bytes = datagram.encode().expect("five members fit");
        prop_assert_eq!(Datagram::decode(&bytes), Ok(datagram));
    }

    /// Guards against a decoder that panics on arbitrary bytes from the network.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..1_500)) {
        let _ = Datagram::decode(&bytes);
        let _ = rmp_serde::from_slice::<Envelope>(&bytes);
    }

    /// Guards against a decoder that panics on a corrupted datagram: such bytes reach further into the
    /// decoder than arbitrary ones.
    #[test]
    fn corrupted_bytes_do_not_panic(datagram in datagram(), index in any::<usize>(), byte in any::<u8>()) {
        let mut bytes = datagram.encode().expect("five members fit");
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = Datagram::decode(&bytes);
    }

    /// Guards against an envelope that changes in transit, and against a corrupted one that is accepted.
    #[test]
    fn envelopes_round_trip(generation in any::<u64>(), text in ".{1,200}", other in ".{1,200}") {
        let new = |text: &str| {
            let (write, author) = ("write".into(), "ada".into());
            agatemill_config::Envelope::new(Generation(generation), write, author, text.to_owned())
        };
        let envelope = new(&text);
        let bytes = rmp_serde::to_vec(&Envelope::from(&envelope)).expect("an envelope is encoded");
        let wire: Envelope = rmp_serde::from_slice(&bytes).expect("it is decoded");
        prop_assert_eq!(agatemill_config::Envelope::try_from(wire), Ok(envelope));
        let mut corrupted = new(&text);
        corrupted.text.clone_from(&other);
        let decoded = agatemill_config::Envelope::try_from(Envelope::from(&corrupted));
        prop_assert!(decoded.is_ok() == (text == other));
    }
}
