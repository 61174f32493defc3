//! Shares that are held, and the decisions on new ones.

use core::fmt;
use core::mem;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::account::Denial;
use crate::account::MIN_AGE;
use crate::account::Owner;
use crate::account::Plan;
use crate::account::SMALL_BYTES;
use crate::account::denial::Reason;

/// The last part of the large bytes, as a divisor, which only owners with less than an equal share may take.
const LAST_PART: usize = 4;

/// Fewest owners among which the large bytes are thought to be divided, so that one alone leaves room for another.
const MIN_OWNERS: usize = 2;

/// Identifies a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// All shares of an account.
#[derive(Debug)]
pub struct Ledger {
    plan: Plan,
    entries: BTreeMap<Ticket, Entry>,
    /// Bytes of the entries that are held in the small part.
    small: usize,
    /// Bytes of the other entries.
    large: usize,
    /// Bytes of the entries that are being ended. Invariant: included in `large`.
    ending: usize,
    /// Bytes by owner. Invariant: the sums over the large entries, without zeros.
    owners: HashMap<Owner, usize>,
    /// Number of tickets given out.
    tickets: u64,
}

struct Entry {
    bytes: usize,
    is_small: bool,
    owners: Vec<Owner>,
    opened: Duration,
    received: usize,
    is_complete: bool,
    is_ending: bool,
    on_end: Option<Box<dyn FnOnce() + Send>>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("bytes", &self.bytes)
            .field("is_small", &self.is_small)
            .field("owners", &self.owners)
            .field("opened", &self.opened)
            .field("received", &self.received)
            .field("is_complete", &self.is_complete)
            .field("is_ending", &self.is_ending)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Bytes a second that have arrived.
    fn rate(&self, now: Duration) -> u128 {
        let ms = now.saturating_sub(self.opened).as_millis().max(1);
        self.received as u128 * 1_000 / ms
    }

    /// Whether the share belongs to one of the owners, or none are given.
    fn is_of(&self, owners: Option<&[Owner]>) -> bool {
        owners.is_none_or(|owners| self.owners.iter().any(|owner| owners.contains(owner)))
    }

    fn may_be_ended(&self, now: Duration) -> bool {
        let is_old = now.saturating_sub(self.opened) >= MIN_AGE;
        is_old && !self.is_small && !self.is_complete && !self.is_ending
    }
}

