//! A fleet of hosts that each see a small part of the traffic, while some engines are lost at once.

use core::net::SocketAddrV4;
use core::time::Duration;

use agatemill_fleet::Evidence;
use agatemill_fleet::Suspicion;

const HOSTS: usize = 295;
const ZONES: usize = 5;
const ENGINES: u16 = 64;

/// Engines that are lost silently at the start.
const LOST: u16 = 8;

/// Engines of a path.
const PARTS: usize = 10;

const TICK: Duration = Duration::from_millis(10);

/// Mean number of requests that a host gets in a second.
const REQUESTS_PER_S: f64 = 2.0;

/// Time until a query of a silent engine fails.
const QUERY_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which an engine that rejects a request is avoided.
const AVOID_TIME: Duration = Duration::from_millis(300);

/// Interval between the messages of a host.
const ROUND: Duration = Duration::from_millis(250);

/// A host, which is a collector of its zone if it is one of the first.
struct Host {
    suspicion: Suspicion,
    /// Queries in progress: when each fails, and of which engine.
    queries: Vec<(Duration, SocketAddrV4)>,
}

impl Host {
    /// Queries an engine that others name as lost.
    fn check(&mut self, address: SocketAddrV4, now: Duration) {
        if self.suspicion.begin_check(address, now) && is_lost(address) {
            self.queries.push((now + QUERY_TIMEOUT, address));
        }
    }

    fn run_queries(&mut self, now: Duration) {
        for (_, address) in self.queries.extract_if(.., |(at, _)| *at <= now) {
            self.suspicion.suspect(address, Evidence::Silent, now);
        }
    }
}

fn engine(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, 1].into(), 1_000 + number)
}

fn is_lost(address: SocketAddrV4) -> bool {
    address.port() < 1_000 + LOST
}

/// Sends a request along engines that the host does not avoid; returns whether it is rejected.
fn send(host: &mut Host, random: &mut fastrand::Rng, now: Duration) -> bool {
    let mut usable: Vec<SocketAddrV4> = (0..ENGINES).map(engine).collect();
    usable.retain(|address| !host.suspicion.is_avoided(address, now));
    let path = random.choose_multiple(usable, PARTS);
    let Some(lost) = path.into_iter().find(|address| is_lost(*address)) else {
        return false;
    };
    host.suspicion.avoid(lost, now, AVOID_TIME);
    host.check(lost, now);
    true
}

/// Sends what each host suspects to its collector, and what each collector suspects to its zone and the other collectors.
fn tell(hosts: &mut [Host], now: Duration) {
    let notices: Vec<_> = hosts
        .iter()
        .map(|host| host.suspicion.notice(ENGINES.into(), now))
        .collect();
    for (number, host) in hosts.iter_mut().enumerate() {
        let from_zone = |other: usize| other % ZONES == number % ZONES;
        for (other, notice) in notices.iter().enumerate() {
            let is_collector = other < ZONES;
            let is_told = if number < ZONES {
                is_collector || from_zone(other)
            } else {
                is_collector && from_zone(other)
            };
            if is_told && other != number {
                for address in &notice.servers {
                    host.check(*address, now);
                }
            }
        }
    }
}

/// Plays `time`; returns the number of requests and how many were rejected in each half second.
fn play(time: Duration, tells: bool) -> (usize, Vec<usize>) {
    let mut random = fastrand::Rng::with_seed(1);
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|_| Host {
            suspicion: Suspicion::default(),
            queries: Vec::new(),
        })
        .collect();
    let mut requests = 0;
    let mut rejected = vec![0; usize::try_from(time.as_millis() / 500).unwrap()];
    let mut now = Duration::ZERO;
    while now < time {
        for host in &mut hosts {
            host.run_queries(now);
            if random.f64() < REQUESTS_PER_S * TICK.as_secs_f64() {
                requests += 1;
                let at = usize::try_from(now.as_millis() / 500).unwrap();
                rejected[at] += usize::from(send(host, &mut random, now));
            }
        }
        if tells && now.as_millis().is_multiple_of(ROUND.as_millis()) {
            tell(&mut hosts, now);
        }
        now += TICK;
    }
    (requests, rejected)
}

/// Guards against a large fleet in which each host loses requests to find out which engines are lost: with two requests a
/// second at each of 295 hosts, callers would be rejected until the platform removes the engines.
#[test]
fn hosts_of_a_large_fleet_soon_avoid_lost_engines() {
    let time = Duration::from_secs(4);
    let (requests, rejected) = play(time, true);
    let sum: usize = rejected.iter().sum();
    // The first host needs the time of a query, and so do its collector, the other collectors and their hosts, beside the
    // messages between them.
    assert!(
        rejected[4..].iter().all(|count| *count == 0),
        "{rejected:?}"
    );
    let (_, alone) = play(time, false);
    let alone: usize = alone.iter().sum();
    assert!(
        sum * 2 < alone,
        "{sum} of {requests}, {alone} without messages"
    );
}

/// Guards against a host that is cut off from most engines and makes all other hosts query all of them.
#[test]
fn a_host_that_is_cut_off_tells_nothing() {
    let mut suspicion = Suspicion::default();
    let now = Duration::ZERO;
    for number in 0..ENGINES / 4 {
        suspicion.suspect(engine(number), Evidence::Silent, now);
    }
    let told = suspicion.notice(ENGINES.into(), now).servers.len();
    assert_eq!(told, usize::from(ENGINES / 4));
    for number in 0..ENGINES / 2 {
        suspicion.suspect(engine(number), Evidence::Silent, now);
    }
    assert_eq!(suspicion.notice(ENGINES.into(), now).servers, []);
}

/// Guards against a query of a server for each message that names it.
#[test]
fn a_server_is_queried_once_in_a_while() {
    let mut suspicion = Suspicion::default();
    assert!(suspicion.begin_check(engine(0), Duration::ZERO));
    assert!(!suspicion.begin_check(engine(0), Duration::from_millis(900)));
    assert!(suspicion.begin_check(engine(0), Duration::from_millis(1_100)));
    suspicion.suspect(engine(1), Evidence::Refused, Duration::ZERO);
    assert!(!suspicion.begin_check(engine(1), Duration::from_millis(10)));
}
