//! How hosts learn of each other's work.
//!
//! It answers hosts that each see a small part of the traffic: an engine that looks idle to one of 80 hosts
//! may be full. Each host tells its work to one collector of its zone, the collectors tell each other their
//! sums, and each collector tells the total to its zone. A host thus sends and receives one message a round
//! whatever the number of hosts, and a collector one for each host of its zone and each other zone.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Member;
use crate::Tally;
use crate::load::Work;
use crate::member;
use crate::tally::Key;
use agatemill_core::id;

/// Age at which what another host said no longer counts: several rounds, so that a lost message does not
/// make its work vanish.
const MAX_AGE: Duration = Duration::from_millis(1_200);

/// What hosts tell each other about their work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Work of one host, to the collector of its zone.
    Host {
        /// The host.
        host: id::Host,
        /// Its work.
        tally: Tally,
    },
    /// Work of a zone's hosts, between collectors.
    Zone {
        /// The zone.
        zone: id::Zone,
        /// The sum over its hosts.
        tally: Tally,
    },
    /// Work of all hosts, from a collector to its zone.
    Total {
        /// The sum over all hosts.
        tally: Tally,
    },
}

/// What this host knows of the work of all hosts.
#[derive(Clone, Debug)]
pub struct Census {
    host: id::Host,
    zone: id::Zone,
    /// Work of the hosts of this zone, while this host collects.
    hosts: HashMap<id::Host, Heard>,
    /// Work of the other zones, while this host collects.
    zones: HashMap<id::Zone, Heard>,
    /// Work of all hosts.
    total: Option<Heard>,
    /// This host's part of the total.
    told: Tally,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Duration,
    tally: Tally,
}

impl Census {
    /// Creates the census of a host that has heard nothing.
    #[must_use]
    pub fn new(host: id::Host, zone: id::Zone) -> Self {
        Self {
            host,
            zone,
            hosts: HashMap::new(),
            zones: HashMap::new(),
            total: None,
            told: Tally::default(),
        }
    }

    /// Takes a message.
    pub fn receive(&mut self, message: Message, now: Duration) {
        let heard = |tally| Heard { at: now, tally };
        match message {
            Message::Host { host, tally } => {
                self.hosts.insert(host, heard(tally));
            }
            Message::Zone { zone, tally } => {
                self.zones.insert(zone, heard(tally));
            }
            Message::Total { tally } => self.total = Some(heard(tally)),
        }
    }

    /// One round: the messages to send, given this host's work and the hosts that serve.
    pub fn round(
        &mut self,
        own: Tally,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Vec<(SocketAddrV4, Message)> {
        self.told = own.clone();
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

    fn collect(
        &mut self,
        own: Tally,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Vec<(SocketAddrV4, Message)> {
        let is_recent = |heard: &Heard| now <= heard.at + MAX_AGE;
        self.hosts.retain(|_, heard| is_recent(heard));
        self.zones.retain(|_, heard| is_recent(heard));
        self.hosts.remove(&self.host);
        let mut sum = own;
        for heard in self.hosts.values() {
            sum.add(&heard.tally);
        }
        let mut total = sum.clone();
        for heard in self.zones.values() {
            total.add(&heard.tally);
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
        self.total = Some(Heard {
            at: now,
            tally: total,
        });
        messages
    }

    /// Work that all hosts have given to a server, given this host's own and the number of hosts.
    ///
    /// Without recent news the other hosts count like this one: callers choose hosts at random.
    #[must_use]
    pub fn estimate(&self, server: Key, own: Work, hosts: usize, now: Duration) -> Work {
        let known = self
            .total
            .as_ref()
            .filter(|heard| now <= heard.at + MAX_AGE);
        let Some(total) = known else {
            let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
            return Work {
                requests: own.requests.saturating_mul(hosts),
                tokens: own.tokens * f64::from(hosts),
                unread: own.unread * f64::from(hosts),
            };
        };
        let all = total.tally.of(server);
        let told = self.told.of(server);
        Work {
            requests: own.requests + all.requests.saturating_sub(told.requests),
            tokens: own.tokens + f64::from(all.tokens.saturating_sub(told.tokens)),
            unread: own.unread + f64::from(all.unread.saturating_sub(told.unread)),
        }
    }
}
