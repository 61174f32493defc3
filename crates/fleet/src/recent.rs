//! Set that forgets its oldest members.

use core::hash::Hash;
use core::time::Duration;
use std::collections::HashSet;

/// A set that keeps its recent members in two generations. When the young one is full or old, it replaces the other.
///
/// Invariant: at most `2 * capacity` members, none of which was inserted longer than `2 * lifetime` ago.
#[derive(Clone, Debug)]
pub struct Recent<T> {
    capacity: usize,
    lifetime: Duration,
    young: HashSet<T>,
    old: HashSet<T>,
    /// Start of the young generation.
    since: Duration,
}

impl<T: Copy + Eq + Hash> Recent<T> {
    /// Creates an empty set whose generations hold `capacity` members for `lifetime`.
    #[must_use]
    pub fn new(capacity: usize, lifetime: Duration) -> Self {
        Self {
            capacity,
            lifetime,
            young: HashSet::new(),
            old: HashSet::new(),
            since: Duration::ZERO,
        }
    }

    /// Adds or refreshes a member.
    pub fn insert(&mut self, member: T, now: Duration) {
        let age = now.saturating_sub(self.since);
        if age >= self.lifetime || self.young.len() >= self.capacity {
            let young = core::mem::take(&mut self.young);
            self.old = if age < self.lifetime * 2 {
                young
            } else {
                HashSet::new()
            };
            self.since = now;
        }
        self.young.insert(member);
    }

    /// Whether the set has a member.
    #[must_use]
    pub fn contains(&self, member: &T, now: Duration) -> bool {
        let age = now.saturating_sub(self.since);
        (age < self.lifetime * 2 && self.young.contains(member))
            || (age < self.lifetime && self.old.contains(member))
    }
}
