//! Selection and repair of the path of engines that a request passes through.
//!
//! A fleet has mixed accelerators under uneven load. The path is the one of least cost through all layers,
//! where the cost of an engine grows with its step time, its load and the share of its memory in use.

mod search;
pub mod start;

use core::net::SocketAddrV4;

use crate::Model;
use crate::load::Usage;
use agatemill_core::id;
use agatemill_core::layer;

pub use start::Start;

/// The engines that a request passes through, in the order of their layers.
///
/// Invariant: the parts cover all layers once and in order, and no engine appears twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    /// The parts; not empty.
    parts: Vec<Part>,
}

/// An engine with the layers that it runs of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub server: id::Server,
    /// Address that it listens on.
    pub address: SocketAddrV4,
    /// The layers.
    pub layers: layer::Range,
}

/// An engine that may be part of a path.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The engine.
    pub server: id::Server,
    /// Address that it listens on.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: id::Zone,
    /// Layers that it holds.
    pub layers: layer::Range,
    /// Factor on the time of decode steps.
    pub step_factor: f64,
    /// Factor on the time to read prompts.
    pub read_factor: f64,
    /// Tokens of requests that fit into the memory beside the layers.
    pub token_capacity: f64,
    /// Estimated load from all hosts.
    pub usage: Usage,
    /// Random factor on its cost, so that hosts with the same view do not all choose the same engine.
    pub preference: f64,
    /// Whether it may be used.
    pub is_usable: bool,
    /// Whether it may be the first of a path.
    pub start: Start,
}

/// Requirements of the request that a path is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Zone of the host that sends the request.
    pub zone: &'a id::Zone,
    /// Tokens that the new engines of the path have to read.
    pub prompt: f64,
    /// Expected output tokens.
    pub answer: f64,
    /// Whether the path may pass from one zone to another.
    pub may_cross: bool,
    /// Share of an engine's memory that the path may fill.
    pub fill: f64,
    /// The greatest obstacle in spite of which the path may start at an engine.
    pub start: Start,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// No usable engine holds some layer.
    Layers,
    /// All engines of some layer lack memory.
    Room,
    /// Only paths between zones have memory, and the links between zones are full.
    Links,
    /// Reading the prompts that are queued at the engines takes too long.
    Time,
    /// The engines that a path may start at have reached their limits on requests.
    Limit,
    /// The engines that a path may start at asked this host for no requests for a while.
    Backoff,
    /// The host exits before a stream along the path is likely to end.
    Uptime,
}

impl Path {
    /// Chooses the cheapest path through all layers.
    ///
    /// # Errors
    ///
    /// [`Missing`] when there is none.
    pub fn choose(
        model: &Model,
        candidates: &[Candidate],
        request: Request<'_>,
    ) -> Result<Self, Missing> {
        let parts = search::cheapest_parts(model, candidates, request, (0, model.layers), &[])?;
        Ok(Self { parts })
    }

    /// Replaces the parts for which `is_lost` returns true and keeps the others. The first part always stays,
    /// since its engine holds the caller's connection.
    ///
    /// # Errors
    ///
    /// [`Missing`] when the layers of a lost part, or of all parts after the first, have no other engine.
    pub fn repair(
        &self,
        model: &Model,
        candidates: &[Candidate],
        request: Request<'_>,
        is_lost: impl Fn(&Part) -> bool,
    ) -> Result<Self, Missing> {
        let mut parts = vec![self.parts[0].clone()];
        for part in &self.parts[1..] {
            if !is_lost(part) {
                parts.push(part.clone());
                continue;
            }
            let span = (part.layers.start(), part.layers.end());
            match search::cheapest_parts(model, candidates, request, span, &self.parts) {
                Ok(found) => parts.extend(found),
                Err(_) => return self.replace_rest(model, candidates, request),
            }
        }
        Self::from_distinct_parts(parts).ok_or(Missing::Layers)
    }

    fn replace_rest(
        &self,
        model: &Model,
        candidates: &[Candidate],
        request: Request<'_>,
    ) -> Result<Self, Missing> {
        let first = self.parts[0].clone();
        let span = (first.layers.end(), model.layers);
        let rest = search::cheapest_parts(
            model,
            candidates,
            request,
            span,
            core::slice::from_ref(&first),
        )?;
        Ok(Self {
            parts: core::iter::once(first).chain(rest).collect(),
        })
    }

    /// Builds a path; `None` when an engine appears twice.
    fn from_distinct_parts(parts: Vec<Part>) -> Option<Self> {
        let is_repeated = |index: usize| {
            let server = &parts[index].server;
            parts[..index].iter().any(|part| &part.server == server)
        };
        (!(0..parts.len()).any(is_repeated)).then_some(Self { parts })
    }

    /// Milliseconds that the engines of the path take to generate a token at their current load, without the
    /// time spent waiting between them.
    #[must_use]
    pub fn token_ms(&self, model: &Model, candidates: &[Candidate]) -> f64 {
        let part_ms = |part: &Part| {
            let known = candidates.iter().find(|known| known.server == part.server);
            known.map_or(0.0, |known| {
                search::step_ms(model, known, part.layers.count())
            })
        };
        self.parts.iter().map(part_ms).sum()
    }

    /// Milliseconds until the engines of the path have read a prompt, including the prompts queued before it.
    #[must_use]
    pub fn read_ms(&self, model: &Model, candidates: &[Candidate], prompt: f64) -> f64 {
        let part_ms = |part: &Part| {
            let known = candidates.iter().find(|known| known.server == part.server);
            known.map_or(0.0, |known| {
                search::read_ms(model, known, part.layers.count(), prompt)
            })
        };
        self.parts.iter().map(part_ms).sum()
    }

    /// Number of times that the path crosses from one zone to another.
    #[must_use]
    pub fn crossings(&self, candidates: &[Candidate]) -> usize {
        let zone = |part: &Part| {
            let known = candidates.iter().find(|known| known.server == part.server);
            known.map(|known| &known.zone)
        };
        let pairs = self.parts.windows(2);
        pairs
            .filter(|pair| zone(&pair[0]) != zone(&pair[1]))
            .count()
    }

    /// The parts in the order of their layers; not empty.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// The first part, whose engine receives the request.
    #[must_use]
    pub fn first(&self) -> &Part {
        &self.parts[0]
    }
}
