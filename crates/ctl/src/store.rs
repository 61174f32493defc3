//! Access to the configuration key of an environment.

use core::net::SocketAddr;
use core::time::Duration;

use crate::apply::Action;
use crate::apply::Apply;
use crate::apply::Outcome;
use crate::apply::Request;
use crate::apply::Snapshot;
use crate::error::Error;
use agatemill_core::id;
use agatemill_core::number::Revision;
use agatemill_platform::Client;
use agatemill_platform::Entry;
use agatemill_platform::Swap;

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after a lost response, so that a short outage does not exhaust the retries.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Client of the configuration key of an environment.
#[derive(Debug)]
pub struct Store {
    client: Client,
    key: String,
}

/// Result of a change.
#[derive(Debug)]
pub struct Completion {
    /// Outcome of the change.
    pub outcome: Outcome,
    /// Revision of the write, if the document was accepted.
    pub revision: Option<Revision>,
}

impl Store {
    /// Creates a client for the key of `environment` on the platform at `addresses`.
    #[must_use]
    pub fn new(addresses: &[SocketAddr], environment: &id::Environment) -> Self {
        Self {
            client: Client::new(addresses, CALL_TIMEOUT),
            key: format!("/agatemill/{environment}/configuration"),
        }
    }

    /// Reads the stored configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Platform`] and [`Error::Envelope`].
    pub async fn read(&self) -> Result<Snapshot, Error> {
        snapshot(self.client.get(&self.key).await?)
    }

    /// Executes a change on the snapshot that was read.
    ///
    /// # Errors
    ///
    /// [`Error::Platform`] if nothing was written, and [`Error::Envelope`].
    pub async fn apply(&self, request: Request, from: &Snapshot) -> Result<Completion, Error> {
        let mut apply = match Apply::start(request, from) {
            Ok(apply) => apply,
            Err(outcome) => {
                let revision = None;
                return Ok(Completion { outcome, revision });
            }
        };
        let mut revision = None;
        let mut action = apply.swap();
        loop {
            action = match action {
                Action::Finish(outcome) => return Ok(Completion { outcome, revision }),
                Action::Swap { value, expected } => {
                    match self.client.swap(&self.key, &value, expected, None).await {
                        Ok(Swap::Done(written)) => {
                            revision = Some(written);
                            apply.on_written()
                        }
                        Ok(Swap::Conflict(entry)) => {
                            let found = snapshot(entry)?;
                            revision = Some(found.revision);
                            apply.on_read(&found)
                        }
                        Err(error) if error.is_uncertain() || apply.is_uncertain() => {
                            apply.on_lost_response()
                        }
                        Err(error) => return Err(error.into()),
                    }
                }
                Action::ReadBack => {
                    agatemill_runtime::sleep(RETRY_DELAY).await;
                    match self.client.get(&self.key).await {
                        Ok(entry) => {
                            let found = snapshot(entry)?;
                            revision = Some(found.revision);
                            apply.on_read(&found)
                        }
                        Err(_) => apply.on_lost_response(),
                    }
                }
            }
        }
    }
}

fn snapshot(entry: Option<Entry>) -> Result<Snapshot, Error> {
    let Some(entry) = entry else {
        return Ok(Snapshot {
            revision: Revision(0),
            envelope: None,
        });
    };
    Ok(Snapshot {
        revision: entry.revision,
        envelope: Some(serde_json::from_slice(&entry.value)?),
    })
}
