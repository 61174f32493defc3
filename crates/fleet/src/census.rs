//! Aggregation of the load that all hosts put on backend servers.
//!
//! Each host sees a small part of the traffic: an engine that looks idle to one of 80 hosts may be full. Each
//! host sends its load to one collector of its zone, the collectors exchange their sums, and each collector
//! sends the total to its zone. A host thus sends and receives one message per round regardless of the number
//! of hosts, and a collector one for each host of its zone and each other collector.
//!
//! Hosts that have lost the store keep their former view, in which another host may be the collector. The collectors of a
//! zone find each other by their messages, so that the total includes the hosts on both sides.

mod samples;

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Demand;
use crate::Member;
use crate::Tally;
use crate::census::samples::Sample;
use crate::census::samples::Samples;
use crate::load::Usage;
use crate::member;
use crate::tally::Key;
use agatemill_core::id;

/// Age after which a received message no longer counts. Spans several rounds, so that the load of a host does
/// not vanish when one message is lost.
const MAX_AGE: Duration = Duration::from_millis(1_200);

/// Mean time from a request to the total that includes it: half of the round of its host, and half of that of its collector.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Delay of a round after news, which combines news that arrives at about the same time.
const NEWS_DELAY: Duration = Duration::from_millis(20);

/// Addition to the delay of a round after news for each of its messages. A total of some kilobytes for each host of a zone fills
/// the link of a small collector with more rounds.
const NEWS_DELAY_PER_MESSAGE: Duration = Duration::from_millis(1);

/// Maximum number of collectors beside those of this host's view that messages name and are sent to: several for each zone. While
/// a fleet starts, each host that does not know the others yet is a collector.
const MAX_COLLECTORS: usize = 64;

/// Maximum number of collectors that are remembered: a view and messages of many hosts name the same few.
const MAX_KNOWN_COLLECTORS: usize = 1_024;

/// Message between hosts about their load on backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Load from one host, sent to the collector of its zone.
    Host {
        /// The host.
        host: id::Host,
        /// Its load; empty if it sends it to another collector from now on.
        tally: Tally,
    },
    /// Load from the hosts of one collector, sent between collectors.
    Sum {
        /// The collector.
        collector: id::Host,
        /// The sum over its hosts; empty if it no longer is a collector.
        tally: Tally,
        /// Addresses of the collectors whose messages it receives.
        collectors: Vec<SocketAddrV4>,
    },
    /// Load from all hosts, sent by a collector to its zone.
    Total {
        /// The sum over all hosts.
        tally: Tally,
    },
}

/// Delay of a round after news, for a host whose last round had this many messages.
#[must_use]
pub fn news_delay(messages: usize) -> Duration {
    let messages = u32::try_from(messages).unwrap_or(u32::MAX);
    NEWS_DELAY + NEWS_DELAY_PER_MESSAGE.saturating_mul(messages)
}

/// This host's view of the load from all hosts.
#[derive(Clone, Debug)]
pub struct Census {
    host: id::Host,
    zone: id::Zone,
    /// Load from the other hosts of this zone, while this host is the collector.
    hosts: Samples,
    /// Load from the hosts of the other collectors, while this host is a collector.
    sums: Samples,
    /// Addresses of other collectors with the time of the last sign of each, while this host is a collector. Invariant: at most
    /// [`MAX_KNOWN_COLLECTORS`].
    collectors: HashMap<SocketAddrV4, Sign>,
    /// Addresses that the last sums of this host were sent to; empty if it is not a collector.
    told: Vec<SocketAddrV4>,
    /// Address of the collector that this host's load was sent to last.
    collector: Option<SocketAddrV4>,
    /// Load from all hosts.
    total: Option<Sample>,
    /// This host's load as of the last round, which the total includes.
    own_sent: Tally,
}

/// How and when this host last learned that another one is a collector.
#[derive(Clone, Copy, Debug, Default)]
struct Sign {
    /// A message of the collector arrived.
    received: Option<Duration>,
    /// Another collector named it.
    named: Option<Duration>,
}

