//! The membership state machine.

mod learn;

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeMap;

use fastrand::Rng;

use crate::Kind;
use crate::Member;
use crate::Message;
use crate::Outgoing;
use crate::Profile;
use crate::Settings;
use crate::State;
use crate::Updates;
use crate::probe::Probe;
use crate::probe::Relay;
use agatemill_core::id;

/// Membership, as seen by one host.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    random: Rng,
    own: Member,
    others: BTreeMap<id::Host, Entry>,
    /// Tombstones of removed members; a record that is not newer does not add the member again.
    tombstones: BTreeMap<id::Host, Entry>,
    /// Members in probe order.
    order: Vec<id::Host>,
    /// Index into `order` of the next member to probe.
    next: usize,
    updates: Updates,
    /// Whether an update is pending that must be sent immediately.
    urgent: bool,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    last_tick: Duration,
    next_round: Duration,
    next_reconnect: Duration,
    next_urgent: Duration,
}

/// Record of another member, with the time of its last state change.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    since: Duration,
}

impl Machine {
    /// Creates the machine of the host `own`, with no other members.
    #[must_use]
    pub fn new(settings: Settings, own: Member, seed: u64, now: Duration) -> Self {
        let mut updates = Updates::default();
        updates.add(own.host.clone());
        let mut random = Rng::with_seed(seed);
        // Jitter spreads the probe rounds of hosts that start together over the interval.
        let next_round = now + settings.probe_interval.mul_f64(random.f64());
        Self {
            settings,
            random,
            own,
            others: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            order: Vec::new(),
            next: 0,
            updates,
            urgent: true,
            probes: Vec::new(),
            relays: Vec::new(),
            last_tick: now,
            next_round,
            next_reconnect: now,
            next_urgent: now,
        }
    }

