//! Keys, revisions and history.

use core::ops::Bound;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::platform::leases::Leases;

/// Number of changes that watches can go back over.
pub const HISTORY: usize = 1024;

/// The content of the service.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Revision of the last change.
    pub revision: u64,
    /// Leases.
    pub leases: Leases,
    /// The last [`HISTORY`] changes.
    pub history: VecDeque<Event>,
    /// Highest revision whose changes may be missing from the history.
    pub compacted: u64,
    keys: BTreeMap<Vec<u8>, Record>,
}

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the creation.
    pub created: u64,
    /// Revision of the last change.
    pub modified: u64,
    /// Lease of the key; 0 means none.
    pub lease: i64,
}

/// A value to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// Lease of the key; 0 means none.
    pub lease: i64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Revision of the change.
    pub revision: u64,
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` when the key was deleted.
    pub record: Option<Record>,
}

/// A set of keys, as a range request states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// First key.
    pub first: Vec<u8>,
    /// Key after the last; empty for the first key alone, one zero byte for all that follow.
    pub end: Vec<u8>,
}

impl Store {
    /// Reads a key.
    #[must_use]
    pub fn get(&self, key: &[u8]) -> Option<&Record> {
        self.keys.get(key)
    }

    /// Reads keys in order.
    pub fn range(&self, keys: &Keys) -> impl Iterator<Item = (&Vec<u8>, &Record)> {
        let from = Bound::Included(keys.first.clone());
        let entries = self.keys.range((from, Bound::Unbounded));
        entries.take_while(|(key, _)| keys.contains(key))
    }

    /// All keys, for tests that must see them while faults are in force.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let text = |key: &Vec<u8>| String::from_utf8_lossy(key).into_owned();
        self.keys.keys().map(text).collect()
    }

    /// Revision of the last change of a key; 0 when it is absent.
    #[must_use]
    pub fn modified(&self, key: &[u8]) -> u64 {
        self.get(key).map_or(0, |record| record.modified)
    }

    /// Writes keys under one new revision.
    pub fn put(&mut self, writes: Vec<Write>) {
        if writes.is_empty() {
            return;
        }
        self.revision += 1;
        for write in writes {
            let Write { key, value, lease } = write;
            let created = self.get(&key).map_or(self.revision, |old| old.created);
            let record = Record {
                value,
                created,
                modified: self.revision,
                lease,
            };
            self.keys.insert(key.clone(), record.clone());
            self.remember(key, Some(record));
        }
    }

    /// Ends a lease and deletes its keys; `false` when it has ended before.
    pub fn revoke(&mut self, lease: i64) -> bool {
        let revoked = self.leases.revoke(lease);
        self.delete_of(&[lease]);
        revoked
    }

    /// Ends the leases whose time has passed and deletes their keys.
    pub fn expire(&mut self, now: Duration) {
        let ended = self.leases.expire(now);
        self.delete_of(&ended);
    }

    /// Ends all leases and deletes their keys.
    pub fn drop_leases(&mut self) {
        let ended = self.leases.drain();
        self.delete_of(&ended);
    }

    fn delete_of(&mut self, leases: &[i64]) {
        if leases.is_empty() {
            return;
        }
        let held = |record: &Record| leases.contains(&record.lease);
        let gone = self.keys.extract_if(.., |_, record| held(record));
        let gone: Vec<_> = gone.map(|(key, _)| key).collect();
        if gone.is_empty() {
            return;
        }
        self.revision += 1;
        for key in gone {
            self.remember(key, None);
        }
    }

    fn remember(&mut self, key: Vec<u8>, record: Option<Record>) {
        let revision = self.revision;
        self.history.push_back(Event {
            revision,
            key,
            record,
        });
        if self.history.len() > HISTORY {
            let dropped = self.history.pop_front();
            self.compacted = dropped.map_or(self.compacted, |event| event.revision);
        }
    }
}

impl Keys {
    /// Whether a key is one of them.
    #[must_use]
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.first,
            [0] => key >= self.first.as_slice(),
            end => key >= self.first.as_slice() && key < end,
        }
    }
}
