//! Hosts that look for a store that was lost, without a network: when each has the changes after the store's return, and
//! how often the store is called until then.

use core::time::Duration;
use std::collections::HashMap;

use agatemill_core::id;
use agatemill_fleet::Capacity;
use agatemill_fleet::Member;
use agatemill_fleet::Upstream;
use agatemill_fleet::upstream::Source;
use agatemill_fleet::upstream::timing::Timing;

const BOUND: Duration = Duration::from_secs(2);

/// Resolution of the simulated time.
const STEP: Duration = Duration::from_millis(5);

/// Time that a call to the store or to another host takes, also on a busy host.
const CALL: Duration = Duration::from_millis(10);

/// How a store that is down, or a host that has ended, treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Calls get no response.
    Silent,
    /// Calls fail at once.
    Refusing,
}

/// A call in progress.
#[derive(Clone, Debug)]
struct Call {
    source: Source,
    began: Duration,
    is_last_resort: bool,
}

#[derive(Debug)]
struct Host {
    zone: id::Zone,
    upstream: Upstream,
    /// How calls to this host fail, if it has ended.
    ended: Option<Loss>,
    call: Option<Call>,
    /// Begins no call before.
    paused_until: Duration,
    /// When it got the changes.
    informed_at: Option<Duration>,
}

/// Hosts that have lost a store, which returns at a given time.
struct World {
    timing: Timing,
    members: HashMap<id::Host, Member>,
    hosts: HashMap<id::Host, Host>,
    store: Loss,
    store_returns_at: Duration,
    store_calls: u32,
}

impl World {
    /// Zones of hosts with numbers; `ended` names the hosts that have ended, which are still listed.
    fn new(zones: &[usize], ended: &[(&str, Loss)], store: Loss, returns_at: Duration) -> Self {
        let timing = Timing::new(BOUND);
        let mut members = HashMap::new();
        let mut hosts = HashMap::new();
        for (zone, count) in zones.iter().enumerate() {
            let zone = char::from(b'a' + u8::try_from(zone).unwrap());
            for number in 0..*count {
                let name = format!("{zone}{number:02}");
                let host: id::Host = name.parse().unwrap();
                let port = 1_000 + u16::try_from(members.len()).unwrap();
                let address = core::net::SocketAddrV4::new([10, 0, 0, 1].into(), port);
                let zone: id::Zone = zone.to_string().parse().unwrap();
                let member = Member {
                    host: host.clone(),
                    zone: zone.clone(),
                    address,
                    exchange: address,
                    capacity: Capacity::default(),
                };
                members.insert(host.clone(), member);
                let ended = ended.iter().find(|(ended, _)| *ended == name);
                let state = Host {
                    zone,
                    upstream: Upstream::new(timing),
                    ended: ended.map(|(_, loss)| *loss),
                    call: None,
                    // Hosts lose the store at different moments.
                    paused_until: Duration::from_millis(137 * u64::from(port % 11)),
                    informed_at: None,
                };
                hosts.insert(host, state);
            }
        }
        Self {
            timing,
            members,
            hosts,
            store,
            store_returns_at: returns_at,
            store_calls: 0,
        }
    }

    /// Runs until `end`.
    fn run(&mut self, end: Duration) {
        let mut names: Vec<id::Host> = self.hosts.keys().cloned().collect();
        names.sort();
        let mut now = Duration::ZERO;
        while now < end {
            for name in &names {
                self.step(name, now);
            }
            now += STEP;
        }
    }

    fn step(&mut self, name: &id::Host, now: Duration) {
        let host = &self.hosts[name];
        if host.ended.is_some() || host.informed_at.is_some() || now < host.paused_until {
            return;
        }
        let Some(call) = host.call.clone() else {
            let choice = host.upstream.choose(name, &host.zone, &self.members, now);
            if choice.source == Source::Store && now < self.store_returns_at {
                self.store_calls += 1;
            }
            self.hosts.get_mut(name).unwrap().call = Some(Call {
                source: choice.source,
                began: now,
                is_last_resort: choice.is_last_resort,
            });
            return;
        };
        match &call.source {
            Source::Store => self.step_store(name, &call, now),
            Source::Host { host, .. } => self.step_host(name, host, &call, now),
        }
    }

