//! Key-value store with revisions and a change history.

use core::ops::Bound;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::platform::leases::Leases;

/// Number of past changes that watches can replay.
pub const MAX_HISTORY_EVENTS: usize = 1024;

/// Content of the service.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Revision of the last change.
    pub revision: u64,
    /// Active leases.
    pub leases: Leases,
    /// The last [`MAX_HISTORY_EVENTS`] changes.
    pub history: VecDeque<Event>,
    /// Highest revision whose changes may be missing from the history.
    pub compacted: u64,
    keys: BTreeMap<Vec<u8>, Record>,
}

/// Value of a key with its metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The value.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: u64,
    /// Revision of the last change.
    pub modified: u64,
    /// Lease of the key; 0 for none.
    pub lease: i64,
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// Lease of the key; 0 for none.
    pub lease: i64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Revision of the change.
    pub revision: u64,
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` if the key was deleted.
    pub record: Option<Record>,
}

/// A range of keys in the representation of range requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// First key.
    pub first: Vec<u8>,
    /// Exclusive end; empty for the first key alone, one zero byte for all keys from the first on.
    pub end: Vec<u8>,
}

impl Store {
    /// Reads a key.
    #[must_use]
    pub fn get(&self, key: &[u8]) -> Option<&Record> {
        self.keys.get(key)
    }

    /// Reads a range of keys in order.
    pub fn range(&self, keys: &Keys) -> impl Iterator<Item = (&Vec<u8>, &Record)> {
        let from = Bound::Included(keys.first.clone());
        let entries = self.keys.range((from, Bound::Unbounded));
        entries.take_while(|(key, _)| keys.contains(key))
    }

    /// All keys, for tests that need them while faults are active.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let text = |key: &Vec<u8>| String::from_utf8_lossy(key).into_owned();
        self.keys.keys().map(text).collect()
    }

    /// Revision of the last change of a key; 0 if it is absent.
    #[must_use]
    pub fn modified(&self, key: &[u8]) -> u64 {
        self.get(key).map_or(0, |record| record.modified)
    }

    /// Writes keys in one new revision.
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
            self.append_event(key, Some(record));
        }
    }

    /// Ends a lease and deletes its keys; returns `false` if it has already ended.
    pub fn revoke(&mut self, lease: i64) -> bool {
        let revoked = self.leases.revoke(lease);
        self.delete_keys_of(&[lease]);
        revoked
    }

    /// Ends the expired leases and deletes their keys.
    pub fn expire(&mut self, now: Duration) {
        let ended = self.leases.expire(now);
        self.delete_keys_of(&ended);
    }

    /// Ends all leases and deletes their keys.
    pub fn drop_leases(&mut self) {
        let ended = self.leases.drain();
        self.delete_keys_of(&ended);
    }

    fn delete_keys_of(&mut self, leases: &[i64]) {
        if leases.is_empty() {
            return;
        }
        let is_leased = |record: &Record| leases.contains(&record.lease);
        let deleted = self.keys.extract_if(.., |_, record| is_leased(record));
        let deleted: Vec<_> = deleted.map(|(key, _)| key).collect();
        if deleted.is_empty() {
            return;
        }
        self.revision += 1;
        for key in deleted {
            self.append_event(key, None);
        }
    }

    fn append_event(&mut self, key: Vec<u8>, record: Option<Record>) {
        let revision = self.revision;
        self.history.push_back(Event {
            revision,
            key,
            record,
        });
        if self.history.len() > MAX_HISTORY_EVENTS {
            let dropped = self.history.pop_front();
            self.compacted = dropped.map_or(self.compacted, |event| event.revision);
        }
    }
}

impl Keys {
    /// Whether a key is in the range.
    #[must_use]
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.first,
            [0] => key >= self.first.as_slice(),
            end => key >= self.first.as_slice() && key < end,
        }
    }
}
