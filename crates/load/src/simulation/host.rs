//! An entry host in a simulation.

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

/// Thousandths of a retry that each success earns, as in the entry.
const RETRIES_PER_MILLE: u32 = 100;

/// What one entry host decides with.
#[derive(Debug)]
pub struct Host {
    pub table: Table,
    pub queue: Queue,
    pub budget: Budget,
    pub latency: Latency,
    /// Requests by their place in the queue.
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

    /// Notes the answer to a status query: sessions and when they were counted.
    pub fn record_poll(&self, server: &str, layers: layer::Range, answer: Option<(u32, Duration)>) {
        let server: id::Server = server.parse().expect("the name is valid");
        let Some((sessions, counted)) = answer else {
            self.table.missed(&server);
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
        self.table.reported(&server, &report);
    }

    /// Chooses a chain as a generation does: engines that were lost are left out as long as others cover the
    /// model. The second value says whether one had to be used again.
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