    fn step_store(&mut self, name: &id::Host, call: &Call, now: Duration) {
        let is_back = call.began >= self.store_returns_at;
        let ends = match self.store {
            _ if is_back => call.began + CALL,
            Loss::Refusing => call.began + CALL,
            Loss::Silent => call.began + self.timing.probe_interval(),
        };
        if now < ends {
            return;
        }
        let backoff = self.timing.max_backoff();
        let host = self.hosts.get_mut(name).unwrap();
        host.call = None;
        if is_back {
            host.informed_at = Some(now);
        } else {
            host.upstream.record_failure(&call.source, now);
            host.paused_until = call.began + backoff;
        }
    }

    fn step_host(&mut self, name: &id::Host, other: &id::Host, call: &Call, now: Duration) {
        let elapsed = now.saturating_sub(call.began);
        let other_host = &self.hosts[other];
        let is_informed = other_host.informed_at.is_some();
        let limit = match other_host.ended {
            Some(Loss::Silent) => self.timing.connect_timeout(),
            None if call.is_last_resort && !is_informed => self.timing.feed_wait(),
            None | Some(Loss::Refusing) => CALL,
        };
        if elapsed < limit {
            return;
        }
        let has_ended = other_host.ended.is_some();
        let host = self.hosts.get_mut(name).unwrap();
        host.call = None;
        if has_ended {
            host.upstream.record_failure(&call.source, now);
        } else if is_informed {
            host.informed_at = Some(now);
        } else {
            host.upstream.record_refusal(other, now);
        }
    }

    /// Hosts that have not ended and are not informed.
    fn uninformed(&self) -> Vec<&id::Host> {
        let hosts = self.hosts.iter();
        let left = hosts.filter(|(_, host)| host.ended.is_none() && host.informed_at.is_none());
        left.map(|(name, _)| name).collect()
    }
}

/// Hosts by zone, and hosts that have ended, with how calls to them fail.
type Fleet<'a> = (&'a [usize], &'a [(&'a str, Loss)]);

const FLEETS: &[Fleet<'_>] = &[
    (&[1], &[]),
    (&[3, 3, 2], &[]),
    (&[3, 3, 2], &[("a00", Loss::Refusing)]),
    (&[3, 3, 2], &[("a00", Loss::Silent), ("b00", Loss::Silent)]),
    (
        &[3, 3, 2],
        &[
            ("a00", Loss::Silent),
            ("a01", Loss::Refusing),
            ("b00", Loss::Silent),
            ("c00", Loss::Silent),
        ],
    ),
    (
        &[20, 20, 20, 20],
        &[("a00", Loss::Silent), ("c00", Loss::Refusing)],
    ),
];

/// Guards against a host that has a change later than the bound because of its failures before the store's return.
#[test]
fn a_change_is_known_in_time_whenever_the_store_returns() {
    for (zones, ended) in FLEETS {
        for store in [Loss::Silent, Loss::Refusing] {
            let offsets = if zones.len() > 3 { 907 } else { 91 };
            for offset_ms in (0..5_000).step_by(offsets) {
                let returns_at = Duration::from_millis(3_000 + offset_ms);
                let mut world = World::new(zones, ended, store, returns_at);
                world.run(returns_at + BOUND);
                let left = world.uninformed();
                assert!(
                    left.is_empty(),
                    "{zones:?} without {ended:?}, {store:?} until {returns_at:?}: {left:?}"
                );
            }
        }
    }
}

/// Guards against calls to a store that is down by each host, since all calls are priced.
#[test]
fn calls_to_a_store_that_is_down_stay_few() {
    const OUTAGE: Duration = Duration::from_secs(20);
    for (zones, ended) in FLEETS {
        for store in [Loss::Silent, Loss::Refusing] {
            let mut world = World::new(zones, ended, store, OUTAGE);
            world.run(OUTAGE);
            let hosts = u32::try_from(zones.iter().sum::<usize>()).unwrap();
            let leaders = u32::try_from(zones.len()).unwrap();
            let per_leader = OUTAGE.div_duration_f64(world.timing.max_backoff());
            let per_follower = OUTAGE.div_duration_f64(world.timing.exclusion());
            let limit = f64::from(leaders) * per_leader + f64::from(hosts) * per_follower;
            let calls = world.store_calls;
            assert!(
                f64::from(calls) <= limit,
                "{zones:?} without {ended:?}, {store:?}: {calls} calls in {OUTAGE:?}"
            );
        }
    }
}
