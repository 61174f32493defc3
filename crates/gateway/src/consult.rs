//! Asks other hosts for a newer configuration than the store gives.
//!
//! A store that was restored from an older copy has an older configuration until the operator writes the newer one again.
//! Hosts that have been running know it, and a key that it revoked must not be accepted meanwhile.

use core::net::SocketAddrV4;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use crate::State;
use crate::feed::remote::Remote;
use crate::supervise;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Item;

/// Maximum number of hosts that are asked at once; all hosts of a small fleet.
const MAX_HOSTS: usize = 8;

/// Time for which a newer configuration that another host has is awaited from the store: much more than its changes
/// usually take.
const USUAL_PROPAGATION: Duration = Duration::from_millis(400);

/// Asks some hosts for a newer configuration and applies it. Returns when all have responded, or the time for a response
/// is over.
pub async fn run(state: &State) {
    let settings = state.settings();
    let members = state.view().members.clone();
    let others = members.into_values();
    let others = others.filter(|member| member.host != settings.host);
    let mut others: Vec<SocketAddrV4> = others.map(|member| member.exchange).collect();
    fastrand::shuffle(&mut others);
    others.truncate(MAX_HOSTS);
    let queries = others
        .into_iter()
        .map(|address| async move { fetch(state, address).await });
    let limit = settings.bounds.timing().response_timeout();
    // Hosts that do not respond in time are not waited for.
    agatemill_runtime::timeout(limit, futures::future::join_all(queries)).await;
}

/// Handles the version of the configuration that another host has.
pub fn observe(state: &Arc<State>, version: u64, host: SocketAddrV4) {
    if version <= state.version() || state.is_consulting.swap(true, Ordering::Relaxed) {
        return;
    }
    let state = Arc::clone(state);
    let fetch = async move {
        let fetch = async {
            agatemill_runtime::sleep(USUAL_PROPAGATION).await;
            if version > state.version() {
                fetch(&state, host).await;
            }
        };
        supervise::contain(&state.metrics, "consult", fetch).await;
        state.is_consulting.store(false, Ordering::Relaxed);
    };
    agatemill_runtime::spawn(fetch).detach();
}

async fn fetch(state: &State, host: SocketAddrV4) {
    let timing = state.settings().bounds.timing();
    let response = async {
        let remote = Remote::open(host, timing, &state.metrics).await?;
        remote.configuration(state.version()).await
    };
    match response.await {
        Ok(Some(item)) => apply(state, item, host),
        Ok(None) => {}
        Err(error) => log::debug!(host:%, error:%; "config: no response from another host"),
    }
}

fn apply(state: &State, item: Item, host: SocketAddrV4) {
    let before = state.version();
    let now = agatemill_runtime::now();
    state.view().apply(Change::Put(item), now);
    let version = state.version();
    if version > before {
        log::warn!(host:%, version, before; "config: another host has a newer version than the store");
        state.metrics.count_event("config", "from_host");
    }
}
