//! Which engines a request passes through.
//!
//! It answers mixed accelerators under uneven load: the path is the cheapest way through all layers, where
//! an engine costs more the slower it is, the more work it has, and the less memory it has left.

use core::net::SocketAddrV4;
use std::collections::HashMap;

use crate::Model;
use crate::load::Work;
use agatemill_core::id;
use agatemill_core::layer;

/// Partial paths kept for each layer boundary; a few are enough, since they differ only in the last engine.
const KEPT: usize = 4;

/// Engines kept of those that hold the same layers in the same zone: they differ only in their cost, and a path
/// passes one of them.
const KEPT_ALIKE: usize = 2;

/// Milliseconds that each further engine adds to a token, mostly waiting for its current pass to end.
const PART_MS: f64 = 0.15;

/// How much longer a transfer between zones takes than on an idle link. All requests share the link, one
/// transfer after another, so that a few crossings for each request fill it and every stream waits; paths
/// stay within a zone unless that costs about as much again.
const ZONE_LINK_CONTENTION: f64 = 50.0;

/// Milliseconds by which a first engine in this host's zone is preferred, for the bytes of the stream
/// between zones, which are priced.
const ENTRY_ZONE_MS: f64 = 60.0;

/// Cost of a full engine against an empty one of the same speed. An engine that runs out of memory
/// preempts a stream, so requests spread before that.
const FILL_COST: f64 = 2.0;

/// The engines that a request passes through, in the order of their layers.
///
/// Invariant: the parts cover all layers once and in order, and no engine stands twice.
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
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The layers.
    pub layers: layer::Range,
}

/// An engine that may be part of a path.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The engine.
    pub server: id::Server,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: id::Zone,
    /// Layers that it holds.
    pub layers: layer::Range,
    /// Factor on the time of decode steps.
    pub step_factor: f64,
    /// Factor on the time to read prompts.
    pub read_factor: f64,
    /// Tokens of requests that fit beside the layers.
    pub token_capacity: f64,
    /// Estimate of the work that all hosts have given it.
    pub work: Work,
    /// Factor on its cost, which varies so that hosts with the same view do not all choose the same engine.
    pub preference: f64,
    /// Whether it may be used.
    pub is_usable: bool,
}

/// What a path is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Zone of the host that sends the request.
    pub zone: &'a id::Zone,
    /// Tokens that the new engines of the path have to read.
    pub prompt: f64,
    /// Expected tokens of the answer.
    pub answer: f64,
    /// Whether the path may pass from one zone to another.
    pub may_cross: bool,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// No usable engine holds some layer.
    Layers,
    /// Some layer's engines are all short of memory, or lie in other zones while the links are full.
    Room,
    /// The prompts that wait for the engines take too long to read.
    Time,
}

/// What engines alike have in common: zone, first layer and end of the layers.
type Alike<'a> = (&'a id::Zone, u32, u32);

/// A partial path.
#[derive(Clone, Copy, Debug)]
struct Label {
    cost: f64,
    boundary: u32,
    candidate: usize,
    /// Index of the label before; `None` for the first part.
    previous: Option<usize>,
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
        need: Request<'_>,
    ) -> Result<Self, Missing> {
        let parts = between(model, candidates, need, (0, model.layers), &[])?;
        Ok(Self { parts })
    }

    /// Replaces the parts whose engines are not usable and keeps the others. The first part stays, since
    /// it holds the caller's connection.
    ///
    /// # Errors
    ///
    /// [`Missing`] when the layers of a lost part, or of all parts after the first, have no other engine.
    pub fn repair(
        &self,
        model: &Model,
        candidates: &[Candidate],
        need: Request<'_>,
        is_lost: impl Fn(&Part) -> bool,
    ) -> Result<Self, Missing> {
        let mut parts = vec![self.parts[0].clone()];
        for part in &self.parts[1..] {
            if !is_lost(part) {
                parts.push(part.clone());
                continue;
            }
            let span = (part.layers.start(), part.layers.end());
            match between(model, candidates, need, span, &self.parts) {
                Ok(found) => parts.extend(found),
                Err(_) => return self.replace_rest(model, candidates, need),
            }
        }
        Self::checked(parts).ok_or(Missing::Layers)
    }

    fn replace_rest(
        &self,
        model: &Model,
        candidates: &[Candidate],
        need: Request<'_>,
    ) -> Result<Self, Missing> {
        let first = self.parts[0].clone();
        let span = (first.layers.end(), model.layers);
        let rest = between(model, candidates, need, span, core::slice::from_ref(&first))?;
        Ok(Self {
            parts: core::iter::once(first).chain(rest).collect(),
        })
    }

    /// The path if no engine stands twice.
    fn checked(parts: Vec<Part>) -> Option<Self> {
        let is_repeated = |index: usize| {
            let server = &parts[index].server;
            parts[..index].iter().any(|part| &part.server == server)
        };
        (!(0..parts.len()).any(is_repeated)).then_some(Self { parts })
    }

    /// Milliseconds that the engines of the path take to write a token at their present load, without the
    /// time that it waits between them.
    #[must_use]
    pub fn token_ms(&self, model: &Model, candidates: &[Candidate]) -> f64 {
        let part_ms = |part: &Part| {
            let known = candidates.iter().find(|known| known.server == part.server);
            known.map_or(0.0, |known| step_ms(model, known, part.layers.count()))
        };
        self.parts.iter().map(part_ms).sum()
    }

    /// Milliseconds until the engines of the path have read a prompt behind those that wait there.
    #[must_use]
    pub fn read_ms(&self, model: &Model, candidates: &[Candidate], prompt: f64) -> f64 {
        let part_ms = |part: &Part| {
            let known = candidates.iter().find(|known| known.server == part.server);
            known.map_or(0.0, |known| {
                read_ms(model, known, part.layers.count(), prompt)
            })
        };
        self.parts.iter().map(part_ms).sum()
    }

    /// Times that the path passes from one zone to another.
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

    /// The part that takes the request.
    #[must_use]
    pub fn first(&self) -> &Part {
        &self.parts[0]
    }
}

