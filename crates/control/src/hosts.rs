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

/// The leaving hosts of the newest list that was read here or by another member.
#[derive(Debug, Default)]
pub struct Hosts {
    leaving: Mutex<Leaving>,
}

/// What became of an offered list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is newer and now held.
    Accepted,
    /// It has the revision of the list held.
    Known,
    /// Its revision is lower than that of the list held.
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
    /// Takes a list if its revision is newer than that of the list held.
    pub fn offer(&self, leaving: Leaving) -> Outcome {
        let mut held = self.lock();
        if leaving.revision < held.revision {
            return Outcome::Older;
        }
        if leaving.revision == held.revision {
            return Outcome::Known;
        }
        *held = leaving;
        Outcome::Accepted
    }

    /// Revision of the list held; 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// The list held, if its revision is above `known`.
    #[must_use]
    pub fn newer_than(&self, known: u64) -> Option<Leaving> {
        let held = self.lock();
        (held.revision > known).then(|| held.clone())
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

/// Takes the leaving hosts out of the JSON value that the platform's key had at `revision`.
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
