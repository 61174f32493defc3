//! Log of the bytes that this process sends and receives.

use core::time::Duration;

use agatemill_runtime::traffic;

/// Time between two lines of the log.
const INTERVAL: Duration = Duration::from_secs(1);

/// Logs the bytes since the start of the process, at the level "debug".
pub(crate) async fn log() {
    loop {
        let total = traffic::total();
        log::debug!(sent = total.sent, received = total.received; "members: traffic");
        agatemill_runtime::sleep(INTERVAL).await;
    }
}
