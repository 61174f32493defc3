//! Periodic log of the bytes that this process has sent and received.

use core::time::Duration;

use agatemill_runtime::traffic;

/// Time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the bytes sent and received since the start of the process, at the level "debug".
pub(crate) async fn log() {
    loop {
        let total = traffic::total();
        log::debug!(sent = total.sent, received = total.received; "members: traffic");
        agatemill_runtime::sleep(LOG_INTERVAL).await;
    }
}