    /// The record of this host.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The records of all other hosts, including dead hosts and hosts that have left.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|known| &known.member)
    }

    /// All records, starting with this host's own.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        core::iter::once(&self.own).chain(self.others())
    }

    /// Updates the profile of this host.
    pub fn describe(&mut self, profile: Profile) {
        if self.own.profile == profile {
            return;
        }
        let service_changed = self.own.profile.service != profile.service;
        self.own.profile = profile;
        self.own.revision += 1;
        self.urgent |= service_changed;
        if service_changed {
            self.updates.add(self.own.host.clone());
        } else {
            self.updates.add_minor(self.own.host.clone());
        }
    }

    /// Marks this host as left and returns messages that announce it to several members.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        self.own.incarnation = learn::next_incarnation(self.own.incarnation);
        self.own.state = State::Left;
        self.updates.add(self.own.host.clone());
        let mut out = Vec::new();
        // Three times the usual fanout, so that a lost datagram does not make the departure look like a failure.
        self.send_updates(self.settings.fanout * 3, &mut out);
        out
    }

    /// Returns messages to several members, for what every message carries, such as a new generation.
    pub fn announce(&mut self) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.send_updates(self.settings.fanout, &mut out);
        out
    }

    /// Merges records from a full exchange.
    ///
    /// A host that has just started learns all members in this way and does not disseminate them, because the
    /// other side already knows them: with 100 hosts that start together, this would delay other updates by more
    /// than 10 s.
    pub fn merge(&mut self, now: Duration, members: Vec<Member>) {
        let joins = self.others.is_empty();
        self.learn_all(now, members);
        if joins {
            self.updates = Updates::default();
            self.updates.add(self.own.host.clone());
        }
    }

    fn learn_all(&mut self, now: Duration, members: Vec<Member>) {
        for member in members {
            self.learn(now, member);
        }
    }

    /// Handles a message received from `address` and returns the messages to send.
    pub fn receive(
        &mut self,
        now: Duration,
        address: SocketAddr,
        message: Message,
    ) -> Vec<Outgoing> {
        let incarnation = self.own.incarnation;
        let Message {
            from,
            kind,
            sequence,
            members,
        } = message;
        self.learn_all(now, members);
        let mut out = Vec::new();
        match kind {
            Kind::Ping => out.push(self.compose(address, Some(&from), Kind::Ack, sequence)),
            Kind::Ack => self.acknowledge(sequence, &mut out),
            Kind::PingRequest { target } => self.relay(now, address, &target, sequence, &mut out),
        }
        if self.own.incarnation != incarnation {
            // The sender of the suspicion gets the refutation first; after a network partition, it may be the only
            // member on its side that this host has contact with.
            let sequence = self.random.u64(..);
            out.push(self.compose(address, Some(&from), Kind::Ping, sequence));
        }
        out
    }

    /// Runs due timers and returns the messages to send. Must be called about every 50 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.handle_pause(now);
        self.advance_probes(now, &mut out);
        self.expire_suspicions(now);
        self.remove_expired(now);
        if self.own.state == State::Left {
            return out;
        }
        self.start_round(now, &mut out);
        self.reconnect(now, &mut out);
        self.send_urgent_updates(now, &mut out);
        out
    }

    /// Detects a pause of this process and discards outstanding probes, which say nothing about their targets.
    /// Refutations may still be queued in the socket, so suspicion timeouts are extended by the pause.
    fn handle_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap <= self.settings.pause {
            return;
        }
        log::warn!(gap:? = gap; "members: this process was paused");
        self.probes.clear();
        self.relays.clear();
        self.next_round = now + self.settings.probe_interval;
        for known in self.others.values_mut() {
            if known.member.state == State::Suspect {
                known.since += gap;
            }
        }
    }

    fn advance_probes(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        let direct = self.settings.direct_timeout;
        let all = direct + self.settings.indirect_timeout;
        for mut probe in core::mem::take(&mut self.probes) {
            let waited = now.saturating_sub(probe.started);
            if waited >= all {
                self.suspect(now, &probe.target);
                // The ping carries the suspicion, so that a live target refutes it immediately.
                out.extend(self.compose_to(&probe.target, Kind::Ping, probe.sequence));
                continue;
            }
            if waited >= direct && !probe.indirect {
                probe.indirect = true;
                self.send_indirect_probes(&probe, out);
            }
            self.probes.push(probe);
        }
        self.relays.retain(|relay| relay.expires > now);
    }

    /// Requests indirect probes from other members and repeats the direct probe. With 10% datagram loss, this makes
    /// a false suspicion five times as rare.
    fn send_indirect_probes(&mut self, probe: &Probe, out: &mut Vec<Outgoing>) {
        out.extend(self.compose_to(&probe.target, Kind::Ping, probe.sequence));
        for helper in self.pick_random(self.settings.helpers, Some(&probe.target)) {
            let kind = Kind::PingRequest {
                target: probe.target.clone(),
            };
            let message = self.compose_to(&helper, kind, probe.sequence);
            out.extend(message);
        }
    }

    fn suspect(&mut self, now: Duration, host: &id::Host) {
        let Some(known) = self.others.get(host) else {
            return;
        };
        if known.member.state == State::Alive {
            let mut member = known.member.clone();
            member.state = State::Suspect;
            self.learn(now, member);
        }
    }

    fn expire_suspicions(&mut self, now: Duration) {
        let limit = self.settings.suspicion_among(self.present().count() + 1);
        let expired = |known: &&Entry| {
            known.member.state == State::Suspect && now.saturating_sub(known.since) >= limit
        };
        let expired: Vec<_> = self.others.values().filter(expired).cloned().collect();
        for mut known in expired {
            known.member.state = State::Dead;
            self.learn(now, known.member);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        let retention = self.settings.retention;
        let old = |known: &Entry| {
            !known.member.state.is_present() && now.saturating_sub(known.since) >= retention
        };
        let hosts: Vec<_> = self
            .others
            .iter()
            .filter(|(_, known)| old(known))
            .map(|(host, _)| host.clone())
            .collect();
        for host in hosts {
            if let Some(known) = self.others.remove(&host) {
                self.tombstones.insert(
                    host,
                    Entry {
                        since: now,
                        ..known
                    },
                );
            }
        }
        // Twice the retention, because another member may retain the record for up to that much longer.
        self.tombstones
            .retain(|_, known| now.saturating_sub(known.since) < 2 * retention);
    }

    fn start_round(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        if now < self.next_round {
            return;
        }
        self.next_round = now + self.settings.probe_interval;
        for _ in 0..self.settings.probes {
            let Some(target) = self.next_target() else {
                return;
            };
            let sequence = self.random.u64(..);
            let message = self.compose_to(&target, Kind::Ping, sequence);
            out.extend(message);
            self.probes.push(Probe {
                target,
                sequence,
                started: now,
                indirect: false,
            });
        }
    }

    /// The next member in shuffled order that is present and has no outstanding probe.
    fn next_target(&mut self) -> Option<id::Host> {
        for _ in 0..=self.order.len() {
            if self.next >= self.order.len() {
                self.order = self.present().map(|member| member.host.clone()).collect();
                self.random.shuffle(&mut self.order);
                self.next = 0;
            }
            let host = self.order.get(self.next)?.clone();
            self.next += 1;
            let present = self
                .others
                .get(&host)
                .is_some_and(|known| known.member.state.is_present());
            if present && !self.probes.iter().any(|probe| probe.target == host) {
                return Some(host);
            }
        }
        None
    }

    /// Pings a random dead member: once a network partition has healed, the member responds and refutes its death.
    fn reconnect(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        if now < self.next_reconnect {
            return;
        }
        self.next_reconnect = now + self.settings.reconnect_interval;
        let dead: Vec<_> = self
            .others()
            .filter(|member| member.state == State::Dead)
            .map(|member| member.host.clone())
            .collect();
        if let Some(host) = self.random.choice(dead) {
            let sequence = self.random.u64(..);
            out.extend(self.compose_to(&host, Kind::Ping, sequence));
        }
    }

    fn send_urgent_updates(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        if self.urgent && now >= self.next_urgent {
            self.urgent = false;
            self.next_urgent = now + self.settings.urgent_interval;
            self.send_updates(self.settings.fanout, out);
        }
    }

    /// Sends updates to `count` random members, in unsolicited acknowledgements because these need no response.
    fn send_updates(&mut self, count: usize, out: &mut Vec<Outgoing>) {
        for host in self.pick_random(count, None) {
            let sequence = self.random.u64(..);
            out.extend(self.compose_to(&host, Kind::Ack, sequence));
        }
    }

    fn acknowledge(&mut self, sequence: u64, out: &mut Vec<Outgoing>) {
        self.probes.retain(|probe| probe.sequence != sequence);
        if let Some(index) = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence)
        {
            let relay = self.relays.swap_remove(index);
            out.push(self.compose(relay.address, None, Kind::Ack, relay.request_sequence));
        }
    }

    fn relay(
        &mut self,
        now: Duration,
        address: SocketAddr,
        target: &id::Host,
        request_sequence: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let sequence = self.random.u64(..);
        let Some(ping) = self.compose_to(target, Kind::Ping, sequence) else {
            return;
        };
        out.push(ping);
        self.relays.push(Relay {
            sequence,
            address,
            request_sequence,
            expires: now + self.settings.indirect_timeout,
        });
    }

    fn present(&self) -> impl Iterator<Item = &Member> {
        self.others().filter(|member| member.state.is_present())
    }

    /// Selects up to `count` random live members other than `except`.
    fn pick_random(&mut self, count: usize, except: Option<&id::Host>) -> Vec<id::Host> {
        let alive: Vec<_> = self
            .others()
            .filter(|member| member.state == State::Alive && Some(&member.host) != except)
            .map(|member| member.host.clone())
            .collect();
        self.random.choose_multiple(alive, count)
    }

    fn compose_to(&mut self, host: &id::Host, kind: Kind, sequence: u64) -> Option<Outgoing> {
        let address = self.others.get(host)?.member.profile.gossip;
        Some(self.compose(address, Some(host), kind, sequence))
    }

    /// Builds a message with piggybacked updates. A receiver that is not considered alive is sent its own record so
    /// that it can refute it; one that is considered dead or left is also sent the record of this host.
    fn compose(
        &mut self,
        address: SocketAddr,
        to: Option<&id::Host>,
        kind: Kind,
        sequence: u64,
    ) -> Outgoing {
        let refutable = to
            .and_then(|host| self.others.get(host))
            .map(|known| &known.member)
            .filter(|member| member.state != State::Alive)
            .cloned();
        let mut members: Vec<_> = refutable.into_iter().collect();
        if members.iter().any(|member| !member.state.is_present()) {
            members.push(self.own.clone());
        }
        let limit = self.settings.updates.saturating_sub(members.len());
        let copies = members
            .is_empty()
            .then(|| self.settings.copies_among(self.others.len() + 1));
        for host in self.updates.take(limit, copies) {
            let known = self.others.get(&host).map(|known| &known.member);
            let own = (host == self.own.host).then_some(&self.own);
            members.extend(known.or(own).cloned());
        }
        let message = Message {
            from: self.own.host.clone(),
            kind,
            sequence,
            members,
        };
        Outgoing { address, message }
    }
}