/// The cheapest parts that run the layers of `span`, without the engines of `avoid`.
fn between(
    model: &Model,
    candidates: &[Candidate],
    need: Request<'_>,
    span: (u32, u32),
    avoid: &[Part],
) -> Result<Vec<Part>, Missing> {
    let (from, to) = span;
    if from >= to {
        return Ok(Vec::new());
    }
    let is_free = |candidate: &Candidate| {
        candidate.is_usable && !avoid.iter().any(|part| part.server == candidate.server)
    };
    let has_room = |candidate: &Candidate| {
        candidate.work.tokens + need.prompt + need.answer <= candidate.token_capacity
    };
    let free: Vec<usize> = (0..candidates.len())
        .filter(|index| is_free(&candidates[*index]))
        .collect();
    let roomy: Vec<usize> = free
        .iter()
        .copied()
        .filter(|index| has_room(&candidates[*index]))
        .collect();
    let roomy = best_alike(model, candidates, &roomy, need);
    if let Some(parts) = cheapest(model, candidates, &roomy, need, span) {
        return Ok(parts);
    }
    let need = Request {
        may_cross: true,
        ..need
    };
    let free = best_alike(model, candidates, &free, need);
    match cheapest(model, candidates, &free, need, span) {
        Some(_) => Err(Missing::Room),
        None => Err(Missing::Layers),
    }
}

/// The cheapest of the engines that hold the same layers in the same zone. Fleets hold most ranges many times,
/// and the search takes time in proportion to the engines that it looks at.
fn best_alike(
    model: &Model,
    candidates: &[Candidate],
    usable: &[usize],
    need: Request<'_>,
) -> Vec<usize> {
    let mut groups: HashMap<Alike<'_>, Vec<(f64, usize)>> = HashMap::new();
    for &index in usable {
        let candidate = &candidates[index];
        let layers = candidate.layers;
        let cost = run_cost(model, candidate, layers.count(), need);
        let group = groups.entry((&candidate.zone, layers.start(), layers.end()));
        let group = group.or_default();
        group.push((cost, index));
        if group.len() > KEPT_ALIKE {
            group.sort_by(|a, b| a.0.total_cmp(&b.0));
            group.truncate(KEPT_ALIKE);
        }
    }
    let mut best: Vec<usize> = groups
        .into_values()
        .flatten()
        .map(|(_, index)| index)
        .collect();
    // The order decides between equal costs and must not depend on the map.
    best.sort_unstable();
    best
}

