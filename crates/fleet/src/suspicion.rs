//! Backend servers that new requests keep away from.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

/// How often the time for which a server is avoided doubles, when it goes on rejecting requests.
const MAX_DOUBLINGS: u32 = 2;

/// Longest time to which it doubles: a server that is well again is missed for no longer.
const MAX_DOUBLED: Duration = Duration::from_millis(1_200);

/// Backend servers that new requests keep away from though the platform lists them as ready.
///
/// A server that seems lost is left out until the platform has had time to notice; running streams are sent
/// around it. A server that rejected a request is only full or has changed its layers: new requests go
/// elsewhere for a moment, and running streams stay. One that rejects the next request as well is avoided for
/// longer: with many hosts that each try again after a moment, it would go on rejecting hundreds of requests a
/// second.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    /// Until when servers count as lost.
    lost: HashMap<SocketAddrV4, Duration>,
    /// Servers that get no new requests, or did a moment ago.
    busy: HashMap<SocketAddrV4, Busy>,
}

/// A server that has rejected requests.
#[derive(Clone, Copy, Debug)]
struct Busy {
    /// Until when it gets no new requests.
    until: Duration,
    /// Until when another rejection counts as following the last.
    remembered: Duration,
    /// How often the time has doubled.
    doublings: u32,
}

impl Suspicion {
    /// Takes a server for lost until `until`; returns whether it was not before.
    pub fn suspect(&mut self, address: SocketAddrV4, now: Duration, until: Duration) -> bool {
        self.lost.retain(|_, end| *end > now);
        self.lost.insert(address, until).is_none()
    }

    /// Sends a server no new requests for `time`, or longer when it was avoided a moment ago. Returns for how
    /// long, if it got some before.
    pub fn avoid(
        &mut self,
        address: SocketAddrV4,
        now: Duration,
        time: Duration,
    ) -> Option<Duration> {
        self.busy.retain(|_, busy| busy.remembered > now);
        let before = self.busy.get(&address).copied();
        if before.is_some_and(|busy| busy.until > now) {
            // Requests that were under way when the first was rejected.
            return None;
        }
        let doublings = before.map_or(0, |busy| (busy.doublings + 1).min(MAX_DOUBLINGS));
        let doubled = time * 2_u32.pow(doublings);
        let time = doubled.min(MAX_DOUBLED.max(time));
        let busy = Busy {
            until: now + time,
            remembered: now + time * 2,
            doublings,
        };
        self.busy.insert(address, busy);
        Some(time)
    }

    /// Whether the server seems to be lost.
    #[must_use]
    pub fn is_lost(&self, address: &SocketAddrV4, now: Duration) -> bool {
        self.lost.get(address).is_some_and(|end| *end > now)
    }

    /// Whether new requests keep away from the server.
    #[must_use]
    pub fn is_avoided(&self, address: &SocketAddrV4, now: Duration) -> bool {
        let busy = self.busy.get(address);
        self.is_lost(address, now) || busy.is_some_and(|busy| busy.until > now)
    }
}
