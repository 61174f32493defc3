//! Membership records, and the rule that merges two records of a host.

use core::net::SocketAddr;

use agatemill_core::id;
use agatemill_core::number::Incarnation;

/// Membership record of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// Identifies one run of the process; a record of a higher run replaces all records of lower runs.
    pub run: u64,
    /// Incremented by the member to refute a suspicion.
    pub incarnation: Incarnation,
    /// State that the failure detector assigns to the member.
    pub state: State,
    /// Incremented by the member with each change of `profile`.
    pub revision: u64,
    /// Properties that the member publishes.
    pub profile: Profile,
}

/// Properties that a member publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Profile {
    /// Zone of the host.
    pub zone: id::Zone,
    /// Address on which its control accepts calls.
    pub control: SocketAddr,
    /// Address on which its control receives datagrams.
    pub gossip: SocketAddr,
    /// Address on which its entry accepts callers, if an entry runs.
    pub entry: Option<SocketAddr>,
    /// Availability of its entry.
    pub service: Service,
}

/// Availability of an entry to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// No entry runs, or it is not ready.
    #[default]
    Absent,
    /// The entry serves callers.
    Ready,
    /// The entry completes its requests and accepts no new callers.
    Draining,
}

/// State of a member; within an incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The member responds to probes.
    #[default]
    Alive,
    /// The member did not respond to a probe and may refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl State {
    /// Whether the member still participates: it is alive or suspected.
    #[must_use]
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

impl Member {
    /// Merges two records of the same host.
    ///
    /// The higher run wins as a whole. Within a run, the state with the higher incarnation and the
    /// profile with the higher revision win independently, so the result does not depend on the order
    /// in which records arrive.
    #[must_use]
    pub fn merge(&self, other: &Self) -> Self {
        debug_assert_eq!(self.host, other.host);
        if self.run != other.run {
            let newer = if self.run > other.run { self } else { other };
            return newer.clone();
        }
        let standing = if self.standing() >= other.standing() {
            self
        } else {
            other
        };
        let described = if self.description() >= other.description() {
            self
        } else {
            other
        };
        Self {
            state: standing.state,
            incarnation: standing.incarnation,
            ..described.clone()
        }
    }

    /// Ordering key of the states within a run.
    #[must_use]
    pub fn standing(&self) -> (Incarnation, State) {
        (self.incarnation, self.state)
    }

    /// Ordering key of the profiles within a run. The profile itself breaks ties between equal revisions, so that the
    /// merge stays commutative; a correct member never sends different profiles with equal revisions.
    fn description(&self) -> (u64, &Profile) {
        (self.revision, &self.profile)
    }
}
