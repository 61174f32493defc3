//! The engines of one group.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Chain;
use crate::Engine;
use crate::Group;
use crate::Policy;
use crate::Request;
use crate::Stage;
use crate::link::Links;
use crate::path;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::quantity::Size;

/// Cost factor of an engine that stays eligible with an open breaker because the ejection limit is reached.
/// An engine that fails immediately has the fewest sessions, so without this factor it would attract the most
/// requests.
const OPEN_BREAKER_COST_FACTOR: f64 = 8.0;

/// The engines of one group, as seen by one entry.
#[derive(Debug)]
pub struct Pool {
    pub(crate) group: Group,
    /// The model's layer count.
    pub(crate) layers: u32,
    /// Size of the activation of one token.
    pub(crate) activation: Size,
    pub(crate) engines: HashMap<id::Server, Engine>,
    pub(crate) random: fastrand::Rng,
}

impl Pool {
    /// Chooses the cheapest chain and records a session as opened on each of its engines.
    pub(crate) fn choose(
        &mut self,
        request: &Request,
        policy: &Policy,
        links: &Links,
        now: Duration,
    ) -> Option<Chain> {
        let servers = self.candidates(request, policy, now);
        let candidates: Vec<path::Candidate> = servers
            .iter()
            .map(|server| self.candidate(server, policy, links, now))
            .collect();
        let steps = path::cheapest(&candidates, self.layers)?;
        let stages: Vec<Stage> = steps
            .iter()
            .map(|step| self.stage(&servers, *step))
            .collect();
        for stage in &stages {
            self.record_opened(&stage.server, now);
        }
        let Group { model, version, .. } = self.group.clone();
        Some(
            Chain::new(model, version, self.layers, stages)
                .expect("the path covers every layer once"),
        )
    }

    fn record_opened(&mut self, server: &id::Server, now: Duration) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.load.record_open(now);
            engine.breaker.begin(now);
            engine.chosen = now;
        }
    }

    fn stage(&self, servers: &[id::Server], step: path::Step) -> Stage {
        let server = &servers[step.candidate];
        Stage {
            server: server.clone(),
            address: self.engines[server].facts.address,
            layers: step.layers,
        }
    }

    fn candidate(
        &mut self,
        server: &id::Server,
        policy: &Policy,
        links: &Links,
        now: Duration,
    ) -> path::Candidate {
        let random = self.random.f64();
        let engine = &self.engines[server];
        let penalty = if engine.breaker.allows(now) {
            1.0
        } else {
            OPEN_BREAKER_COST_FACTOR
        };
        let round_trip = links.round_trip(&engine.facts.zone, self.activation);
        path::Candidate {
            layers: engine.layers.expect("a usable engine holds layers"),
            cost: (policy.cost)(engine, random) * penalty,
            fixed: if policy.links {
                round_trip.as_secs_f64()
            } else {
                0.0
            },
        }
    }

    /// The usable engines, sorted by name so that the choice is deterministic for a given seed.
    fn candidates(&mut self, request: &Request, policy: &Policy, now: Duration) -> Vec<id::Server> {
        let usable = |(server, engine): &(&id::Server, &Engine)| {
            engine.is_usable() && !request.exclude.contains(server)
        };
        let mut ranges: BTreeMap<layer::Range, Vec<id::Server>> = BTreeMap::new();
        for (server, engine) in self.engines.iter().filter(usable) {
            let layers = engine.layers.expect("a usable engine holds layers");
            ranges.entry(layers).or_default().push(server.clone());
        }
        let mut chosen: Vec<id::Server> = Vec::new();
        for servers in ranges.into_values() {
            let mut allowed = self.exclude_ejected(servers, now);
            allowed.sort();
            if let Some(count) = policy.sample {
                self.random.shuffle(&mut allowed);
                allowed.truncate(count);
            }
            chosen.extend(allowed);
        }
        chosen.sort();
        chosen
    }

    /// Removes engines with open breakers, but at most a third of those with the same layer range (rounded down,
    /// at least one, never all). If more breakers are open, the cause is likely the load, not the engines.
    fn exclude_ejected(&self, mut servers: Vec<id::Server>, now: Duration) -> Vec<id::Server> {
        let max_ejected = (servers.len() / 3)
            .max(1)
            .min(servers.len().saturating_sub(1));
        let open = |server: &id::Server| !self.engines[server].breaker.allows(now);
        let mut ejected: Vec<id::Server> = servers
            .iter()
            .filter(|server| open(server))
            .cloned()
            .collect();
        ejected.sort();
        ejected.truncate(max_ejected);
        servers.retain(|server| !ejected.contains(server));
        servers
    }
}
