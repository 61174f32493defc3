//! The platform's list of leaving hosts.

use core::net::IpAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;

use agatemill_core::id;
use agatemill_core::number::Revision;
use agatemill_wire::Leaving;
use agatemill_wire::leaving::Host;

/// Platform key of the list.
pub(crate) const KEY: &str = "/platform/hosts";

/// Leaving hosts in the newest list that this host or another member has read.
#[derive(Debug, Default)]
pub struct Hosts {
    leaving: Mutex<Leaving>,
}

/// Result of offering a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The offered list is newer and has replaced the current one.
    Accepted,
    /// The list has the current revision.
    Known,
    /// The revision is lower than the current one.
    Older,
}

/// A host in the platform's list.
#[derive(Clone, Debug, Deserialize)]
struct Listed {
    #[serde(rename = "host")]
    name: id::Host,
    address: IpAddr,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

impl Hosts {
    /// Replaces the current list if the offered one has a higher revision.
    pub fn offer(&self, leaving: Leaving) -> Outcome {
        let mut current = self.lock();
        if leaving.revision < current.revision {
            return Outcome::Older;
        }
        if leaving.revision == current.revision {
            return Outcome::Known;
        }
        *current = leaving;
        Outcome::Accepted
    }

    /// Revision of the current list; 0 without a list.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Current list if its revision is above `known`.
    #[must_use]
    pub fn newer_than(&self, known: u64) -> Option<Leaving> {
        let current = self.lock();
        (current.revision > known).then(|| current.clone())
    }

    /// Hosts that are leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<Host> {
        self.lock().hosts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Leaving> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Extracts the leaving hosts from the JSON value that the platform key had at `revision`.
///
/// # Errors
///
/// Any error of parsing the value.
pub fn parse(revision: Revision, value: &[u8]) -> Result<Leaving, serde_json::Error> {
    let listed: Vec<Listed> = serde_json::from_slice(value)?;
    let leaving = listed
        .into_iter()
        .filter(|host| host.state == State::Leaving);
    let hosts = leaving.map(|host| Host {
        name: host.name,
        address: host.address,
    });
    Ok(Leaving {
        revision: revision.0,
        hosts: hosts.collect(),
    })
}
