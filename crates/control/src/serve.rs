//! tarpc server for the entry, other controls and operators.

use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use async_compat::CompatExt;
use futures::StreamExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;

use crate::shared::Shared;
use agatemill_wire::local::Local as _;
use agatemill_wire::operator::Operator as _;
use agatemill_wire::peer::Peer as _;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

mod local;
mod operator;
mod peer;

/// Pause after an error of the listener, such as too many open files.
const ERROR_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum number of connections of other controls that are served at once; each may hold a message of the largest size. The
/// others wait, without being read.
pub(crate) const MAX_PEERS: usize = 16;

/// Number of call timeouts after which a connection of another control is closed: it opens one for a few calls.
const PEER_CALLS: u32 = 4;

/// Maximum number of requests of a connection in progress: an entry has three.
const MAX_REQUESTS: usize = 8;

/// Timeout for a new connection to name its service.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections and serves each in its own task.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = shared.connections.fetch_add(1, Ordering::Relaxed);
                shared
                    .tasks
                    .spawn(serve(Arc::clone(&shared), stream, connection));
                // Accepting does not wait while connections are at hand.
                smol::future::yield_now().await;
            }
            Err(error) => {
                log::warn!(error:%; "members: cannot accept a connection");
                agatemill_runtime::sleep(ERROR_BACKOFF).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, mut stream: TcpStream, connection: u64) {
    let service =
        agatemill_runtime::timeout(HANDSHAKE_TIMEOUT, transport::accept(&mut stream)).await;
    match service {
        Some(Ok(Service::Local)) => serve_local(shared, stream, connection).await,
        Some(Ok(Service::Peer)) => serve_peer(shared, stream).await,
        Some(Ok(Service::Operator)) => serve_operator(shared, stream).await,
        Some(Ok(Service::Feed)) => {
            log::debug!("members: a connection requested a service of another program");
        }
        Some(Err(error)) => {
            log::debug!(error:%; "members: a connection sent no valid service name");
        }
        None => log::debug!("members: a connection sent no service name in time"),
    }
}

async fn serve_local(shared: Arc<Shared>, stream: TcpStream, connection: u64) {
    let local = local::Local {
        shared: Arc::clone(&shared),
        connection,
    };
    let channel = BaseChannel::with_defaults(transport::frame_short_requests(stream));
    let channel = channel.max_concurrent_requests(MAX_REQUESTS);
    let requests = channel.execute(local.serve());
    requests
        .for_each_concurrent(None, |request| request)
        .compat()
        .await;
    if shared.entry.disconnect(connection) {
        log::warn!("members: the entry on this host has disconnected");
        shared.update_profile(agatemill_runtime::now());
    }
}

async fn serve_peer(shared: Arc<Shared>, stream: TcpStream) {
    let _permit = shared.peers.acquire().await;
    let limit = shared.settings.timings.call_timeout.to_duration() * PEER_CALLS;
    let channel = BaseChannel::with_defaults(transport::frame(stream));
    let channel = channel.max_concurrent_requests(MAX_REQUESTS);
    let shared = Arc::clone(&shared);
    let requests = channel.execute(peer::Peer { shared }.serve());
    let requests = requests.for_each_concurrent(None, |request| request);
    if agatemill_runtime::timeout(limit, requests.compat())
        .await
        .is_none()
    {
        log::debug!("members: closed a connection of another control that took too long");
    }
}

async fn serve_operator(shared: Arc<Shared>, stream: TcpStream) {
    let channel = BaseChannel::with_defaults(transport::frame_short_requests(stream));
    let channel = channel.max_concurrent_requests(MAX_REQUESTS);
    let requests = channel.execute(operator::Operator { shared }.serve());
    requests
        .for_each_concurrent(None, |request| request)
        .compat()
        .await;
}
