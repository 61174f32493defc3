//! RPC clients for other controls.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::time::Instant;

use async_compat::CompatExt;
use tarpc::client::Config;
use tarpc::client::NewClient;
use tarpc::context::Context;

use agatemill_wire::operator::OperatorClient;
use agatemill_wire::peer::PeerClient;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

/// Connects to the peer service of another control.
pub(crate) async fn peer(address: SocketAddr, limit: Duration) -> io::Result<PeerClient> {
    let connecting = transport::connect(address, Service::Peer);
    let transport = agatemill_runtime::timeout(limit, connecting).await;
    let transport = transport.ok_or(io::ErrorKind::TimedOut)??;
    let NewClient { client, dispatch } = PeerClient::new(Config::default(), transport);
    spawn_dispatch(dispatch);
    Ok(client)
}

/// Connects to the operator service of another control.
pub(crate) async fn operator(address: SocketAddr, limit: Duration) -> io::Result<OperatorClient> {
    let connecting = transport::connect(address, Service::Operator);
    let transport = agatemill_runtime::timeout(limit, connecting).await;
    let transport = transport.ok_or(io::ErrorKind::TimedOut)??;
    let NewClient { client, dispatch } = OperatorClient::new(Config::default(), transport);
    spawn_dispatch(dispatch);
    Ok(client)
}

/// Call context with a deadline `limit` from now.
pub(crate) fn context_within(limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + limit;
    context
}

/// Spawns the dispatch task of a client; it ends when the client is dropped or the connection breaks.
fn spawn_dispatch<E: core::fmt::Display + Send + 'static>(
    dispatch: impl Future<Output = Result<(), E>> + Send + 'static,
) {
    let logged = async move {
        if let Err(error) = dispatch.compat().await {
            log::debug!(error:%; "members: connection to another control ended");
        }
    };
    agatemill_runtime::spawn(logged).detach();
}
