//! Calls to a host that this one follows.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::io;
use std::time::Instant;

use async_compat::CompatExt;
use tarpc::client::Config;
use tarpc::client::NewClient;

use agatemill_adapter::store::Change;
use agatemill_adapter::store::Item;
use agatemill_core::number::Revision;
use agatemill_wire::feed;
use agatemill_wire::feed::FeedClient;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

/// Longest time for opening a connection within a region, and for an answer beyond its wait.
const RPC_TIMEOUT: Duration = Duration::from_millis(400);

/// The connection to a host that this one follows.
#[derive(Debug)]
pub struct Remote {
    /// Its address.
    pub address: SocketAddrV4,
    client: FeedClient,
}

/// What the other host says.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Changes in order; some may be known.
    pub changes: Vec<Change>,
    /// Revision up to which they are whole.
    pub revision: Revision,
    /// Age of the other host's view when it answered.
    pub age: Duration,
    /// How long deleted keys are still kept.
    pub deletion_grace: Duration,
}

impl Remote {
    /// Connects to a host.
    ///
    /// # Errors
    ///
    /// Any error of the connection.
    pub async fn open(address: SocketAddrV4) -> io::Result<Self> {
        let connecting = transport::connect(address.into(), Service::Feed);
        let transport = agatemill_runtime::timeout(RPC_TIMEOUT, connecting).await;
        let transport = transport.ok_or(io::ErrorKind::TimedOut)??;
        let NewClient { client, dispatch } = FeedClient::new(Config::default(), transport);
        let logged = async move {
            if let Err(error) = dispatch.compat().await {
                log::debug!(error:%; "feed: connection to another host ended");
            }
        };
        agatemill_runtime::spawn(logged).detach();
        Ok(Self { address, client })
    }

    /// Changes after a revision; `None` when the host does not know them.
    ///
    /// # Errors
    ///
    /// `TimedOut` and `ConnectionAborted`, when it does not answer.
    pub async fn changes(&self, after: Revision, wait: Duration) -> io::Result<Option<Batch>> {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + wait + RPC_TIMEOUT;
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let call = self.client.changes(context, after.0, wait_ms);
        let answer = agatemill_runtime::timeout(wait + RPC_TIMEOUT, call.compat()).await;
        let answer = answer.ok_or(io::ErrorKind::TimedOut)?;
        let batch =
            answer.map_err(|error| io::Error::new(io::ErrorKind::ConnectionAborted, error))?;
        Ok(batch.map(Batch::from))
    }
}

impl From<feed::Batch> for Batch {
    fn from(batch: feed::Batch) -> Self {
        Self {
            changes: batch.changes.into_iter().map(from_wire).collect(),
            revision: Revision(batch.revision),
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
        }),
        None => Change::Deleted { key },
    }
}
