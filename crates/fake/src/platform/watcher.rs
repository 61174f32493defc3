//! Watches.

use bytes::Bytes;
use futures::Stream;
use futures::stream;
use serde::Serialize;
use smol::channel::Receiver;

use crate::platform::Shared;
use crate::platform::gateway::Reply;
use crate::platform::gateway::decode_keys;
use crate::platform::gateway::header;
use crate::platform::gateway::key_value;
use crate::platform::gateway::parse_number;
use crate::platform::lock;
use crate::platform::store::Event;
use crate::platform::store::Keys;
use crate::platform::store::Store;
use agatemill_platform::gateway;

/// A watch of a caller.
#[derive(Debug)]
pub struct Watcher {
    state: Shared,
    changed: Receiver<()>,
    keys: Keys,
    /// Next revision to report.
    next: u64,
    phase: Phase,
}

/// Phase of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    New,
    Open,
    Ended,
}

impl Watcher {
    /// Opens a watch.
    ///
    /// # Errors
    ///
    /// An error body if the request is invalid.
    pub fn open(state: Shared, request: &gateway::WatchCreate) -> Reply<Self> {
        let keys = decode_keys(&request.key, &request.range_end)?;
        let mut locked = lock(&state);
        let next = match parse_number(&request.start_revision)? {
            0 => locked.store.revision + 1,
            start => start,
        };
        let changed = locked.add_watch();
        drop(locked);
        Ok(Self {
            state,
            changed,
            keys,
            next,
            phase: Phase::New,
        })
    }

    /// Lines of the response. The stream ends when the service ends the watch.
    pub fn lines(self) -> impl Stream<Item = Bytes> {
        stream::unfold(self, |mut watcher| async {
            let line = watcher.next_line().await?;
            Some((line, watcher))
        })
    }

    async fn next_line(&mut self) -> Option<Bytes> {
        loop {
            if self.phase == Phase::Ended {
                return None;
            }
            if let Some(response) = self.next_response() {
                return Some(encode(response));
            }
            self.changed.recv().await.ok()?;
        }
    }

    /// The message that is due now, if any.
    fn next_response(&mut self) -> Option<gateway::WatchAnswer> {
        let state = lock(&self.state);
        let store = &state.store;
        let mut response = gateway::WatchAnswer {
            header: header(store),
            ..Default::default()
        };
        if self.phase == Phase::New {
            self.phase = Phase::Open;
            response.created = true;
            return Some(response);
        }
        if self.next <= store.compacted {
            self.phase = Phase::Ended;
            response.canceled = true;
            response.compact_revision = store.compacted.to_string();
            return Some(response);
        }
        response.events = events(store, &self.keys, self.next);
        self.next = self.next.max(store.revision + 1);
        (!response.events.is_empty()).then_some(response)
    }
}

fn events(store: &Store, keys: &Keys, from: u64) -> Vec<gateway::WatchEvent> {
    let is_watched = |event: &&Event| event.revision >= from && keys.contains(&event.key);
    store.history.iter().filter(is_watched).map(event).collect()
}

fn event(event: &Event) -> gateway::WatchEvent {
    match &event.record {
        Some(record) => gateway::WatchEvent {
            kind: String::new(),
            kv: key_value(&event.key, record),
        },
        None => gateway::WatchEvent {
            kind: "DELETE".to_owned(),
            kv: gateway::KeyValue {
                key: gateway::encode(&event.key),
                mod_revision: event.revision.to_string(),
                ..Default::default()
            },
        },
    }
}

fn encode(result: impl Serialize) -> Bytes {
    let line = serde_json::to_vec(&gateway::Line { result });
    let mut line = line.expect("gateway messages are always valid JSON");
    line.push(b'\n');
    line.into()
}
