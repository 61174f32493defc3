//! Property tests of the merge rule: records may arrive in any order and any number of times.

use core::net::SocketAddr;

use proptest::prelude::*;

use crate::network::member;
use agatemill_core::number::Incarnation;
use agatemill_membership::Member;
use agatemill_membership::State;

#[allow(dead_code)]
mod network;

fn members() -> impl Strategy<Value = Member> {
    let state = prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Dead),
        Just(State::Left),
    ];
    (0..3_u64, 0..3_u64, state, 0..3_u64, 0..3_u16).prop_map(
        |(run, incarnation, state, revision, port)| {
            let mut record = member(0, run);
            record.incarnation = Incarnation(incarnation);
            record.state = state;
            record.revision = revision;
            record.profile.entry = Some(SocketAddr::from(([127, 0, 0, 1], port)));
            record
        },
    )
}

proptest! {
    /// Guards against members that never converge because they received the same records in different orders.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(a in members(), b in members(), c in members()) {
        prop_assert_eq!(a.merge(&a), a.clone());
        prop_assert_eq!(a.merge(&b), b.merge(&a));
        prop_assert_eq!(a.merge(&b).merge(&c), a.merge(&b.merge(&c)));
        prop_assert_eq!(a.merge(&b).merge(&b), a.merge(&b));
    }

    /// Guards against an old record that overrides a newer one.
    #[test]
    fn merge_is_monotonic(a in members(), b in members()) {
        let merged = a.merge(&b);
        prop_assert!(merged.run >= a.run);
        if merged.run == a.run {
            prop_assert!(merged.standing() >= a.standing());
            prop_assert!(merged.revision >= a.revision);
        }
    }
}
