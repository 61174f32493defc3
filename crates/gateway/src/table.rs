//! Decides which connections of a listener are closed to make room for others.
//!
//! Addresses the load of callers that open many connections and send nothing, half a head, or a head byte by byte. Connections
//! with a request are never closed: they are bounded by the deadlines of their requests.

pub mod phase;

use core::net::IpAddr;
use core::time::Duration;
use std::collections::BTreeSet;
use std::collections::HashMap;

pub use phase::Phase;

/// Number of a connection of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// Divisor of the size of a table that gives the maximum number of connections of one address. An ordinary caller has some
/// dozens; half of the smallest machine's table is 624.
const ADDRESS_DIVISOR: usize = 2;

/// What has to be done before a new connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// Nothing: there is room.
    Free,
    /// Close another connection.
    Close(Id),
    /// Wait until another connection has been closed.
    Wait,
    /// Close the new connection: all others of its address have requests, and take the share of one address.
    Refuse,
}

/// The connections of a listener.
#[derive(Clone, Debug)]
pub struct Table {
    max: usize,
    next: u64,
    connections: HashMap<Id, Entry>,
    /// Connections of each address. Invariant: none is empty.
    addresses: HashMap<IpAddr, Group>,
    /// Connections that may be closed, in the order in which they are. Invariant: the union of those of `addresses`.
    closable: BTreeSet<Rank>,
    /// Number of connections that are being closed.
    closing: usize,
}

/// Place in the order in which connections are closed.
type Rank = (Phase, Duration, Id);

#[derive(Clone, Copy, Debug)]
struct Entry {
    address: IpAddr,
    phase: Phase,
    /// When the phase began.
    since: Duration,
    is_closing: bool,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// Number of connections that are not being closed.
    staying: usize,
    closing: usize,
    closable: BTreeSet<Rank>,
}

impl Table {
    /// Creates an empty table for at most `max` connections.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            next: 0,
            connections: HashMap::new(),
            addresses: HashMap::new(),
            closable: BTreeSet::new(),
            closing: 0,
        }
    }

    /// Number of connections, including those that are being closed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Sets the maximum number of connections. Those above it are closed as new ones arrive.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Adds a new connection, which is idle. It may be served when [`Table::make_room`] returns [`Room::Free`].
    pub fn open(&mut self, address: IpAddr, now: Duration) -> Id {
        let id = Id(self.next);
        self.next += 1;
        let entry = Entry {
            address,
            phase: Phase::Idle,
            since: now,
            is_closing: false,
        };
        self.connections.insert(id, entry);
        self.addresses.entry(address).or_default().staying += 1;
        self.list(id, entry);
        id
    }

    /// Decides what has to be done before the new connection `id` is served.
    #[must_use]
    pub fn make_room(&mut self, id: Id) -> Room {
        let Some(entry) = self.connections.get(&id).copied() else {
            return Room::Refuse;
        };
        let max_of_address = (self.max / ADDRESS_DIVISOR).max(1);
        let group = &self.addresses[&entry.address];
        if group.staying > max_of_address {
            return match first_other(&group.closable, id) {
                Some(victim) => self.begin_closing(victim),
                None => Room::Refuse,
            };
        }
        if self.connections.len() - self.closing > self.max {
            return match first_other(&self.closable, id) {
                Some(victim) => self.begin_closing(victim),
                None => Room::Wait,
            };
        }
        if self.connections.len() > self.max {
            Room::Wait
        } else {
            Room::Free
        }
    }

    /// Records that a connection is in another phase. One on which a request has begun is no longer being closed.
    pub fn set_phase(&mut self, id: Id, phase: Phase, now: Duration) {
        let Some(mut entry) = self.connections.get(&id).copied() else {
            return;
        };
        self.unlist(id, entry);
        if entry.is_closing && phase == Phase::Busy {
            entry.is_closing = false;
            self.closing -= 1;
            let group = self.addresses.entry(entry.address).or_default();
            group.closing -= 1;
            group.staying += 1;
        }
        entry.phase = phase;
        entry.since = now;
        self.connections.insert(id, entry);
        self.list(id, entry);
    }

    /// Phase of a connection and when it began.
    #[must_use]
    pub fn phase(&self, id: Id) -> Option<(Phase, Duration)> {
        let entry = self.connections.get(&id)?;
        Some((entry.phase, entry.since))
    }

    /// Whether a connection is to be closed.
    #[must_use]
    pub fn is_closing(&self, id: Id) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|entry| entry.is_closing)
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: Id) {
        let Some(entry) = self.connections.get(&id).copied() else {
            return;
        };
        self.unlist(id, entry);
        self.connections.remove(&id);
        let group = self.addresses.entry(entry.address).or_default();
        if entry.is_closing {
            self.closing -= 1;
            group.closing -= 1;
        } else {
            group.staying -= 1;
        }
        if group.staying + group.closing == 0 {
            self.addresses.remove(&entry.address);
        }
    }

    fn begin_closing(&mut self, id: Id) -> Room {
        let Some(mut entry) = self.connections.get(&id).copied() else {
            return Room::Wait;
        };
        self.unlist(id, entry);
        entry.is_closing = true;
        self.connections.insert(id, entry);
        self.closing += 1;
        let group = self.addresses.entry(entry.address).or_default();
        group.staying -= 1;
        group.closing += 1;
        Room::Close(id)
    }

    fn list(&mut self, id: Id, entry: Entry) {
        if entry.phase == Phase::Busy || entry.is_closing {
            return;
        }
        let rank = (entry.phase, entry.since, id);
        self.closable.insert(rank);
        let group = self.addresses.entry(entry.address).or_default();
        group.closable.insert(rank);
    }

    fn unlist(&mut self, id: Id, entry: Entry) {
        let rank = (entry.phase, entry.since, id);
        self.closable.remove(&rank);
        if let Some(group) = self.addresses.get_mut(&entry.address) {
            group.closable.remove(&rank);
        }
    }
}

/// The first connection in the order of closing that is not `id`.
fn first_other(closable: &BTreeSet<Rank>, id: Id) -> Option<Id> {
    let mut others = closable.iter().map(|(_, _, other)| *other);
    others.find(|other| *other != id)
}
