//! The configuration key of an environment.

use core::net::SocketAddr;
use core::time::Duration;

use crate::apply::Action;
use crate::apply::Apply;
use crate::apply::Current;
use crate::apply::End;
use crate::apply::Request;
use crate::error::Error;
use agatemill_core::id;
use agatemill_core::number::Revision;
use agatemill_platform::Client;
use agatemill_platform::Entry;
use agatemill_platform::Swap;

/// Longest wait for one answer of the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a lost answer, so that a short outage does not use up all tries.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The configuration key of an environment.
#[derive(Debug)]
pub struct Store {
    client: Client,
    key: String,
}

/// How a write ended.
#[derive(Debug)]
pub struct Written {
    /// How the change ended.
    pub end: End,
    /// Revision of the write, when the document was accepted.
    pub revision: Option<Revision>,
}

impl Store {
    /// Creates the access to the key of `environment` on the platform at `addresses`.
    #[must_use]
    pub fn new(addresses: &[SocketAddr], environment: &id::Environment) -> Self {
        Self {
            client: Client::new(addresses, CALL_TIMEOUT),
            key: format!("/agatemill/{environment}/configuration"),
        }
    }

    /// Reads what is in force.
    ///
    /// # Errors
    ///
    /// [`Error::Platform`] and [`Error::Envelope`].
    pub async fn read(&self) -> Result<Current, Error> {
        current(self.client.get(&self.key).await?)
    }

    /// Carries out a change from what was read.
    ///
    /// # Errors
    ///
    /// [`Error::Platform`] when nothing was written, [`Error::Envelope`].
    pub async fn apply(&self, request: Request, from: &Current) -> Result<Written, Error> {
        let mut apply = match Apply::start(request, from) {
            Ok(apply) => apply,
            Err(end) => {
                let revision = None;
                return Ok(Written { end, revision });
            }
        };
        let mut revision = None;
        let mut action = apply.swap();
        loop {
            action = match action {
                Action::End(end) => return Ok(Written { end, revision }),
                Action::Swap { value, expected } => {
                    match self.client.swap(&self.key, &value, expected, None).await {
                        Ok(Swap::Done(written)) => {
                            revision = Some(written);
                            apply.written()
                        }
                        Ok(Swap::Conflict(entry)) => {
                            let found = current(entry)?;
                            revision = Some(found.revision);
                            apply.found(&found)
                        }
                        Err(error) if error.is_uncertain() || apply.is_uncertain() => apply.lost(),
                        Err(error) => return Err(error.into()),
                    }
                }
                Action::ReadBack => {
                    agatemill_runtime::sleep(RETRY_PAUSE).await;
                    match self.client.get(&self.key).await {
                        Ok(entry) => {
                            let found = current(entry)?;
                            revision = Some(found.revision);
                            apply.found(&found)
                        }
                        Err(_) => apply.lost(),
                    }
                }
            }
        }
    }
}

fn current(entry: Option<Entry>) -> Result<Current, Error> {
    let Some(entry) = entry else {
        return Ok(Current {
            revision: Revision(0),
            envelope: None,
        });
    };
    Ok(Current {
        revision: entry.revision,
        envelope: Some(serde_json::from_slice(&entry.value)?),
    })
}
