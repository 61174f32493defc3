//! RPC client for following the store through another host.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::io;
use std::time::Instant;

use async_compat::CompatExt;
use tarpc::client::Config;
use tarpc::client::NewClient;

use crate::supervise;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Item;
use agatemill_core::number::Era;
use agatemill_core::number::Revision;
use agatemill_fleet::history::Cursor;
use agatemill_fleet::upstream::timing::Timing;
use agatemill_metrics::Registry;
use agatemill_platform::Lease;
use agatemill_wire::feed;
use agatemill_wire::feed::FeedClient;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

/// Connection to the host that is followed.
#[derive(Debug)]
pub struct Remote {
    /// Address of the host.
    pub address: SocketAddrV4,
    client: FeedClient,
    timing: Timing,
}

/// Response of the followed host.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Changes in order; some may be known already.
    pub changes: Vec<Change>,
    /// Whether the changes are all items of the store instead.
    pub is_whole: bool,
    /// State up to which the changes are complete.
    pub cursor: Cursor,
    /// Age of the followed host's view when it responded.
    pub age: Duration,
    /// Remaining time for which deleted entries are kept.
    pub deletion_grace: Duration,
}

impl Remote {
    /// Connects to a host.
    ///
    /// # Errors
    ///
    /// Any error of the connection.
    pub async fn open(
        address: SocketAddrV4,
        timing: Timing,
        metrics: &Registry,
    ) -> io::Result<Self> {
        let connecting = transport::connect(address.into(), Service::Feed);
        let transport = agatemill_runtime::timeout(timing.connect_timeout(), connecting).await;
        let transport = transport.ok_or(io::ErrorKind::TimedOut)??;
        let NewClient { client, dispatch } = FeedClient::new(Config::default(), transport);
        let logged = async move {
            if let Err(error) = dispatch.compat().await {
                log::debug!(error:%; "feed: connection to another host failed");
            }
        };
        let metrics = metrics.clone();
        let task = async move { supervise::contain(&metrics, "feed-client", logged).await };
        agatemill_runtime::spawn(task).detach();
        Ok(Self {
            address,
            client,
            timing,
        })
    }

    /// Returns the changes after a state, given the latest era that is known; `None` if the host does not have them: at once, or after the wait if it is
    /// the last resort.
    ///
    /// # Errors
    ///
    /// `TimedOut` or `ConnectionAborted` if the host does not respond.
    pub async fn changes(
        &self,
        after: Cursor,
        era: Era,
        is_last_resort: bool,
    ) -> io::Result<Option<Batch>> {
        let wait = self.timing.feed_wait();
        let limit = wait + self.timing.response_timeout();
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + limit;
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let call = self.client.changes(
            context,
            super::to_wire(after),
            era.0,
            wait_ms,
            is_last_resort,
        );
        let result = agatemill_runtime::timeout(limit, call.compat()).await;
        let result = result.ok_or(io::ErrorKind::TimedOut)?;
        let batch =
            result.map_err(|error| io::Error::new(io::ErrorKind::ConnectionAborted, error))?;
        Ok(batch.map(Batch::from))
    }
}

impl Remote {
    /// The configuration of the host, if its version is later than `version`.
    ///
    /// # Errors
    ///
    /// As [`Remote::changes`].
    pub async fn configuration(&self, version: u64) -> io::Result<Option<Item>> {
        let limit = self.timing.response_timeout();
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + limit;
        let call = self.client.configuration(context, version);
        let result = agatemill_runtime::timeout(limit, call.compat()).await;
        let result = result.ok_or(io::ErrorKind::TimedOut)?;
        let change =
            result.map_err(|error| io::Error::new(io::ErrorKind::ConnectionAborted, error))?;
        Ok(change.map(from_wire).and_then(Change::into_item))
    }
}

impl From<feed::Batch> for Batch {
    fn from(batch: feed::Batch) -> Self {
        Self {
            changes: batch.changes.into_iter().map(from_wire).collect(),
            is_whole: batch.is_whole,
            cursor: super::from_wire(batch.cursor),
            age: Duration::from_millis(batch.age_ms.into()),
            deletion_grace: Duration::from_millis(batch.lenient_ms.into()),
        }
    }
}

fn from_wire(change: feed::Change) -> Change {
    let key = change.key;
    match change.item {
        Some(item) => Change::Put(Item {
            key,
            value: item.value.into_vec(),
            revision: Revision(item.revision),
            created: Revision(item.created),
            lease: Lease(item.lease),
        }),
        None => Change::Deleted { key },
    }
}
