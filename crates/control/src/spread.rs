//! Distribution of the configuration, the list of leaving hosts and the membership among controls.

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

/// A member that advertises a newer configuration or list of leaving hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    pub(crate) control: SocketAddr,
    pub(crate) generation: Generation,
    /// Revision of its list of leaving hosts.
    pub(crate) hosts: u64,
}

/// Time between two join attempts while no other member is alive.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Verifies a configuration received from another control, and offers it to this one.
pub(crate) fn accept(shared: &Arc<Shared>, envelope: agatemill_wire::Envelope) {
    match Envelope::try_from(envelope) {
        Ok(envelope) => {
            offer(shared, envelope);
        }
        Err(error) => log::error!(error:%; "config: rejected a corrupt document"),
    }
}

/// Offers a configuration to this control, and announces its generation to other members if it is new.
///
/// Members that lack the configuration pull it. Pushing the document would send it to most members several times.
pub(crate) fn offer(shared: &Arc<Shared>, envelope: Envelope) -> Outcome {
    let outcome = shared.configuration.offer(envelope);
    if outcome == Outcome::Accepted {
        let out = shared.machine().announce();
        let owned = Arc::clone(shared);
        // A member that misses the announcement sees the generation in the next probe.
        shared
            .tasks
            .spawn(async move { gossip::send(&owned, out).await });
    }
    outcome
}

/// Pulls from members that advertise a newer generation or list of leaving hosts.
pub(crate) async fn pull_newer(shared: Arc<Shared>, sources: Receiver<Source>) {
    while let Ok(source) = sources.recv().await {
        let address = source.control;
        let newer = source.generation > shared.configuration.generation();
        if !newer && source.hosts <= shared.hosts.revision() {
            // An earlier pull has already fetched both.
            continue;
        }
        if let Err(error) = pull(&shared, address).await {
            log::debug!(address:%, error:%; "config: cannot pull from a member");
        }
    }
}

/// Joins the cluster, and then exchanges the full membership with a random member at each `sync_interval`.
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
        for address in random.into_iter().chain(missing_peers(&shared, &live)) {
            if let Err(error) = exchange(&shared, address).await {
                log::debug!(address:%, error:%; "members: cannot exchange members");
            }
        }
        agatemill_runtime::sleep(wait).await;
    }
}

/// Peers from the settings that are not among the live members. Contacting them heals a partition even after each
/// side has forgotten the other.
fn missing_peers(shared: &Shared, live: &[SocketAddr]) -> Vec<SocketAddr> {
    let other = |peer: &&SocketAddr| **peer != shared.control && !live.contains(peer);
    shared
        .settings
        .peers
        .iter()
        .filter(other)
        .copied()
        .collect()
}

/// Exchanges the full membership with the control at `address`, and pulls its configuration and its list of
/// leaving hosts if they are newer.
pub(crate) async fn exchange(shared: &Arc<Shared>, address: SocketAddr) -> io::Result<()> {
    let limit = shared.settings.timings.call_timeout.to_duration();
    let client = remote::peer(address, limit).await?;
    let members = record::to_wire(shared.machine().members());
    let received = client
        .sync(remote::context_within(limit), members)
        .await
        .map_err(io::Error::other)?;
    shared
        .machine()
        .merge(agatemill_runtime::now(), record::from_wire(received));
    pull(shared, address).await
}

async fn pull(shared: &Arc<Shared>, address: SocketAddr) -> io::Result<()> {
    let limit = shared.settings.timings.call_timeout.to_duration();
    let client = remote::peer(address, limit).await?;
    let generation = shared.configuration.generation();
    let newer = client
        .pull(remote::context_within(limit), generation.0)
        .await
        .map_err(io::Error::other)?;
    if let Some(envelope) = newer {
        accept(shared, envelope);
    }
    let revision = shared.hosts.revision();
    let newer = client
        .leaving(remote::context_within(limit), revision)
        .await
        .map_err(io::Error::other)?;
    if let Some(leaving) = newer {
        shared.hosts.offer(leaving);
    }
    Ok(())
}

/// Control address of a member that is alive or suspected.
pub(crate) fn control_address(
    shared: &Shared,
    host: &agatemill_core::id::Host,
) -> Option<SocketAddr> {
    let machine = shared.machine();
    let mut present = machine
        .others()
        .filter(|member| matches!(member.state, State::Alive | State::Suspect));
    present
        .find(|member| member.host == *host)
        .map(|member| member.profile.control)
}
