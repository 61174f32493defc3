//! Simulated network of membership state machines, with packet loss and paused nodes. Messages are encoded and
//! decoded as datagrams.

use core::cmp::Reverse;
use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use fastrand::Rng;

use crate::control::Error;
use agatemill_control::record;
use agatemill_core::id;
use agatemill_core::number::Incarnation;
use agatemill_membership::Kind;
use agatemill_membership::Machine;
use agatemill_membership::Member;
use agatemill_membership::Message;
use agatemill_membership::Outgoing;
use agatemill_membership::Profile;
use agatemill_membership::Service;
use agatemill_membership::Settings;
use agatemill_membership::State;
use agatemill_wire::Datagram;
use agatemill_wire::datagram;

/// Interval between two ticks of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Range of the random delay of a message, in microseconds.
const DELAY_RANGE_MICROS: core::ops::Range<u64> = 300..3_000;

/// A suspicion or declared death of a running member; copies of it at other members count once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FalsePositive {
    host: id::Host,
    incarnation: u64,
}

/// A datagram in transit.
struct Packet {
    from: SocketAddr,
    to: usize,
    bytes: Vec<u8>,
}

/// Nodes that exchange messages in virtual time.
pub struct Network {
    pub now: Duration,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Interval between two changes of all profiles, in milliseconds; 0 for none.
    pub change_interval_ms: u64,
    /// Bytes sent by all nodes, without UDP and IP headers.
    pub sent_bytes: u64,
    /// Messages sent by all nodes.
    pub sent_messages: u64,
    nodes: Vec<Option<Machine>>,
    hosts: HashMap<id::Host, usize>,
    addresses: HashMap<SocketAddr, usize>,
    /// Paused node and the end of its pause; messages to it are delayed until then.
    paused: Option<(usize, Duration)>,
    /// Delivery times and numbers of the packets in transit, earliest first.
    deliveries: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Packets in transit by number.
    packets: HashMap<u64, Packet>,
    last_packet: u64,
    random: Rng,
}

