//! What is known of a host, and how two such records are merged.

use core::net::SocketAddr;

use agatemill_core::id;
use agatemill_core::number::Incarnation;

/// What is known of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// Identifies one run of the process; a higher run replaces everything known of lower ones.
    pub run: u64,
    /// Raised by the member to refute a suspicion.
    pub incarnation: Incarnation,
    /// Whether it is thought to be alive.
    pub state: State,
    /// Raised by the member with each change of `profile`.
    pub revision: u64,
    /// What the member says of itself.
    pub profile: Profile,
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Profile {
    /// Zone of the host.
    pub zone: id::Zone,
    /// Where its control takes calls.
    pub control: SocketAddr,
    /// Where its control takes datagrams.
    pub gossip: SocketAddr,
    /// Where its entry takes callers, if it runs.
    pub entry: Option<SocketAddr>,
    /// What callers may expect of its entry.
    pub service: Service,
}

/// What callers may expect of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// No entry runs, or it is not ready.
    #[default]
    Absent,
    /// The entry serves callers.
    Ready,
    /// The entry finishes its requests and takes no new callers.
    Draining,
}

/// Whether a member is thought to be alive; a later state beats an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    #[default]
    Alive,
    /// It did not answer and may refute this.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It has said that it leaves.
    Left,
}

impl State {
    /// Whether the member still takes part: it is alive or suspected.
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

    /// Orders the states of one run.
    #[must_use]
    pub fn standing(&self) -> (Incarnation, State) {
        (self.incarnation, self.state)
    }

    /// Orders the profiles of one run. The profile itself decides between equal revisions, which a
    /// correct member never sends, so that the merge stays commutative all the same.
    fn description(&self) -> (u64, &Profile) {
        (self.revision, &self.profile)
    }
}
