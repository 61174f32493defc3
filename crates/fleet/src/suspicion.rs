//! Backend servers that new requests avoid.

mod notice;

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use crate::Evidence;
use crate::Path;
use crate::evidence::AVOIDANCE;
use crate::path::Part;

pub use notice::Notice;

/// How often the time for which a server is avoided doubles while it keeps rejecting requests.
const MAX_DOUBLINGS: u32 = 2;

/// Upper limit of the doubled time. Bounds how long a server that has recovered stays unused.
const MAX_DOUBLED_TIME: Duration = Duration::from_millis(1_200);

/// Time for which a server must be silent before its layers count as missing. Shorter silences are usual of sound
/// servers, and moved layers take seconds to load.
const LOSS_SILENCE: Duration = Duration::from_secs(1);

/// Time after an observation of a server in which events may arrive that its path sent before.
const TRANSIT_TIME: Duration = Duration::from_millis(200);

/// Time within which a host notices that all connections of a process that has ended are closed: they are closed one after
/// the other, and a host that has used up its processor time may not run for a tenth of a second.
const CLOSE_TIME: Duration = Duration::from_millis(150);

/// Interval between queries of a server that others name as lost.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the listed servers of which a host tells the others that they may be lost. A host that finds more silent is probably
/// cut off itself.
const MAX_TOLD_SHARE: f64 = 1.0 / 3.0;

/// Maximum number of servers that one notice names.
const MAX_TOLD: usize = 256;

/// Backend servers that new requests avoid although the platform lists them as ready.
///
/// A server that refuses connections has ended or is full. Its runs end with their connections: a process that ends closes
/// all of them, while one that is full keeps them. A server that is silent may continue: new requests
/// and the parts of stalled streams go to other servers until it responds or the platform has had time to notice, and
/// its runs stay. A server that rejected a request is only full or has changed its layers: new requests go to
/// other servers for a short time. If it rejects the next request as well, it is avoided for longer: with many hosts
/// that each retry after a short time, it would keep rejecting hundreds of requests per second.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    /// Servers that may be lost.
    suspects: HashMap<SocketAddrV4, Suspect>,
    /// Servers that rejected requests recently.
    rejecting: HashMap<SocketAddrV4, Rejection>,
    /// Servers that were queried because others named them as lost, with the time from which they may be queried again.
    checked: HashMap<SocketAddrV4, Duration>,
    /// Number of connections to each server on which this host is receiving a response; never 0.
    connections: HashMap<SocketAddrV4, usize>,
}

/// A server that may be lost.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    /// First observation, or the last response after it.
    since: Duration,
    /// Time of the last events of a run that passes through the server.
    progressed_at: Option<Duration>,
    /// Time until which each kind of evidence counts.
    refused_until: Duration,
    awaited_until: Duration,
    silent_until: Duration,
}

impl Suspect {
    fn until(&self) -> Duration {
        self.refused_until
            .max(self.awaited_until)
            .max(self.silent_until)
    }

    /// Whether the server was seen to run so recently that a sound one may have been silent since.
    fn has_run(&self, now: Duration) -> bool {
        self.progressed_at.is_some_and(|at| now < at + LOSS_SILENCE)
    }
}

/// Whether the process of a server runs that refuses connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It runs, and has all the connections that it accepts.
    Full,
    /// It has ended.
    Ended,
    /// It has ended if its connections close soon.
    Unclear,
}

/// What is known about a run from the engines of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No engine of the path is suspected.
    Sound,
    /// An engine after the first is suspected.
    PartSuspected,
    /// The first engine is silent or refuses connections; the run may continue.
    FirstSilent,
    /// Another server, or a later start of the first engine, is at its address. The run has ended.
    Ended,
}

/// Avoidance of a server that has rejected requests.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    /// Time until which it receives no new requests.
    until: Duration,
    /// Time until which another rejection doubles the time.
    remembered: Duration,
    /// Number of times that the time has doubled.
    doublings: u32,
}

impl Suspicion {
    /// Records an observation of a server; returns whether it was not suspected before.
    pub fn suspect(&mut self, address: SocketAddrV4, evidence: Evidence, now: Duration) -> bool {
        self.suspects.retain(|_, suspect| suspect.until() > now);
        let is_new = !self.suspects.contains_key(&address);
        let suspect = self.suspects.entry(address).or_insert(Suspect {
            since: now,
            progressed_at: None,
            refused_until: Duration::ZERO,
            awaited_until: Duration::ZERO,
            silent_until: Duration::ZERO,
        });
        let until = now + AVOIDANCE;
        match evidence {
            Evidence::Refused => suspect.refused_until = until,
            Evidence::Awaited => suspect.awaited_until = until,
            Evidence::Silent => suspect.silent_until = until,
        }
        is_new
    }

    /// Records that a server responded; returns whether it is no longer suspected. What other engines observe of it
    /// still counts, since only their links to it may be cut.
    pub fn record_response(&mut self, address: &SocketAddrV4, now: Duration) -> bool {
        let Some(suspect) = self.suspects.get_mut(address) else {
            return false;
        };
        suspect.since = now;
        suspect.refused_until = Duration::ZERO;
        suspect.silent_until = Duration::ZERO;
        let is_cleared = suspect.awaited_until <= now;
        if is_cleared {
            self.suspects.remove(address);
        }
        is_cleared
    }

    /// Records that a run which waited for engines of its path delivers events again: they all respond, to each other as
    /// well. Returns the engines that are no longer suspected.
    pub fn record_progress(&mut self, path: &Path) -> Vec<SocketAddrV4> {
        let addresses = path.parts().iter().map(|part| part.address);
        let cleared = addresses.filter(|address| self.suspects.remove(address).is_some());
        cleared.collect()
    }

