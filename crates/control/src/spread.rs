//! Spreading of the configuration, the leaving hosts and the members among controls.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use smol::channel::Receiver;

use crate::configuration::Offer;
use crate::record;
use crate::remote;
use crate::shared::Shared;
use agatemill_config::Envelope;
use agatemill_membership::State;

/// Members that a new configuration is pushed to by each member that accepts it.
const FANOUT: usize = 3;

/// Time between two attempts to join while no other member is alive.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Takes a configuration from another control.
pub(crate) fn take(shared: &Arc<Shared>, envelope: agatemill_wire::Envelope) {
    match Envelope::try_from(envelope) {
        Ok(envelope) => {
            offer(shared, envelope);
        }
        Err(error) => log::error!(error:%; "config: refused a damaged document"),
    }
}

/// Offers a configuration to this control, and pushes it to others when it is new.
pub(crate) fn offer(shared: &Arc<Shared>, envelope: Envelope) -> Offer {
    let pushed = agatemill_wire::Envelope::from(&envelope);
    let offer = shared.configuration.offer(envelope);
    if offer == Offer::Accepted {
        for address in fastrand::choose_multiple(shared.live_controls(), FANOUT) {
            shared
                .tasks
                .spawn(push(Arc::clone(shared), address, pushed.clone()));
        }
    }
    offer
}

/// Pulls from members that are known to hold a newer generation or list of leaving hosts.
pub(crate) async fn pull_newer(shared: Arc<Shared>, addresses: Receiver<SocketAddr>) {
    while let Ok(address) = addresses.recv().await {
        if let Err(error) = pull(&shared, address).await {
            log::debug!(address:%, error:%; "config: cannot pull from a member");
        }
    }
}

/// Joins, and then exchanges all members with a random one now and then.
pub(crate) async fn sync(shared: Arc<Shared>) {
    let interval = shared.settings.timings.sync_interval.to_duration();
    loop {
        let live = shared.live_controls();
        let wait = if live.is_empty() {
            JOIN_INTERVAL
        } else {
            interval
        };
        let random = fastrand::choice(&live).copied();
        for address in random.into_iter().chain(missing(&shared, &live)) {
            if let Err(error) = exchange(&shared, address).await {
                log::debug!(address:%, error:%; "members: cannot exchange members");
            }
        }
        agatemill_runtime::sleep(wait).await;
    }
}

/// Peers of the settings that are not among the live members, so that a split heals even after its other
/// side was forgotten.
fn missing(shared: &Shared, live: &[SocketAddr]) -> Vec<SocketAddr> {
    let other = |peer: &&SocketAddr| **peer != shared.control && !live.contains(peer);
    shared
        .settings
        .peers
        .iter()
        .filter(other)
        .copied()
        .collect()
}

/// Exchanges all members with the control at `address`, and pulls its configuration and its list
/// of leaving hosts if they are newer.
pub(crate) async fn exchange(shared: &Arc<Shared>, address: SocketAddr) -> io::Result<()> {
    let limit = shared.settings.timings.call_timeout.to_duration();
    let client = remote::peer(address, limit).await?;
    let known = record::to_wire(shared.machine().members());
    let found = client
        .sync(remote::within(limit), known)
        .await
        .map_err(io::Error::other)?;
    shared
        .machine()
        .merge(agatemill_runtime::now(), record::from_wire(found));
    pull(shared, address).await
}

async fn pull(shared: &Arc<Shared>, address: SocketAddr) -> io::Result<()> {
    let limit = shared.settings.timings.call_timeout.to_duration();
    let client = remote::peer(address, limit).await?;
    let held = shared.configuration.generation();
    let found = client
        .pull(remote::within(limit), held.0)
        .await
        .map_err(io::Error::other)?;
    if let Some(envelope) = found {
        take(shared, envelope);
    }
    let known = shared.hosts.revision();
    let found = client
        .leaving(remote::within(limit), known)
        .await
        .map_err(io::Error::other)?;
    if let Some(leaving) = found {
        shared.hosts.offer(leaving);
    }
    Ok(())
}

async fn push(shared: Arc<Shared>, address: SocketAddr, envelope: agatemill_wire::Envelope) {
    let limit = shared.settings.timings.call_timeout.to_duration();
    let pushed = async {
        let client = remote::peer(address, limit).await?;
        let context = remote::within(limit);
        client
            .push(context, envelope)
            .await
            .map_err(io::Error::other)
    };
    // A member that misses the push sees the generation in gossip and pulls.
    if let Err(error) = pushed.await {
        log::debug!(address:%, error:%; "config: cannot push to a member");
    }
}

/// Control address of a member that takes part.
pub(crate) fn address_of(shared: &Shared, host: &agatemill_core::id::Host) -> Option<SocketAddr> {
    let machine = shared.machine();
    let mut present = machine
        .others()
        .filter(|member| matches!(member.state, State::Alive | State::Suspect));
    present
        .find(|member| member.host == *host)
        .map(|member| member.profile.control)
}
