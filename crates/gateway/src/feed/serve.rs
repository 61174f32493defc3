//! RPC server for hosts that follow the store through this one.

use core::time::Duration;
use std::sync::Arc;

use async_compat::CompatExt;
use futures::StreamExt;
use serde_bytes::ByteBuf;
use smol::net::TcpStream;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;

use super::Update;
use crate::State;
use crate::clock;
use crate::connections::Guard;
use crate::server::Listener;
use crate::supervise;
use crate::table::Phase;
use agatemill_adapter::store::Change;
use agatemill_core::number::Era;
use agatemill_fleet::history::Cursor;
use agatemill_wire::feed;
use agatemill_wire::feed::Feed as _;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

/// Maximum number of requests of a connection in progress: a follower has one for changes and one for the configuration.
const MAX_REQUESTS: usize = 8;

/// Time within which a new connection must name its service.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves followers until the process ends. Their connections end with this future.
pub async fn run(state: Arc<State>, listener: Listener) {
    let accepted = futures::stream::unfold(listener, |listener| async {
        let connection = listener.accept().await;
        Some((connection, listener))
    });
    accepted
        .for_each_concurrent(None, |(stream, guard)| {
            let state = Arc::clone(&state);
            async move {
                let connection = serve(Arc::clone(&state), stream, &guard);
                let connection = smol::future::or(connection, guard.closing());
                supervise::contain(&state.metrics, "feed", connection).await;
            }
        })
        .await;
}

async fn serve(state: Arc<State>, mut stream: TcpStream, guard: &Guard) {
    let service =
        agatemill_runtime::timeout(HANDSHAKE_TIMEOUT, transport::accept(&mut stream)).await;
    let Some(Ok(Service::Feed)) = service else {
        log::debug!("feed: connection did not name a known service");
        return;
    };
    // A follower is closed to make room only after all connections that have named no service.
    guard.set_phase(Phase::Head);
    let channel = BaseChannel::with_defaults(transport::frame_short_requests(stream));
    let channel = channel.max_concurrent_requests(MAX_REQUESTS);
    let requests = channel.execute(Handler { state }.serve());
    requests
        .for_each_concurrent(None, |request| request)
        .compat()
        .await;
}

#[derive(Clone)]
struct Handler {
    state: Arc<State>,
}

impl feed::Feed for Handler {
    async fn changes(
        self,
        _: Context,
        after: feed::Cursor,
        era: u64,
        wait_ms: u32,
        is_last_resort: bool,
    ) -> Option<feed::Batch> {
        let after = super::from_wire(after);
        self.state.learn_era(Era(era));
        let end = agatemill_runtime::now() + Duration::from_millis(wait_ms.into());
        let max_update_age = self.state.settings().bounds.timing().max_update_age();
        loop {
            let notice = self.state.feed.listen();
            let left = end.saturating_sub(agatemill_runtime::now());
            let update_age = self.state.feed.update_age();
            let era = self.state.feed.era();
            let is_restored = era.is_none_or(|era| era < self.state.store.era());
            let update = if update_age > max_update_age || is_restored {
                Update::Unknown
            } else {
                self.state.feed.changes_since(after)
            };
            let wait = match update {
                Update::Since(changes, cursor) => return Some(self.batch(changes, cursor)),
                Update::Whole(items, cursor) => {
                    let items = items.into_iter().map(Change::Put).collect();
                    return Some(feed::Batch {
                        is_whole: true,
                        ..self.batch(items, cursor)
                    });
                }
                Update::None if left.is_zero() => return Some(self.batch(Vec::new(), after)),
                Update::None => {
                    let until_stale =
                        max_update_age.saturating_sub(update_age) + Duration::from_millis(1);
                    left.min(until_stale)
                }
                // A restored store is read again at once.
                Update::Unknown if (is_last_resort || is_restored) && !left.is_zero() => left,
                Update::Unknown => return None,
            };
            agatemill_runtime::timeout(wait, notice).await;
        }
    }

    async fn configuration(self, _: Context, version: u64) -> Option<feed::Change> {
        let view = self.state.view();
        let is_newer = view.configuration.as_ref()?.version > version;
        let item = view.configuration_item.clone().filter(|_| is_newer)?;
        Some(to_wire(Change::Put(item)))
    }
}

impl Handler {
    fn batch(&self, changes: Vec<Change>, cursor: Cursor) -> feed::Batch {
        // Read after the changes: the follower must not consider the view more recent than it is.
        let age = self.state.view().freshness.age(clock::boot_time());
        let age = age.unwrap_or(Duration::MAX);
        let deletion_grace = self.state.view().deletion_grace(agatemill_runtime::now());
        feed::Batch {
            changes: changes.into_iter().map(to_wire).collect(),
            is_whole: false,
            cursor: super::to_wire(cursor),
            age_ms: millis_ceil(age),
            lenient_ms: millis_ceil(deletion_grace),
        }
    }
}

/// Converts to milliseconds, rounding up.
fn millis_ceil(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

fn to_wire(change: Change) -> feed::Change {
    match change {
        Change::Put(item) => feed::Change {
            key: item.key,
            item: Some(feed::Item {
                value: ByteBuf::from(item.value),
                revision: item.revision.0,
                created: item.created.0,
                lease: item.lease.0,
            }),
        },
        Change::Deleted { key } => feed::Change { key, item: None },
    }
}