impl Network {
    /// Creates nodes that all know each other as members.
    pub fn new(members: usize, seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let all: Vec<_> = (0..members).map(member).collect();
        let nodes = all.iter().map(|own| {
            let seed = random.u64(..);
            let mut machine = Machine::new(Settings::default(), own.clone(), seed, Duration::ZERO);
            machine.merge(Duration::ZERO, all.clone());
            Some(machine)
        });
        let nodes = nodes.collect();
        let hosts = all.iter().map(|member| member.host.clone());
        let addresses = all.iter().map(|member| member.profile.gossip);
        Self {
            now: Duration::ZERO,
            loss: 0.0,
            change_interval_ms: 0,
            sent_bytes: 0,
            sent_messages: 0,
            nodes,
            hosts: hosts.zip(0..).collect(),
            addresses: addresses.zip(0..).collect(),
            paused: None,
            deliveries: BinaryHeap::new(),
            packets: HashMap::new(),
            last_packet: 0,
            random,
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until a condition holds or `end` is reached; returns whether the condition held.
    pub fn run_until(&mut self, end: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        while !condition(self) {
            if self.now >= end {
                return false;
            }
            self.tick();
        }
        true
    }

    /// Returns the size of one message of a full membership exchange, in bytes.
    ///
    /// # Errors
    ///
    /// When the encoding fails or no member is running.
    pub fn exchange_bytes(&self) -> Result<u64, Error> {
        let machine = self.nodes.iter().flatten().next();
        let machine = machine.ok_or("no member is running")?;
        let bytes = rmp_serde::to_vec(&record::to_wire(machine.members()))?;
        Ok(bytes.len() as u64)
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Pauses a node.
    pub fn pause(&mut self, index: usize, duration: Duration) {
        self.paused = Some((index, self.now + duration));
    }

    /// Whether the state of a member satisfies `condition` in the records of all other running nodes.
    pub fn is_seen_by_all(&self, index: usize, condition: impl Fn(State) -> bool) -> bool {
        let host = host(index);
        let nodes = self.nodes.iter().flatten();
        let mut others = nodes.filter(|machine| machine.own().host != host);
        others.all(|machine| {
            let found = machine.others().find(|member| member.host == host);
            found.is_some_and(|member| condition(member.state))
        })
    }

    /// Adds the running members that some node records in this state.
    pub fn collect_false_positives(&self, state: State, found: &mut BTreeSet<FalsePositive>) {
        for machine in self.nodes.iter().flatten() {
            let reported = machine.others().filter(|member| member.state == state);
            let is_running = |member: &&Member| self.nodes[self.hosts[&member.host]].is_some();
            found.extend(reported.filter(is_running).map(|member| FalsePositive {
                host: member.host.clone(),
                incarnation: member.incarnation.0,
            }));
        }
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        if self.paused.is_some_and(|(_, end)| self.now >= end) {
            self.paused = None;
        }
        self.deliver();
        self.change_profiles();
        for index in 0..self.nodes.len() {
            if self.is_paused(index) {
                continue;
            }
            if let Some(machine) = &mut self.nodes[index] {
                let out = machine.tick(self.now);
                self.send(index, out);
            }
        }
    }

    /// Changes the profile of every member when a change is due. Profiles no longer contain the generation of
    /// the configuration; a change of the entry port keeps the gossip load as it was measured with it.
    fn change_profiles(&mut self) {
        let now = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        let interval = u64::try_from(TICK_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        if self.change_interval_ms == 0 || now % self.change_interval_ms >= interval {
            return;
        }
        for machine in self.nodes.iter_mut().flatten() {
            let mut profile = machine.own().profile.clone();
            let port = profile
                .entry
                .map_or(0, |entry| entry.port())
                .wrapping_add(1);
            profile.entry = Some(SocketAddr::new(profile.control.ip(), port));
            machine.describe(profile);
        }
    }

    fn is_paused(&self, index: usize) -> bool {
        self.paused.is_some_and(|(paused, _)| paused == index)
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, number))) = self.deliveries.peek().copied() {
            if at > self.now {
                break;
            }
            self.deliveries.pop();
            let Some(packet) = self.packets.remove(&number) else {
                continue;
            };
            if self.is_paused(packet.to) {
                self.enqueue(self.now + TICK_INTERVAL, packet);
                continue;
            }
            let Some(machine) = &mut self.nodes[packet.to] else {
                continue;
            };
            let Some(message) = decode(&packet.bytes) else {
                continue;
            };
            let out = machine.receive(at, packet.from, message);
            self.send(packet.to, out);
        }
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for outgoing in out {
            let Some(bytes) = encode(outgoing.message) else {
                continue;
            };
            self.sent_bytes += bytes.len() as u64;
            self.sent_messages += 1;
            if self.random.f64() < self.loss {
                continue;
            }
            let Some(to) = self.addresses.get(&outgoing.address).copied() else {
                continue;
            };
            let delay = Duration::from_micros(self.random.u64(DELAY_RANGE_MICROS));
            let from = address(from);
            self.enqueue(self.now + delay, Packet { from, to, bytes });
        }
    }

    fn enqueue(&mut self, at: Duration, packet: Packet) {
        self.last_packet += 1;
        self.deliveries.push(Reverse((at, self.last_packet)));
        self.packets.insert(self.last_packet, packet);
    }
}

fn host(index: usize) -> id::Host {
    format!("host-{index:04}").parse().expect("a valid id")
}

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = index.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 10, high, low), 7_002))
}

fn member(index: usize) -> Member {
    let gossip = address(index);
    Member {
        host: host(index),
        run: 1_796_000_000_000_000,
        incarnation: Incarnation(0),
        state: State::Alive,
        revision: 0,
        profile: Profile {
            zone: format!("zone-{}", index % 10).parse().expect("a valid id"),
            control: SocketAddr::new(gossip.ip(), 7_001),
            gossip,
            entry: Some(SocketAddr::new(gossip.ip(), 8_080)),
            service: Service::Ready,
        },
    }
}

fn encode(message: Message) -> Option<Vec<u8>> {
    let mut datagram = Datagram {
        environment: u64::MAX,
        from: message.from,
        kind: match message.kind {
            Kind::Ping => datagram::Kind::Ping,
            Kind::Ack => datagram::Kind::Ack,
            Kind::PingRequest { target } => datagram::Kind::PingRequest { target },
        },
        sequence: message.sequence,
        generation: 100_000,
        hosts: 0,
        confirmed_ms: Some(1_000),
        members: record::to_wire(message.members.iter()),
    };
    loop {
        match datagram.encode() {
            Ok(bytes) => return Some(bytes),
            Err(_) => datagram.members.pop()?,
        };
    }
}

fn decode(bytes: &[u8]) -> Option<Message> {
    let datagram = Datagram::decode(bytes).ok()?;
    Some(Message {
        from: datagram.from,
        kind: match datagram.kind {
            datagram::Kind::Ping => Kind::Ping,
            datagram::Kind::Ack => Kind::Ack,
            datagram::Kind::PingRequest { target } => Kind::PingRequest { target },
            // Counting is not part of the failure detector.
            datagram::Kind::Ask
            | datagram::Kind::Held { .. }
            | datagram::Kind::Count { .. }
            | datagram::Kind::Counted(_) => return None,
        },
        sequence: datagram.sequence,
        members: record::from_wire(datagram.members),
    })
}
