//! Tells an engine that is frozen from one that is slow.

use core::time::Duration;

use agatemill_engine::Client;
use agatemill_routing::Stage;

/// Status queries in a row without an answer after which an engine counts as frozen. One is not enough,
/// because a packet lost on a slow link delays an answer by about 200 ms.
const MISSED: u32 = 2;

/// Completes when the engine of a stage is frozen, which is looked into once a step has taken `suspicious`
/// and every so often after that, with queries that take at most `limit` each.
///
/// A step of a loaded engine may take long. Sending it elsewhere would add load where there is too much
/// already, so it is given up early only when the engine does not answer at all.
pub async fn frozen(client: &Client, stage: &Stage, suspicious: Duration, limit: Duration) {
    loop {
        agatemill_runtime::sleep(suspicious).await;
        let mut missed = 0;
        while client.status(stage.address, limit).await.is_err() {
            missed += 1;
            if missed == MISSED {
                return;
            }
        }
    }
}
