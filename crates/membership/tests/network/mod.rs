//! In-memory network of machines with datagram loss, link failures and pauses.

use core::cmp::Reverse;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use fastrand::Rng;

use agatemill_core::id;
use agatemill_core::number::Incarnation;
use agatemill_membership::Machine;
use agatemill_membership::Member;
use agatemill_membership::Message;
use agatemill_membership::Outgoing;
use agatemill_membership::Profile;
use agatemill_membership::Service;
use agatemill_membership::Settings;
use agatemill_membership::State;

/// Time between two ticks of a machine.
pub const TICK: Duration = Duration::from_millis(50);

/// Encoded sizes of a message and of each of its updates, rounded up from the postcard encoding.
const MESSAGE_BYTES: usize = 60;
const UPDATE_BYTES: usize = 90;

/// A message in transit.
struct Flight {
    at: Duration,
    from: usize,
    to: usize,
    message: Message,
}

pub struct Network {
    pub now: Duration,
    pub loss: f64,
    pub bytes: Vec<usize>,
    machines: Vec<Option<Machine>>,
    /// Machines whose process is paused; messages to them are delayed.
    paused: BTreeSet<usize>,
    /// Directed pairs whose messages are dropped.
    cuts: BTreeSet<(usize, usize)>,
    flights: BinaryHeap<Reverse<(Duration, u64)>>,
    messages: std::collections::BTreeMap<u64, Flight>,
    number: u64,
    random: Rng,
}

pub fn host(index: usize) -> id::Host {
    format!("host-{index:03}").parse().expect("a valid id")
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(index + 1).expect("small")))
}

pub fn member(index: usize, run: u64) -> Member {
    Member {
        host: host(index),
        run,
        incarnation: Incarnation(0),
        state: State::Alive,
        revision: 0,
        profile: Profile {
            zone: "zone-a".parse().expect("a valid id"),
            control: address(index),
            gossip: address(index),
            entry: None,
            service: Service::Ready,
        },
    }
}

impl Network {
    /// Creates `count` machines that all know each other.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let all: Vec<_> = (0..count).map(|index| member(index, 1)).collect();
        let machines = all.iter().map(|own| {
            let mut machine = Machine::new(
                Settings::default(),
                own.clone(),
                random.u64(..),
                Duration::ZERO,
            );
            machine.merge(Duration::ZERO, all.clone());
            Some(machine)
        });
        Self {
            now: Duration::ZERO,
            loss: 0.0,
            bytes: vec![0; count],
            machines: machines.collect(),
            paused: BTreeSet::new(),
            cuts: BTreeSet::new(),
            flights: BinaryHeap::new(),
            messages: std::collections::BTreeMap::new(),
            number: 0,
            random: Rng::with_seed(seed ^ 1),
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds and returns the elapsed time, or `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !holds(self) {
            if self.now.saturating_sub(start) >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now.saturating_sub(start))
    }

    pub fn kill(&mut self, index: usize) {
        self.machines[index] = None;
    }

    pub fn restart(&mut self, index: usize, run: u64, contact: usize) {
        let mut machine = Machine::new(Settings::default(), member(index, run), run, self.now);
        let known = self.machine(contact).members().cloned().collect();
        machine.merge(self.now, known);
        let known = machine.members().cloned().collect();
        self.machines[index] = Some(machine);
        let now = self.now;
        self.machines[contact]
            .as_mut()
            .expect("alive")
            .merge(now, known);
    }

    /// Changes the profile of every machine, as a change of all entry addresses would.
    pub fn change_profiles(&mut self, port: u16) {
        for machine in self.machines.iter_mut().flatten() {
            let mut profile = machine.own().profile.clone();
            profile.entry = Some(SocketAddr::new(profile.control.ip(), port));
            machine.describe(profile);
        }
    }

    pub fn pause(&mut self, index: usize) {
        self.paused.insert(index);
    }

    pub fn resume(&mut self, index: usize) {
        self.paused.remove(&index);
    }

    /// Cuts the link from `from` to `to`, in this direction only.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Splits the machines below `boundary` from the others.
    pub fn split(&mut self, boundary: usize) {
        for low in 0..boundary {
            for high in boundary..self.machines.len() {
                self.cut(low, high);
                self.cut(high, low);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn leave(&mut self, index: usize) {
        let out = self.machines[index].as_mut().expect("alive").leave();
        self.send(index, out);
        self.kill(index);
    }

    pub fn machine(&self, index: usize) -> &Machine {
        self.machines[index].as_ref().expect("alive")
    }

    pub fn state(&self, viewer: usize, index: usize) -> State {
        let host = host(index);
        let found = self
            .machine(viewer)
            .members()
            .find(|member| member.host == host);
        found.expect("known").state
    }

    /// Whether every live machine except `index` itself sees `index` in a state that `holds`.
    pub fn all_see(&self, index: usize, holds: impl Fn(State) -> bool) -> bool {
        (0..self.machines.len())
            .filter(|viewer| *viewer != index && self.machines[*viewer].is_some())
            .all(|viewer| holds(self.state(viewer, index)))
    }

    /// Live machines that another machine sees as dead, as pairs of the viewer's index and the record.
    pub fn false_deaths(&self) -> Vec<(usize, Member)> {
        let living = |index: &usize| self.machines[*index].is_some();
        let count = self.machines.len();
        (0..count)
            .filter(living)
            .flat_map(|viewer| (0..count).filter(living).map(move |index| (viewer, index)))
            .filter(|(viewer, index)| self.state(*viewer, *index) == State::Dead)
            .filter_map(|(viewer, index)| {
                let host = host(index);
                let found = self
                    .machine(viewer)
                    .members()
                    .find(|member| member.host == host);
                Some((viewer, found?.clone()))
            })
            .collect()
    }

    fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        for index in 0..self.machines.len() {
            if self.paused.contains(&index) {
                continue;
            }
            if let Some(machine) = &mut self.machines[index] {
                let out = machine.tick(self.now);
                self.send(index, out);
            }
        }
    }

    fn deliver(&mut self) {
        let mut delayed = Vec::new();
        while let Some(Reverse((at, number))) = self.flights.peek().copied() {
            if at > self.now {
                break;
            }
            self.flights.pop();
            let flight = self.messages.remove(&number).expect("in flight");
            if self.paused.contains(&flight.to) {
                delayed.push(flight);
                continue;
            }
            if let Some(machine) = &mut self.machines[flight.to] {
                let out = machine.receive(flight.at, address(flight.from), flight.message);
                self.send(flight.to, out);
            }
        }
        for flight in delayed {
            self.enqueue(Flight {
                at: self.now + TICK,
                ..flight
            });
        }
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for outgoing in out {
            let to = usize::from(outgoing.address.port()) - 1;
            self.bytes[from] += MESSAGE_BYTES + UPDATE_BYTES * outgoing.message.members.len();
            if self.cuts.contains(&(from, to)) || self.random.f64() < self.loss {
                continue;
            }
            let delay = Duration::from_micros(self.random.u64(300..3_000));
            let at = self.now + delay;
            self.enqueue(Flight {
                at,
                from,
                to,
                message: outgoing.message,
            });
        }
    }

    fn enqueue(&mut self, flight: Flight) {
        self.number += 1;
        let number = self.number;
        self.flights.push(Reverse((flight.at, number)));
        self.messages.insert(number, flight);
    }
}
