//! Conversion of members to and from their wire type.

use agatemill_core::number::Incarnation;
use agatemill_membership::Member;
use agatemill_membership::Profile;
use agatemill_membership::Service;
use agatemill_membership::State;

/// Newtype for conversions between the two member types. Both are from other crates, so the orphan rule
/// forbids direct `From` implementations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record(pub Member);

impl From<Record> for agatemill_wire::Member {
    fn from(Record(member): Record) -> Self {
        Self {
            host: member.host,
            zone: member.profile.zone,
            run: member.run,
            incarnation: member.incarnation.0,
            revision: member.revision,
            control: member.profile.control,
            gossip: member.profile.gossip,
            entry: member.profile.entry,
            service: match member.profile.service {
                Service::Absent => agatemill_wire::member::Service::Absent,
                Service::Ready => agatemill_wire::member::Service::Ready,
                Service::Draining => agatemill_wire::member::Service::Draining,
            },
            state: match member.state {
                State::Alive => agatemill_wire::member::State::Alive,
                State::Suspect => agatemill_wire::member::State::Suspect,
                State::Dead => agatemill_wire::member::State::Dead,
                State::Left => agatemill_wire::member::State::Left,
            },
        }
    }
}

impl From<agatemill_wire::Member> for Record {
    fn from(member: agatemill_wire::Member) -> Self {
        Self(Member {
            host: member.host,
            run: member.run,
            incarnation: Incarnation(member.incarnation),
            state: match member.state {
                agatemill_wire::member::State::Alive => State::Alive,
                agatemill_wire::member::State::Suspect => State::Suspect,
                agatemill_wire::member::State::Dead => State::Dead,
                agatemill_wire::member::State::Left => State::Left,
            },
            revision: member.revision,
            profile: Profile {
                zone: member.zone,
                control: member.control,
                gossip: member.gossip,
                entry: member.entry,
                service: match member.service {
                    agatemill_wire::member::Service::Absent => Service::Absent,
                    agatemill_wire::member::Service::Ready => Service::Ready,
                    agatemill_wire::member::Service::Draining => Service::Draining,
                },
            },
        })
    }
}

/// Converts members for the wire.
pub fn to_wire<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<agatemill_wire::Member> {
    members
        .map(|member| Record(member.clone()).into())
        .collect()
}

/// Converts members from the wire.
#[must_use]
pub fn from_wire(members: Vec<agatemill_wire::Member>) -> Vec<Member> {
    members
        .into_iter()
        .map(|member| Record::from(member).0)
        .collect()
}
