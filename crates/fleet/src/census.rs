//! Aggregation of the load that all hosts put on backend servers.
//!
//! Each host sees a small part of the traffic: an engine that looks idle to one of 80 hosts may be full. Each
//! host sends its load to one collector of its zone, the collectors exchange their sums, and each collector
//! sends the total to its zone. A host thus sends and receives one message per round regardless of the number
//! of hosts, and a collector one for each host of its zone and each other zone.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Member;
use crate::Tally;
use crate::load::Usage;
use crate::member;
use crate::tally::Key;
use agatemill_core::id;

/// Age after which a received message no longer counts. Spans several rounds, so that the load of a host does
/// not vanish when one message is lost.
const MAX_AGE: Duration = Duration::from_millis(1_200);

/// Message between hosts about their load on backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Load from one host, sent to the collector of its zone.
    Host {
        /// The host.
        host: id::Host,
        /// Its load.
        tally: Tally,
    },
    /// Load from all hosts of a zone, sent between collectors.
    Zone {
        /// The zone.
        zone: id::Zone,
        /// The sum over its hosts.
        tally: Tally,
    },
    /// Load from all hosts, sent by a collector to its zone.
    Total {
        /// The sum over all hosts.
        tally: Tally,
    },
}

/// This host's view of the load from all hosts.
#[derive(Clone, Debug)]
pub struct Census {
    host: id::Host,
    zone: id::Zone,
    /// Load from the other hosts of this zone, while this host is the collector.
    hosts: HashMap<id::Host, Sample>,
    /// Load from the other zones, while this host is the collector.
    zones: HashMap<id::Zone, Sample>,
    /// Load from all hosts.
    total: Option<Sample>,
    /// This host's load as of the last round, which the total includes.
    own_sent: Tally,
}

/// A received or computed tally and its time.
#[derive(Clone, Debug)]
struct Sample {
    at: Duration,
    tally: Tally,
}

impl Census {
    /// Creates a census without any received load.
    #[must_use]
    pub fn new(host: id::Host, zone: id::Zone) -> Self {
        Self {
            host,
            zone,
            hosts: HashMap::new(),
            zones: HashMap::new(),
            total: None,
            own_sent: Tally::default(),
        }
    }

    /// Handles a message from another host.
    pub fn receive(&mut self, message: Message, now: Duration) {
        let sample = |tally| Sample { at: now, tally };
        match message {
            Message::Host { host, tally } => {
                self.hosts.insert(host, sample(tally));
            }
            Message::Zone { zone, tally } => {
                self.zones.insert(zone, sample(tally));
            }
            Message::Total { tally } => self.total = Some(sample(tally)),
        }
    }

    /// Runs one round: returns the messages to send, given this host's load and the serving hosts.
    pub fn round(
        &mut self,
        own: Tally,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Vec<(SocketAddrV4, Message)> {
        self.own_sent = own.clone();
        match member::zone_leader(members, &self.zone) {
            Some(collector) if collector.host != self.host => {
                self.hosts.clear();
                self.zones.clear();
                let message = Message::Host {
                    host: self.host.clone(),
                    tally: own,
                };
                vec![(collector.exchange, message)]
            }
            _ => self.collect(own, members, now),
        }
    }

    /// Runs a collector's round: sums the recent load and returns the messages for the other collectors and
    /// for the hosts of this zone.
    fn collect(
        &mut self,
        own: Tally,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Vec<(SocketAddrV4, Message)> {
        let is_recent = |sample: &Sample| now <= sample.at + MAX_AGE;
        self.hosts.retain(|_, sample| is_recent(sample));
        self.zones.retain(|_, sample| is_recent(sample));
        self.hosts.remove(&self.host);
        let mut sum = own;
        for sample in self.hosts.values() {
            sum.add(&sample.tally);
        }
        let mut total = sum.clone();
        for sample in self.zones.values() {
            total.add(&sample.tally);
        }
        let mut messages = Vec::new();
        for zone in member::other_zones(members, &self.zone) {
            if let Some(collector) = member::zone_leader(members, zone) {
                let message = Message::Zone {
                    zone: self.zone.clone(),
                    tally: sum.clone(),
                };
                messages.push((collector.exchange, message));
            }
        }
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

    /// Estimates the load from all hosts on a server, given this host's own load and the number of hosts.
    ///
    /// Without a recent total, every other host is assumed to have the same load as this one, since callers
    /// choose hosts at random.
    #[must_use]
    pub fn estimate(&self, server: Key, own: Usage, hosts: usize, now: Duration) -> Usage {
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
        Usage {
            requests: own.requests + all.requests.saturating_sub(own_sent.requests),
            tokens: own.tokens + f64::from(all.tokens.saturating_sub(own_sent.tokens)),
            unread: own.unread + f64::from(all.unread.saturating_sub(own_sent.unread)),
        }
    }
}
