//! The platform's list of hosts.

use core::net::IpAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;

use agatemill_core::id;

/// Platform key of the list.
pub(crate) const KEY: &str = "/platform/hosts";

/// The last list that was read.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    list: Mutex<Vec<Listed>>,
}

/// A host on the list.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Listed {
    #[serde(rename = "host")]
    pub(crate) name: id::Host,
    pub(crate) address: IpAddr,
    pub(crate) state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum State {
    Live,
    Leaving,
}

impl Hosts {
    /// Takes the JSON value of the key; a malformed one changes nothing.
    pub(crate) fn update(&self, value: &[u8]) {
        match serde_json::from_slice(value) {
            Ok(list) => *self.lock() = list,
            Err(error) => log::error!(error:%; "platform: malformed list of hosts"),
        }
    }

    /// Hosts that are leaving.
    pub(crate) fn leaving(&self) -> Vec<Listed> {
        let list = self.lock();
        list.iter()
            .filter(|host| host.state == State::Leaving)
            .cloned()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Listed>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
