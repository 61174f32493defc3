//! Detection of a store that responds again.

use core::fmt;
use core::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use agatemill_adapter::Store;
use agatemill_platform::Error;

/// Calls to a store that may be lost. A call that reached a silent store may never get a response, so another call
/// begins beside it after some time, and the first response counts.
#[derive(Default)]
pub struct Probe {
    /// Calls in progress. Each ends with the timeout of the store's client, which bounds their number.
    calls: FuturesUnordered<BoxFuture<'static, Result<(), Error>>>,
}

impl Probe {
    /// Begins a call and waits for at most `time` until it, or one that began earlier, gets a response.
    ///
    /// # Errors
    ///
    /// That of the last call that failed, or [`Error::Unavailable`] if all calls are still in progress.
    pub async fn run(&mut self, store: &Store, time: Duration) -> Result<(), Error> {
        let store = store.clone();
        self.calls
            .push(Box::pin(async move { store.probe().await }));
        let mut result = Err(Error::Unavailable("no response in time".to_owned()));
        let calls = &mut self.calls;
        let responses = async {
            while let Some(response) = calls.next().await {
                result = response;
                if result.is_ok() {
                    break;
                }
            }
        };
        agatemill_runtime::timeout(time, responses).await;
        if result.is_ok() {
            self.calls.clear();
        }
        result
    }
}

impl fmt::Debug for Probe {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("Probe");
        text.field("calls", &self.calls.len()).finish()
    }
}
