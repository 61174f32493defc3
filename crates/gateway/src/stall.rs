//! Determines which engine a stalled stream waits for.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::State;
use agatemill_adapter::engine;
use agatemill_adapter::engine::Report;
use agatemill_fleet::Path;

/// Maximum age of a cached report: streams that stall together share one call, since calls are priced.
const MAX_REPORT_AGE: Duration = Duration::from_millis(80);

/// Timeout of a report query; an engine that takes longer is suspected to be lost.
const REPORT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which a lost engine is avoided: the platform removes its entry after three missed heartbeats, and an
/// engine that restarts takes longer to load its layers.
const AVOID_DURATION: Duration = Duration::from_secs(4);

/// Result of investigating a stalled stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// No engine of the path is known to be lost.
    Slow,
    /// An engine after the first is lost.
    PartLost,
    /// The first engine is lost, and with it the request.
    FirstLost,
}

/// Cached report or failure, with the time of the query.
type Cached = Arc<smol::lock::Mutex<Option<(Duration, Result<Arc<Report>, engine::Failure>)>>>;

/// Cache of engine reports, shared by all requests that wait for the same engine.
#[derive(Debug, Default)]
pub struct Reports {
    engines: Mutex<HashMap<SocketAddrV4, Cached>>,
}

impl Reports {
    async fn get(
        &self,
        http: &agatemill_http::Client,
        address: SocketAddrV4,
    ) -> Result<Arc<Report>, engine::Failure> {
        let slot = {
            let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
            Arc::clone(engines.entry(address).or_default())
        };
        let mut slot = slot.lock().await;
        let now = agatemill_runtime::now();
        if let Some((queried_at, result)) = &*slot
            && now < *queried_at + MAX_REPORT_AGE
        {
            return result.clone();
        }
        let result = engine::report(http, address, REPORT_TIMEOUT)
            .await
            .map(Arc::new);
        *slot = Some((now, result.clone()));
        result
    }
}

/// Queries the first engine of a stalled stream for the engines that it waits for.
pub async fn investigate(state: &State, path: &Path, attempt: &str) -> Finding {
    let first = path.first();
    if !is_lost(state, path.first().address) {
        match state.reports.get(&state.pooled, first.address).await {
            Ok(report) => {
                for stalled in &report.stalled {
                    state.suspect(stalled.address, AVOID_DURATION, "requests wait for it");
                }
            }
            Err(error) => {
                log::warn!(
                    request = attempt, server:% = first.server, error:%;
                    "stream: no report from the first engine"
                );
                state.suspect(first.address, AVOID_DURATION, "no report");
            }
        }
    }
    if is_lost(state, first.address) {
        return Finding::FirstLost;
    }
    let part_is_lost = |part: &agatemill_fleet::path::Part| is_lost(state, part.address);
    if path.parts().iter().any(part_is_lost) {
        Finding::PartLost
    } else {
        Finding::Slow
    }
}

/// Whether a server is suspected to be lost.
#[must_use]
pub fn is_lost(state: &State, address: SocketAddrV4) -> bool {
    let now = agatemill_runtime::now();
    state.suspicion().is_lost(&address, now)
}