impl Sign {
    fn is_recent(&self, now: Duration) -> bool {
        let last = self.received.max(self.named);
        last.is_some_and(|at| now <= at + MAX_AGE)
    }
}

impl Census {
    /// Creates a census without any received load.
    #[must_use]
    pub fn new(host: id::Host, zone: id::Zone) -> Self {
        Self {
            host,
            zone,
            hosts: Samples::default(),
            sums: Samples::default(),
            collectors: HashMap::new(),
            told: Vec::new(),
            collector: None,
            total: None,
            own_sent: Tally::default(),
        }
    }

    /// Handles a message that the host at `sender` sent.
    pub fn receive(&mut self, message: Message, sender: SocketAddrV4, now: Duration) {
        let sample = |tally| Sample { at: now, tally };
        match message {
            Message::Host { host, tally } => {
                self.hosts.insert(host, sample(tally));
            }
            Message::Sum { collector, .. } if collector == self.host => {}
            Message::Sum {
                collector,
                tally,
                collectors,
            } => {
                self.sums.insert(collector, sample(tally));
                self.note(sender, now, |sign| sign.received = Some(now));
                for address in collectors.into_iter().take(MAX_COLLECTORS) {
                    self.note(address, now, |sign| sign.named = Some(now));
                }
            }
            Message::Total { tally } => {
                self.total = Some(sample(tally));
                // It is news only to a host that collects for the same zone.
                self.note(sender, now, |sign| sign.received = Some(now));
            }
        }
    }

    /// Records a sign of a collector, unless too many others have given one.
    fn note(&mut self, address: SocketAddrV4, now: Duration, record: impl FnOnce(&mut Sign)) {
        if self.collectors.len() >= MAX_KNOWN_COLLECTORS && !self.collectors.contains_key(&address)
        {
            self.collectors.retain(|_, sign| sign.is_recent(now));
            if self.collectors.len() >= MAX_KNOWN_COLLECTORS {
                return;
            }
        }
        record(self.collectors.entry(address).or_default());
    }