impl Ledger {
    /// Creates a ledger without shares.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        Self {
            plan,
            entries: BTreeMap::new(),
            small: 0,
            large: 0,
            ending: 0,
            owners: HashMap::new(),
            tickets: 0,
        }
    }

    /// Changes the sizes of the parts.
    pub fn set_plan(&mut self, plan: Plan) {
        self.plan = plan;
    }

    /// Bytes of all shares.
    #[must_use]
    pub fn held(&self) -> usize {
        self.small + self.large
    }

    /// Takes a share.
    ///
    /// # Errors
    ///
    /// As [`super::Account::open`].
    pub fn open(
        &mut self,
        bytes: usize,
        owners: Vec<Owner>,
        now: Duration,
        on_end: Box<dyn FnOnce() + Send>,
    ) -> Result<Ticket, Denial> {
        let is_small = bytes <= SMALL_BYTES && self.small + bytes <= self.plan.small;
        if is_small {
            self.small += bytes;
        } else {
            self.admit(bytes, 0, &owners, now)?;
            self.add_large(bytes, &owners);
        }
        let entry = Entry {
            bytes,
            is_small,
            owners,
            opened: now,
            received: 0,
            is_complete: false,
            is_ending: false,
            on_end: Some(on_end),
        };
        let ticket = Ticket(self.tickets);
        self.tickets += 1;
        self.entries.insert(ticket, entry);
        Ok(ticket)
    }

    /// Enlarges a share.
    ///
    /// # Errors
    ///
    /// As [`super::Share::grow`].
    pub fn grow(&mut self, ticket: Ticket, bytes: usize, now: Duration) -> Result<(), Denial> {
        let Some(entry) = self.entries.get(&ticket) else {
            return Ok(());
        };
        let (before, is_small) = (entry.bytes, entry.is_small);
        if bytes <= before {
            return Ok(());
        }
        let owners = entry.owners.clone();
        let held = if is_small { 0 } else { before };
        let stays_small =
            is_small && bytes <= SMALL_BYTES && self.small + bytes - before <= self.plan.small;
        if stays_small {
            self.small += bytes - before;
        } else {
            self.admit(bytes - held, held, &owners, now)?;
            self.add_large(bytes - held, &owners);
            if is_small {
                self.small -= before;
            }
        }
        if let Some(entry) = self.entries.get_mut(&ticket) {
            if entry.is_ending {
                self.ending += bytes - held;
            }
            entry.bytes = bytes;
            entry.is_small = stays_small;
        }
        Ok(())
    }

    /// Records the bytes of a body that have been read.
    pub fn record(&mut self, ticket: Ticket, received: usize) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.received = received;
        }
    }

    /// Records that a body is complete.
    pub fn complete(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.is_complete = true;
            entry.on_end = None;
        }
    }

    /// Whether a body is to be ended.
    #[must_use]
    pub fn is_ended(&self, ticket: Ticket) -> bool {
        self.entries
            .get(&ticket)
            .is_some_and(|entry| entry.is_ending)
    }

    /// Returns a share.
    pub fn close(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.remove(&ticket) else {
            return;
        };
        if entry.is_small {
            self.small -= entry.bytes;
            return;
        }
        self.large -= entry.bytes;
        if entry.is_ending {
            self.ending -= entry.bytes;
        }
        for owner in &entry.owners {
            if let Some(held) = self.owners.get_mut(owner) {
                *held -= entry.bytes;
                if *held == 0 {
                    self.owners.remove(owner);
                }
            }
        }
    }

    fn add_large(&mut self, bytes: usize, owners: &[Owner]) {
        self.large += bytes;
        for owner in owners {
            *self.owners.entry(owner.clone()).or_default() += bytes;
        }
    }

    /// Decides whether `bytes` fit into the large part, and ends other bodies if they do not. `own` bytes are already held by
    /// the share that asks.
    fn admit(
        &mut self,
        bytes: usize,
        own: usize,
        owners: &[Owner],
        now: Duration,
    ) -> Result<(), Denial> {
        let limit = self.plan.large;
        let held_by = |owner| self.owners.get(owner).copied().unwrap_or_default();
        let owned = owners.iter().map(held_by).max().unwrap_or_default();
        let denial = |reason, is_making_room| Denial {
            reason,
            wanted: bytes,
            held: self.large,
            limit,
            owned,
            is_making_room,
        };
        if self.large + bytes > limit {
            let missing = self.large + bytes - limit;
            let full = denial(Reason::Full, false);
            let is_making_room = bytes + own <= limit && self.end_slowest(missing, now, None);
            return Err(Denial {
                is_making_room,
                ..full
            });
        }
        let plenty = limit - limit / LAST_PART;
        let is_scarce = self.large + bytes > plenty;
        // An owner that holds nothing else always gets the bytes that are free.
        let is_alone = owned == own;
        let is_over = |owner| held_by(owner) + bytes > limit / self.count_alike(owner);
        if is_scarce && !is_alone && owners.iter().any(is_over) {
            let missing = self.large + bytes - plenty;
            let over = denial(Reason::Owner, false);
            let is_making_room = self.end_slowest(missing, now, Some(owners));
            return Err(Denial {
                is_making_room,
                ..over
            });
        }
        Ok(())
    }

    /// Number of owners of the same kind that hold bytes.
    fn count_alike(&self, owner: &Owner) -> usize {
        let is_alike = |other: &&Owner| mem::discriminant(*other) == mem::discriminant(owner);
        self.owners.keys().filter(is_alike).count().max(MIN_OWNERS)
    }

    /// Ends the slowest incomplete bodies, only those of `owners` if given, until `missing` bytes are being returned. Returns
    /// whether that many are; otherwise none is ended.
    fn end_slowest(&mut self, missing: usize, now: Duration, owners: Option<&[Owner]>) -> bool {
        let mut found = self.ending;
        if found >= missing {
            return true;
        }
        let entries = self.entries.iter();
        let mut candidates: Vec<(u128, Duration, Ticket, usize)> = entries
            .filter(|(_, entry)| entry.may_be_ended(now) && entry.is_of(owners))
            .map(|(ticket, entry)| (entry.rate(now), entry.opened, *ticket, entry.bytes))
            .collect();
        candidates.sort_unstable();
        let is_enough = |(_, _, _, bytes): &(u128, Duration, Ticket, usize)| {
            found += bytes;
            found >= missing
        };
        let Some(last) = candidates.iter().position(is_enough) else {
            return false;
        };
        for (_, _, ticket, bytes) in &candidates[..=last] {
            if let Some(entry) = self.entries.get_mut(ticket) {
                entry.is_ending = true;
                self.ending += bytes;
                if let Some(on_end) = entry.on_end.take() {
                    on_end();
                }
            }
        }
        true
    }
}
