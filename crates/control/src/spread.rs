//! Spreading of the configuration, the leaving hosts and the members among controls.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use smol::channel::Receiver;

use crate::configuration::Outcome;
use crate::gossip;
use crate::record;
use crate::remote;
use crate::shared::Shared;
use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_membership::State;

/// A member that holds a newer configuration or list of leaving hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    pub(crate) control: SocketAddr,
    pub(crate) generation: Generation,
    /// Revision of its list of leaving hosts.
    pub(crate) hosts: u64,
}

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

/// Offers a configuration to this control, and announces its generation to others when it is new.
///
/// Those that lack it pull it. A push of the document itself would reach most members several times.
pub(crate) fn offer(shared: &Arc<Shared>, envelope: Envelope) -> Outcome {
    let offer = shared.configuration.offer(envelope);
    if offer == Outcome::Accepted {
        let out = shared.machine().announce();
        let announcing = Arc::clone(shared);
        // A member that misses the announcement sees the generation in the next probe.
        shared
            .tasks
            .spawn(async move { gossip::send(&announcing, out).await });
    }
    offer
}

/// Pulls from members that are known to hold a newer generation or list of leaving hosts.
pub(crate) async fn pull_newer(shared: Arc<Shared>, sources: Receiver<Source>) {
    while let Ok(source) = sources.recv().await {
        let address = source.control;
        let newer = source.generation > shared.configuration.generation();
        if !newer && source.hosts <= shared.hosts.revision() {
            // An earlier pull has brought both.
            continue;
        }
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