    /// Runs one round: returns the messages to send, given this host's load and the serving hosts.
    pub fn round(
        &mut self,
        own: Tally,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Vec<(SocketAddrV4, Message)> {
        self.own_sent = own.clone();
        let leader = member::zone_leader(members, &self.zone);
        let collector = leader.filter(|leader| leader.host != self.host);
        let collector = collector.map(|leader| leader.exchange);
        let former = core::mem::replace(&mut self.collector, collector);
        let mut messages = match collector {
            Some(collector) => self.report(own, collector),
            None => self.collect(own, members, now),
        };
        // The former collector must not count this host beside the next one.
        if let Some(former) = former.filter(|former| Some(*former) != collector) {
            messages.push((former, self.load(Tally::default())));
        }
        messages
    }

    /// Runs the round of a host that has a collector.
    fn report(&mut self, own: Tally, collector: SocketAddrV4) -> Vec<(SocketAddrV4, Message)> {
        self.hosts.clear();
        self.sums.clear();
        self.collectors.clear();
        // The hosts of this one are counted by another collector from now on.
        let told = core::mem::take(&mut self.told).into_iter();
        let ends = told.map(|address| (address, self.sum(Tally::default(), Vec::new())));
        let mut messages: Vec<_> = ends.collect();
        messages.push((collector, self.load(own)));
        messages
    }

    /// Runs a collector's round: sums the recent load and returns the messages for the other collectors and
    /// for the hosts of this zone.
    fn collect(
        &mut self,
        own: Tally,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Vec<(SocketAddrV4, Message)> {
        let is_recent = |at: Duration| now <= at + MAX_AGE;
        self.hosts.expire(now);
        self.sums.expire(now);
        self.collectors.retain(|_, sign| sign.is_recent(now));
        self.hosts.remove(&self.host);
        let mut sum = own;
        for tally in self.hosts.tallies() {
            sum.add(tally);
        }
        let mut total = sum.clone();
        for tally in self.sums.tallies() {
            total.add(tally);
        }
        self.told = self.other_collectors(members);
        let received = self.collectors.iter();
        let received = received.filter(|(_, sign)| sign.received.is_some_and(is_recent));
        let mut collectors: Vec<SocketAddrV4> = received.map(|(address, _)| *address).collect();
        collectors.sort_unstable();
        collectors.truncate(MAX_COLLECTORS);
        let others = self.told.iter();
        let sums = others.map(|address| (*address, self.sum(sum.clone(), collectors.clone())));
        let mut messages: Vec<_> = sums.collect();
        let neighbours = members
            .values()
            .filter(|member| member.zone == self.zone && member.host != self.host);
        for member in neighbours {
            let message = Message::Total {
                tally: total.clone(),
            };
            messages.push((member.exchange, message));
        }
        self.total = Some(Sample {
            at: now,
            tally: total,
        });
        messages
    }

    fn load(&self, tally: Tally) -> Message {
        Message::Host {
            host: self.host.clone(),
            tally,
        }
    }

    fn sum(&self, tally: Tally, collectors: Vec<SocketAddrV4>) -> Message {
        Message::Sum {
            collector: self.host.clone(),
            tally,
            collectors,
        }
    }

    /// Addresses of the collectors of the other zones, and of others that have given a sign.
    fn other_collectors(&self, members: &HashMap<id::Host, Member>) -> Vec<SocketAddrV4> {
        let zones = member::other_zones(members, &self.zone).into_iter();
        let leaders = zones.filter_map(|zone| member::zone_leader(members, zone));
        let mut addresses: Vec<SocketAddrV4> = leaders.map(|leader| leader.exchange).collect();
        let own = members.get(&self.host).map(|member| member.exchange);
        let others = self.collectors.keys().copied();
        let others = others.filter(|other| Some(*other) != own && !addresses.contains(other));
        let mut others: Vec<SocketAddrV4> = others.collect();
        others.sort_unstable();
        others.truncate(MAX_COLLECTORS);
        addresses.extend(others);
        addresses
    }

    /// Demand from all hosts, with its mean age; `None` without a recent total.
    #[must_use]
    pub fn demand(&self, now: Duration) -> Option<(&Demand, Duration)> {
        let total = self.total.as_ref()?;
        let age = now.saturating_sub(total.at);
        (age <= MAX_AGE).then(|| (&total.tally.demand, age + REPORT_DELAY))
    }

    /// Load of this host's own requests on a server that the total does not include, because they began since the last round.
    #[must_use]
    pub fn unreported(&self, server: Key, own: Usage) -> f64 {
        (own.tokens - f64::from(self.own_sent.of(server).tokens)).max(0.0)
    }

    /// Estimates the load from all hosts on a server, given this host's own load and the number of hosts.
    ///
    /// Without a recent total, every other host is assumed to have the same load as this one, since callers
    /// choose hosts at random.
    #[must_use]
    pub fn estimate(&self, server: Key, own: Usage, hosts: usize, now: Duration) -> Usage {
        self.estimate_remaining(server, own, hosts, 1.0, now)
    }

    /// Like [`Census::estimate`], if only the share `remaining` of the load that other hosts reported is left.
    #[must_use]
    pub fn estimate_remaining(
        &self,
        server: Key,
        own: Usage,
        hosts: usize,
        remaining: f64,
        now: Duration,
    ) -> Usage {
        let known = self
            .total
            .as_ref()
            .filter(|sample| now <= sample.at + MAX_AGE);
        let Some(total) = known else {
            let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
            return Usage {
                requests: own.requests.saturating_mul(hosts),
                tokens: own.tokens * f64::from(hosts),
                unread: own.unread * f64::from(hosts),
            };
        };
        let all = total.tally.of(server);
        let own_sent = self.own_sent.of(server);
        // A share of a number of requests is not negative and not greater than it.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = |requests: u32| (f64::from(requests) * remaining).round() as u32;
        Usage {
            requests: own.requests + share(all.requests.saturating_sub(own_sent.requests)),
            tokens: own.tokens + f64::from(all.tokens.saturating_sub(own_sent.tokens)) * remaining,
            unread: own.unread + f64::from(all.unread.saturating_sub(own_sent.unread)),
        }
    }
}
