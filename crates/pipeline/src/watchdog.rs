//! Distinguishes a frozen engine from a slow one.

use core::time::Duration;

use agatemill_engine::Client;
use agatemill_routing::Stage;

/// Consecutive failed status queries after which an engine counts as frozen. One is not enough, because a packet
/// lost on a slow link delays an answer by about 200 ms.
const MAX_FAILED_QUERIES: u32 = 2;

/// Completes when the engine of a stage is frozen. The engine is probed every `interval`, with a timeout of `limit`
/// for each status query.
///
/// A step on a loaded engine may be slow. Retrying it elsewhere would add load to an overloaded system, so a step is
/// abandoned before its timeout only if the engine does not respond to status queries either.
pub async fn wait_until_frozen(
    client: &Client,
    stage: &Stage,
    interval: Duration,
    limit: Duration,
) {
    loop {
        agatemill_runtime::sleep(interval).await;
        let mut failed = 0;
        while client.status(stage.address, limit).await.is_err() {
            failed += 1;
            if failed == MAX_FAILED_QUERIES {
                return;
            }
        }
    }
}
