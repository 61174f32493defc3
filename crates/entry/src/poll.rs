//! Status queries to the engines.

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

/// How often each engine is asked.
const INTERVAL: Duration = Duration::from_millis(500);

/// How long an answer may take. Longer than the interval, so that a slow engine is not taken for a dead
/// one at once.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Asks each engine for its status again and again.
pub async fn run(state: Arc<State>) {
    let asked = Arc::new(Mutex::new(HashSet::new()));
    loop {
        for target in state.table.targets() {
            // An engine that has not answered yet is not asked again.
            let mut busy = asked.lock().unwrap_or_else(PoisonError::into_inner);
            if !busy.insert(target.server.clone()) {
                continue;
            }
            drop(busy);
            let (state, asked) = (Arc::clone(&state), Arc::clone(&asked));
            let task = async move {
                ask(&state, &target).await;
                let mut busy = asked.lock().unwrap_or_else(PoisonError::into_inner);
                busy.remove(&target.server);
            };
            agatemill_runtime::spawn(task).detach();
        }
        agatemill_runtime::sleep(INTERVAL).await;
    }
}

async fn ask(state: &State, target: &Target) {
    let answer = state
        .generators
        .client
        .status(target.address, TIMEOUT)
        .await;
    match answer {
        Ok(status) if status.server == target.server => {
            state.table.reported(&target.server, &report(status));
        }
        Ok(status) => {
            mismatched(target, &status.server);
            state.table.missed(&target.server);
        }
        Err(error) => {
            log::debug!(server:% = target.server, error:%; "engine: no status");
            state.table.missed(&target.server);
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

fn mismatched(target: &Target, found: &id::Server) {
    log::warn!(
        server:% = target.server, address:% = target.address, found:%;
        "engine: another engine answers at this address"
    );
}
