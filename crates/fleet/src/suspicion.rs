//! Backend servers that new requests avoid.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

/// How often the time for which a server is avoided doubles while it keeps rejecting requests.
const MAX_DOUBLINGS: u32 = 2;

/// Upper limit of the doubled time. Bounds how long a server that has recovered stays unused.
const MAX_DOUBLED_TIME: Duration = Duration::from_millis(1_200);

/// Backend servers that new requests avoid although the platform lists them as ready.
///
/// A server that seems lost is excluded until the platform has had time to notice; running streams are routed
/// around it. A server that rejected a request is only full or has changed its layers: new requests go to
/// other servers for a short time, and running streams stay. If it rejects the next request as well, it is
/// avoided for longer: with many hosts that each retry after a short time, it would keep rejecting hundreds
/// of requests per second.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    /// Time until which each server counts as lost.
    lost: HashMap<SocketAddrV4, Duration>,
    /// Servers that rejected requests recently.
    rejecting: HashMap<SocketAddrV4, Rejection>,
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
    /// Marks a server as lost until `until`; returns whether it was not marked before.
    pub fn suspect(&mut self, address: SocketAddrV4, now: Duration, until: Duration) -> bool {
        self.lost.retain(|_, end| *end > now);
        self.lost.insert(address, until).is_none()
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

    /// Whether the server is marked as lost.
    #[must_use]
    pub fn is_lost(&self, address: &SocketAddrV4, now: Duration) -> bool {
        self.lost.get(address).is_some_and(|end| *end > now)
    }

    /// Whether new requests avoid the server.
    #[must_use]
    pub fn is_avoided(&self, address: &SocketAddrV4, now: Duration) -> bool {
        let rejection = self.rejecting.get(address);
        self.is_lost(address, now) || rejection.is_some_and(|rejection| rejection.until > now)
    }
}
