//! Simulated entry host.

use core::time::Duration;
use std::collections::HashMap;

use crate::scenario::HALF;
use crate::scenario::MODEL;
use crate::simulation::Settings;
use agatemill_config::Document;
use agatemill_core::Digest;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_limits::Budget;
use agatemill_limits::Queue;
use agatemill_limits::queue::Ticket;
use agatemill_pipeline::Latency;
use agatemill_routing::Chain;
use agatemill_routing::Report;
use agatemill_routing::Request;
use agatemill_routing::Table;

/// Credit that each success adds to the retry budget, in thousandths of a retry; as in the entry.
const RETRIES_PER_MILLE: u32 = 100;

/// Routing, admission and retry state of an entry host.
#[derive(Debug)]
pub struct Host {
    pub table: Table,
    pub queue: Queue,
    pub budget: Budget,
    pub latency: Latency,
    /// Indices of the requests that hold a slot or wait for one, by ticket.
    pub requests: HashMap<Ticket, usize>,
}

impl Host {
    pub fn new(index: usize, document: &Document, settings: &Settings) -> Self {
        let host = format!("e{index}").parse().expect("the name is valid");
        let zone = "a".parse().expect("the name is valid");
        let table = Table::new(host, zone, settings.policy.policy());
        table.apply(document);
        Self {
            table,
            queue: Queue::new(settings.slots, settings.waiters),
            budget: Budget::new(RETRIES_PER_MILLE),
            latency: Latency::default(),
            requests: HashMap::new(),
        }
    }

    /// Records the answer to a status query: the number of sessions and the time at which it was counted.
    /// `None` records a query without an answer.
    pub fn record_poll(&self, server: &str, layers: layer::Range, answer: Option<(u32, Duration)>) {
        let server: id::Server = server.parse().expect("the name is valid");
        let Some((sessions, counted)) = answer else {
            self.table.record_missed_query(&server);
            return;
        };
        let report = Report {
            model: MODEL.parse().expect("the name is valid"),
            version: "1".parse().expect("the name is valid"),
            layers: Some(layers),
            draining: false,
            sessions,
            counted,
        };
        self.table.record_report(&server, &report);
    }

    /// Chooses a chain as a generation does: it excludes engines lost before for as long as others cover the
    /// model. The second value is whether a lost engine had to be allowed again.
    pub fn choose_chain(
        &self,
        prefix: u32,
        avoid: &[id::Server],
        now: Duration,
    ) -> Option<(Chain, bool)> {
        (0..=avoid.len()).find_map(|skipped| {
            let request = Request {
                half: HALF.parse().expect("the name is valid"),
                model: MODEL.parse().expect("the name is valid"),
                prefix: Some(Digest::of(&prefix.to_le_bytes())),
                exclude: avoid[skipped..].to_vec(),
            };
            let chain = self.table.choose(&request, now)?;
            Some((chain, skipped > 0))
        })
    }
}
