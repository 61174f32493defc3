//! Tells an engine that is frozen from one that is slow.

use core::time::Duration;

use agatemill_engine::Client;
use agatemill_engine::Error;
use agatemill_routing::Stage;

/// How long an engine may take to report its status before it counts as frozen. Two queries in a row have
/// to fail, because one datagram lost on a slow link delays an answer by about 200 ms.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);

/// Status queries in a row without an answer after which an engine counts as frozen.
const MISSED: u32 = 2;

/// Completes when the engine of a stage is frozen, which is looked into once a step has taken `suspicious`
/// and every so often after that.
///
/// A step of a loaded engine may take long. Sending it elsewhere would add load where there is too much
/// already, so it is given up early only when the engine does not answer at all.
pub async fn frozen(client: &Client, stage: &Stage, suspicious: Duration) -> Error {
    loop {
        agatemill_runtime::sleep(suspicious).await;
        let mut missed = 0;
        while client.status(stage.address, STATUS_TIMEOUT).await.is_err() {
            missed += 1;
            if missed == MISSED {
                return Error::TimedOut;
            }
        }
    }
}
