//! Watches.

use bytes::Bytes;
use futures::Stream;
use futures::stream;
use serde::Serialize;
use smol::channel::Receiver;

use crate::platform::Shared;
use crate::platform::gateway::Answer;
use crate::platform::gateway::header;
use crate::platform::gateway::key_value;
use crate::platform::gateway::keys;
use crate::platform::gateway::number;
use crate::platform::lock;
use crate::platform::store::Event;
use crate::platform::store::Keys;
use crate::platform::store::Store;
use agatemill_platform::gateway;

/// One watch of a caller.
#[derive(Debug)]
pub struct Watcher {
    state: Shared,
    changed: Receiver<()>,
    keys: Keys,
    /// Next revision to report.
    next: u64,
    progress: Progress,
}

/// How far a watch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    New,
    Open,
    Ended,
}

impl Watcher {
    /// Opens a watch.
    ///
    /// # Errors
    ///
    /// An error body when the request makes no sense.
    pub fn open(state: Shared, request: &gateway::WatchCreate) -> Answer<Self> {
        let keys = keys(&request.key, &request.range_end)?;
        let mut locked = lock(&state);
        let next = match number(&request.start_revision)? {
            0 => locked.store.revision + 1,
            start => start,
        };
        let changed = locked.watch();
        drop(locked);
        Ok(Self {
            state,
            changed,
            keys,
            next,
            progress: Progress::New,
        })
    }

    /// The lines of the answer. The stream ends when the service ends the watch.
    pub fn lines(self) -> impl Stream<Item = Bytes> {
        stream::unfold(self, |mut watcher| async {
            let line = watcher.line().await?;
            Some((line, watcher))
        })
    }

    async fn line(&mut self) -> Option<Bytes> {
        loop {
            if self.progress == Progress::Ended {
                return None;
            }
            if let Some(answer) = self.answer() {
                return Some(encode(answer));
            }
            self.changed.recv().await.ok()?;
        }
    }

    /// What there is to report now.
    fn answer(&mut self) -> Option<gateway::WatchAnswer> {
        let state = lock(&self.state);
        let store = &state.store;
        let mut answer = gateway::WatchAnswer {
            header: header(store),
            ..Default::default()
        };
        if self.progress == Progress::New {
            self.progress = Progress::Open;
            answer.created = true;
            return Some(answer);
        }
        if self.next <= store.compacted {
            self.progress = Progress::Ended;
            answer.canceled = true;
            answer.compact_revision = store.compacted.to_string();
            return Some(answer);
        }
        answer.events = events(store, &self.keys, self.next);
        self.next = self.next.max(store.revision + 1);
        (!answer.events.is_empty()).then_some(answer)
    }
}

fn events(store: &Store, keys: &Keys, from: u64) -> Vec<gateway::WatchEvent> {
    let wanted = |event: &&Event| event.revision >= from && keys.contains(&event.key);
    store.history.iter().filter(wanted).map(event).collect()
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