/// Extends partial paths from boundary to boundary, keeping the few cheapest at each.
fn cheapest(
    model: &Model,
    candidates: &[Candidate],
    usable: &[usize],
    need: Request<'_>,
    (from, to): (u32, u32),
) -> Option<Vec<Part>> {
    let mut boundaries: Vec<u32> = usable
        .iter()
        .flat_map(|index| {
            let layers = candidates[*index].layers;
            [layers.start(), layers.end().min(to)]
        })
        .filter(|boundary| (from..=to).contains(boundary))
        .chain([from, to])
        .collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    let mut labels: Vec<Label> = Vec::new();
    let mut at: Vec<Vec<usize>> = vec![Vec::new(); boundaries.len()];
    for position in 0..boundaries.len() - 1 {
        let boundary = boundaries[position];
        let mut heads = core::mem::take(&mut at[position]);
        heads.sort_by(|a, b| labels[*a].cost.total_cmp(&labels[*b].cost));
        heads.truncate(KEPT);
        let starts: Vec<Option<usize>> = if boundary == from {
            vec![None]
        } else {
            heads.into_iter().map(Some).collect()
        };
        for previous in starts {
            for &index in usable {
                let candidate = &candidates[index];
                let holds =
                    candidate.layers.start() <= boundary && boundary < candidate.layers.end();
                let crosses = previous.is_some_and(|label: usize| {
                    candidates[labels[label].candidate].zone != candidate.zone
                });
                let is_closed = crosses && !need.may_cross;
                if !holds || is_closed || stands_in(&labels, previous, index) {
                    continue;
                }
                let entry = previous.map_or_else(
                    || entry_cost(need, candidate),
                    |label: usize| {
                        let label = &labels[label];
                        let zone = &candidates[label.candidate].zone;
                        label.cost + hop_cost(model, zone, &candidate.zone, need)
                    },
                );
                for next in position + 1..boundaries.len() {
                    if boundaries[next] > candidate.layers.end() {
                        break;
                    }
                    let count = boundaries[next] - boundary;
                    at[next].push(labels.len());
                    labels.push(Label {
                        cost: entry + run_cost(model, candidate, count, need),
                        boundary: boundaries[next],
                        candidate: index,
                        previous,
                    });
                }
            }
        }
    }
    let cost = |label: &usize| labels[*label].cost;
    let last = at.last()?.iter().copied();
    let best = last.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    unwind(candidates, &labels, best, from)
}

/// Whether an engine is already part of a partial path.
fn stands_in(labels: &[Label], mut at: Option<usize>, candidate: usize) -> bool {
    while let Some(index) = at {
        if labels[index].candidate == candidate {
            return true;
        }
        at = labels[index].previous;
    }
    false
}

fn unwind(candidates: &[Candidate], labels: &[Label], last: usize, from: u32) -> Option<Vec<Part>> {
    let mut parts = Vec::new();
    let mut at = Some(last);
    while let Some(index) = at {
        let label = &labels[index];
        let start = label
            .previous
            .map_or(from, |previous| labels[previous].boundary);
        let candidate = &candidates[label.candidate];
        parts.push(Part {
            server: candidate.server.clone(),
            address: candidate.address,
            layers: layer::Range::new(start, label.boundary).ok()?,
        });
        at = label.previous;
    }
    parts.reverse();
    Some(parts)
}

/// Milliseconds that an engine spends on a request, weighted by how full its memory is.
fn run_cost(model: &Model, candidate: &Candidate, layers: u32, need: Request<'_>) -> f64 {
    let read = read_ms(model, candidate, layers, need.prompt);
    let write = need.answer * (step_ms(model, candidate, layers) + PART_MS);
    let fill = candidate.work.tokens / candidate.token_capacity.max(1.0);
    (read + write) * candidate.preference * (1.0 + FILL_COST * fill * fill)
}

/// Milliseconds until an engine has read a prompt through some of its layers, behind those that wait.
fn read_ms(model: &Model, candidate: &Candidate, layers: u32, prompt: f64) -> f64 {
    let share = f64::from(layers) / f64::from(model.layers);
    let unread = prompt + candidate.work.unread;
    share * unread / model.read_tokens_per_ms * candidate.read_factor
}

/// Milliseconds that an engine takes for a decode step through some of its layers at its present load.
fn step_ms(model: &Model, candidate: &Candidate, layers: u32) -> f64 {
    let share = f64::from(layers) / f64::from(model.layers);
    let step = model.step_ms
        + model.step_request_ms * f64::from(candidate.work.requests)
        + model.step_context_ms * candidate.work.tokens / 1_000.0;
    share * step * candidate.step_factor
}

/// What it costs to begin at an engine: for the first engine of a path the preference of this host's zone,
/// for later ones nothing here, since the engine before is not among the candidates of a repair.
fn entry_cost(need: Request<'_>, candidate: &Candidate) -> f64 {
    if need.zone == &candidate.zone {
        0.0
    } else {
        ENTRY_ZONE_MS
    }
}

/// Milliseconds that a request spends between two engines.
fn hop_cost(model: &Model, from: &id::Zone, to: &id::Zone, need: Request<'_>) -> f64 {
    if from == to {
        return 0.0;
    }
    let bits = (need.prompt + need.answer) * model.activation_bytes * 8.0;
    let transfer = bits / (model.zone_link_mbps.max(1.0) * 1_000.0);
    need.answer * model.delay_ms(from, to) + transfer * ZONE_LINK_CONTENTION
}
