//! Counts of the members that have a generation in force.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;

/// Limit on [`Count::behind`] for one zone; even with the longest names, these members fit into one datagram.
pub const MAX_BEHIND_PER_ZONE: usize = 8;

/// Number of members that have a generation in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The queried generation.
    pub generation: u64,
    /// Members that are alive or suspected.
    pub members: u32,
    /// Members that replied and have this generation or a higher one in force.
    pub in_force: u32,
    /// Highest generation that any member has in force.
    pub highest: u64,
    /// Members that did not reply or have a lower generation in force, at most [`MAX_BEHIND_PER_ZONE`] of
    /// each zone.
    pub behind: Vec<Behind>,
}

/// A member that does not have the generation in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Behind {
    /// Name of the host.
    pub host: id::Host,
    /// Generation that it has in force; `None` when it did not reply.
    pub generation: Option<u64>,
}

impl Count {
    /// Counts members by the generation that each has in force; `None` when a member did not reply.
    #[must_use]
    pub fn of(generation: u64, members: impl Iterator<Item = (id::Host, Option<u64>)>) -> Self {
        let mut count = Self {
            generation,
            ..Self::default()
        };
        for (host, current) in members {
            count.members += 1;
            count.highest = count.highest.max(current.unwrap_or_default());
            if current.is_some_and(|current| current >= generation) {
                count.in_force += 1;
            } else if count.behind.len() < MAX_BEHIND_PER_ZONE {
                count.behind.push(Behind {
                    host,
                    generation: current,
                });
            }
        }
        count
    }

    /// Adds the count of another zone.
    #[must_use]
    pub fn join(mut self, other: Self) -> Self {
        self.members += other.members;
        self.in_force += other.in_force;
        self.highest = self.highest.max(other.highest);
        self.behind.extend(other.behind);
        self
    }

    /// Whether all members have the generation in force.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.in_force >= self.members
    }
}
