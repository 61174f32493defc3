//! Polling of the status of engines.

use core::time::Duration;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::state::State;
use agatemill_core::id;
use agatemill_engine::Status;
use agatemill_routing::Report;
use agatemill_routing::table::Target;

/// Polling interval of each engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a status query. Longer than the interval, so that a slow engine is not considered dead at once.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the status of each engine periodically.
pub async fn run(state: Arc<State>) {
    let pending = Arc::new(Mutex::new(HashSet::new()));
    loop {
        for target in state.table.targets() {
            // Skips engines whose previous query is still pending.
            let mut servers = pending.lock().unwrap_or_else(PoisonError::into_inner);
            if !servers.insert(target.server.clone()) {
                continue;
            }
            drop(servers);
            let (state, pending) = (Arc::clone(&state), Arc::clone(&pending));
            let task = async move {
                query(&state, &target).await;
                let mut servers = pending.lock().unwrap_or_else(PoisonError::into_inner);
                servers.remove(&target.server);
            };
            agatemill_runtime::spawn(task).detach();
        }
        agatemill_runtime::sleep(POLL_INTERVAL).await;
    }
}

async fn query(state: &State, target: &Target) {
    let result = state
        .generators
        .client
        .status(target.address, STATUS_TIMEOUT)
        .await;
    match result {
        Ok(status) if status.server == target.server => {
            state.table.record_report(&target.server, &report(status));
        }
        Ok(status) => {
            log_mismatch(target, &status.server);
            state.table.record_missed_query(&target.server);
        }
        Err(error) => {
            log::debug!(server:% = target.server, error:%; "engine: status query failed");
            state.table.record_missed_query(&target.server);
        }
    }
}

fn report(status: Status) -> Report {
    let age = Duration::from_millis(status.age_ms);
    Report {
        model: status.model,
        version: status.version,
        layers: status.layers,
        draining: status.draining,
        sessions: status.sessions,
        counted: agatemill_runtime::now().saturating_sub(age),
    }
}

fn log_mismatch(target: &Target, found: &id::Server) {
    log::warn!(
        server:% = target.server, address:% = target.address, found:%;
        "engine: another engine responds at this address"
    );
}