    /// Records events of a run: the engines of its path have sent them, unless that was before they were suspected. A server
    /// that refuses connections is still avoided.
    pub fn record_events(&mut self, path: &Path, now: Duration) {
        if self.suspects.is_empty() {
            return;
        }
        for part in path.parts() {
            if let Some(suspect) = self.suspects.get_mut(&part.address)
                && now >= suspect.since + TRANSIT_TIME
            {
                suspect.progressed_at = Some(now);
            }
        }
    }

    /// Records that this host receives a response on a connection to a server.
    pub fn record_open(&mut self, address: SocketAddrV4) {
        *self.connections.entry(address).or_default() += 1;
    }

    /// Records that such a connection is closed or no longer read.
    pub fn record_close(&mut self, address: &SocketAddrV4) {
        if let Some(count) = self.connections.get_mut(address) {
            *count -= 1;
            if *count == 0 {
                self.connections.remove(address);
            }
        }
    }

    /// Whether the process of a server runs that has refused a connection `waited` ago. Connections that stay open show that
    /// it does.
    #[must_use]
    pub fn life(&self, address: &SocketAddrV4, waited: Duration) -> Life {
        if !self.connections.contains_key(address) {
            Life::Ended
        } else if waited < CLOSE_TIME {
            Life::Unclear
        } else {
            Life::Full
        }
    }

    /// Avoids a server for `time`, or longer when it was avoided recently. Returns for how long, or `None` when
    /// it is already being avoided.
    pub fn avoid(
        &mut self,
        address: SocketAddrV4,
        now: Duration,
        time: Duration,
    ) -> Option<Duration> {
        self.rejecting
            .retain(|_, rejection| rejection.remembered > now);
        let before = self.rejecting.get(&address).copied();
        if before.is_some_and(|rejection| rejection.until > now) {
            // The request was already in flight when the first one was rejected.
            return None;
        }
        let doublings = before.map_or(0, |rejection| (rejection.doublings + 1).min(MAX_DOUBLINGS));
        let doubled = time * 2_u32.pow(doublings);
        let time = doubled.min(MAX_DOUBLED_TIME.max(time));
        let rejection = Rejection {
            until: now + time,
            remembered: now + time * 2,
            doublings,
        };
        self.rejecting.insert(address, rejection);
        Some(time)
    }

    /// Servers that may be lost, for the other hosts, if they are few of the `listed` ones.
    #[must_use]
    pub fn notice(&self, listed: usize, now: Duration) -> Notice {
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|(_, suspect)| suspect.until() > now);
        let mut servers: Vec<SocketAddrV4> = suspects.map(|(address, _)| *address).collect();
        // A few thousand servers at most.
        #[allow(clippy::cast_precision_loss)]
        let share = servers.len() as f64 / listed.max(1) as f64;
        if share > MAX_TOLD_SHARE {
            servers.clear();
        }
        servers.sort_unstable();
        servers.truncate(MAX_TOLD);
        Notice { servers }
    }

    /// Whether a server that another server or host names as lost is to be queried now: it is not suspected, and has not been
    /// queried for that reason for some time. That others miss it does not show that it is lost, since only their links to it may
    /// be cut.
    #[must_use]
    pub fn begin_check(&mut self, address: SocketAddrV4, now: Duration) -> bool {
        self.checked.retain(|_, until| *until > now);
        if self.is_suspected(&address, now) || self.checked.contains_key(&address) {
            return false;
        }
        self.checked.insert(address, now + CHECK_INTERVAL);
        true
    }

    /// Whether the server is suspected, for whatever reason.
    #[must_use]
    pub fn is_suspected(&self, address: &SocketAddrV4, now: Duration) -> bool {
        self.suspects
            .get(address)
            .is_some_and(|suspect| suspect.until() > now)
    }

    /// Whether the server refused connections of this host, or was silent.
    #[must_use]
    pub fn is_unreachable(&self, address: &SocketAddrV4, now: Duration) -> bool {
        self.suspects
            .get(address)
            .is_some_and(|suspect| suspect.refused_until.max(suspect.silent_until) > now)
    }

    /// Whether the layers of a server that does not answer a query either count as missing: it refuses connections and has
    /// closed those to this host, or has been suspected for longer than a sound server is silent. Events of a run that passes
    /// through it show that it is there.
    #[must_use]
    pub fn is_presumed_lost(&self, address: &SocketAddrV4, now: Duration) -> bool {
        let is_connected = self.connections.contains_key(address);
        self.suspects.get(address).is_some_and(|suspect| {
            let has_ended = suspect.refused_until > now && !is_connected;
            let is_silent = suspect.until() > now && now >= suspect.since + LOSS_SILENCE;
            (has_ended || is_silent) && !suspect.has_run(now)
        })
    }

    /// What is known about a run that was sent along `path`.
    #[must_use]
    pub fn standing(&self, path: &Path, now: Duration) -> Standing {
        let is_suspected = |part: &Part| self.is_suspected(&part.address, now);
        if is_suspected(path.first()) {
            Standing::FirstSilent
        } else if path.parts().iter().any(is_suspected) {
            Standing::PartSuspected
        } else {
            Standing::Sound
        }
    }

    /// Whether new requests avoid the server.
    #[must_use]
    pub fn is_avoided(&self, address: &SocketAddrV4, now: Duration) -> bool {
        let rejection = self.rejecting.get(address);
        self.is_suspected(address, now) || rejection.is_some_and(|rejection| rejection.until > now)
    }
}
