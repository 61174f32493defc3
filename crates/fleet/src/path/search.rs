//! Search for the path of least cost.

use std::collections::HashMap;

use crate::Model;
use crate::path::Candidate;
use crate::path::Missing;
use crate::path::Part;
use crate::path::Request;
use crate::path::Start;
use agatemill_core::id;
use agatemill_core::layer;

/// Partial paths kept at each layer boundary. A few are enough, since they differ only in the last engine.
const MAX_LABELS_PER_BOUNDARY: usize = 4;

/// Engines kept of those that hold the same layers in the same zone. They differ only in cost, and a path
/// uses one of them.
const MAX_ENGINES_PER_GROUP: usize = 2;

/// Milliseconds that each further engine adds to a token, mostly spent waiting for its current pass to end.
const ENGINE_OVERHEAD_MS: f64 = 0.15;

/// Factor on the time of a transfer between zones over that on an idle link. All requests share the link and
/// transfers run one after another, so a few crossings per request saturate it and delay every stream. With
/// this factor, paths stay within a zone unless that costs about as much again.
const ZONE_LINK_CONTENTION: f64 = 50.0;

/// Penalty in milliseconds for a first engine outside this host's zone: the bytes of the stream between zones
/// are charged for.
const REMOTE_ENTRY_PENALTY_MS: f64 = 60.0;

/// Additional cost of a full engine, relative to an empty one of the same speed. An engine that runs out of
/// memory preempts a stream, so requests are spread before that.
const MEMORY_FILL_WEIGHT: f64 = 2.0;

/// Key of a group of engines that hold the same layers in the same zone: zone, first layer, end of the layers, and
/// whether a path may start there.
type GroupKey<'a> = (&'a id::Zone, u32, u32, Start);

/// A partial path.
#[derive(Clone, Copy, Debug)]
struct Label {
    cost: f64,
    boundary: u32,
    candidate: usize,
    /// Index of the preceding label; `None` for the first part.
    previous: Option<usize>,
}

/// Finds the cheapest parts that run the layers of `span`, without the engines of `avoid`.
pub fn cheapest_parts(
    model: &Model,
    candidates: &[Candidate],
    request: Request<'_>,
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
    let has_capacity = |candidate: &Candidate| {
        let tokens = candidate.usage.tokens + request.prompt + request.answer;
        tokens <= candidate.token_capacity * request.fill
    };
    let free: Vec<usize> = (0..candidates.len())
        .filter(|index| is_free(&candidates[*index]))
        .collect();
    let with_capacity: Vec<usize> = free
        .iter()
        .copied()
        .filter(|index| has_capacity(&candidates[*index]))
        .collect();
    let with_capacity = cheapest_per_group(model, candidates, &with_capacity, request);
    if let Some(parts) = search_zones(model, candidates, &with_capacity, request, span) {
        return Ok(parts);
    }
    let is_closed = !request.may_cross;
    let request = Request {
        may_cross: true,
        ..request
    };
    if is_closed && search(model, candidates, &with_capacity, request, span).is_some() {
        return Err(Missing::Links);
    }
    let free = cheapest_per_group(model, candidates, &free, request);
    if search(model, candidates, &free, request, span).is_some() {
        return Err(Missing::Room);
    }
    let may_start_at = |start| {
        let request = Request { start, ..request };
        search(model, candidates, &free, request, span).is_some()
    };
    let has_backoff = candidates
        .iter()
        .any(|candidate| candidate.start == Start::BackingOff);
    if may_start_at(Start::Limited) {
        Err(Missing::Limit)
    } else if has_backoff && may_start_at(Start::BackingOff) {
        Err(Missing::Backoff)
    } else {
        Err(Missing::Layers)
    }
}

/// Selects the cheapest engines of each group that holds the same layers in the same zone. Fleets hold most
/// ranges many times, and the search time is proportional to the number of engines considered.
fn cheapest_per_group(
    model: &Model,
    candidates: &[Candidate],
    usable: &[usize],
    request: Request<'_>,
) -> Vec<usize> {
    let mut groups: HashMap<GroupKey<'_>, Vec<(f64, usize)>> = HashMap::new();
    for &index in usable {
        let candidate = &candidates[index];
        let layers = candidate.layers;
        let cost = run_cost(model, candidate, layers.count(), request);
        let group = groups.entry((
            &candidate.zone,
            layers.start(),
            layers.end(),
            candidate.start,
        ));
        let group = group.or_default();
        group.push((cost, index));
        if group.len() > MAX_ENGINES_PER_GROUP {
            group.sort_by(|a, b| a.0.total_cmp(&b.0));
            group.truncate(MAX_ENGINES_PER_GROUP);
        }
    }
    let mut best: Vec<usize> = groups
        .into_values()
        .flatten()
        .map(|(_, index)| index)
        .collect();
    // The order breaks ties between equal costs and must not depend on the map's iteration order.
    best.sort_unstable();
    best
}

/// Searches the cheapest parts. While paths may not cross zones, each zone is searched by itself: the few partial paths that are
/// kept at a boundary could all be of cheaper zones that lack a later layer.
fn search_zones(
    model: &Model,
    candidates: &[Candidate],
    usable: &[usize],
    request: Request<'_>,
    span: (u32, u32),
) -> Option<Vec<Part>> {
    if request.may_cross {
        return search(model, candidates, usable, request, span).map(|(_, parts)| parts);
    }
    let zone = |index: &usize| &candidates[*index].zone;
    let mut zones: Vec<&id::Zone> = usable.iter().map(zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let in_zone = |wanted: &id::Zone| {
        let inside = usable.iter().copied().filter(|index| zone(index) == wanted);
        let inside: Vec<usize> = inside.collect();
        search(model, candidates, &inside, request, span)
    };
    let paths = zones.into_iter().filter_map(in_zone);
    let cheapest = paths.min_by(|a, b| a.0.total_cmp(&b.0));
    cheapest.map(|(_, parts)| parts)
}

/// Searches the cheapest parts, and their cost, by extending partial paths from layer boundary to layer boundary, keeping the
/// [`MAX_LABELS_PER_BOUNDARY`] cheapest at each.
fn search(
    model: &Model,
    candidates: &[Candidate],
    usable: &[usize],
    request: Request<'_>,
    (from, to): (u32, u32),
) -> Option<(f64, Vec<Part>)> {
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
    let mut labels_at: Vec<Vec<usize>> = vec![Vec::new(); boundaries.len()];
    for position in 0..boundaries.len() - 1 {
        let boundary = boundaries[position];
        let mut heads = core::mem::take(&mut labels_at[position]);
        heads.sort_by(|a, b| labels[*a].cost.total_cmp(&labels[*b].cost));
        heads.truncate(MAX_LABELS_PER_BOUNDARY);
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
                let is_blocked = boundary == 0 && candidate.start > request.start;
                let is_forbidden = (crosses && !request.may_cross) || is_blocked;
                if !holds || is_forbidden || has_candidate(&labels, previous, index) {
                    continue;
                }
                let entry = previous.map_or_else(
                    || entry_cost(request, candidate),
                    |label: usize| {
                        let label = &labels[label];
                        let zone = &candidates[label.candidate].zone;
                        label.cost + hop_cost(model, zone, &candidate.zone, request)
                    },
                );
                for next in position + 1..boundaries.len() {
                    if boundaries[next] > candidate.layers.end() {
                        break;
                    }
                    let count = boundaries[next] - boundary;
                    labels_at[next].push(labels.len());
                    labels.push(Label {
                        cost: entry + run_cost(model, candidate, count, request),
                        boundary: boundaries[next],
                        candidate: index,
                        previous,
                    });
                }
            }
        }
    }
    let cost = |label: &usize| labels[*label].cost;
    let last = labels_at.last()?.iter().copied();
    let best = last.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    let parts = backtrack(candidates, &labels, best, from)?;
    Some((cost(&best), parts))
}

/// Whether a partial path already contains an engine.
fn has_candidate(labels: &[Label], mut at: Option<usize>, candidate: usize) -> bool {
    while let Some(index) = at {
        if labels[index].candidate == candidate {
            return true;
        }
        at = labels[index].previous;
    }
    false
}

/// Follows the labels back from the last one and returns the parts in the order of their layers.
fn backtrack(
    candidates: &[Candidate],
    labels: &[Label],
    last: usize,
    from: u32,
) -> Option<Vec<Part>> {
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

/// Milliseconds that an engine spends on a request, weighted by the share of its memory in use.
fn run_cost(model: &Model, candidate: &Candidate, layers: u32, request: Request<'_>) -> f64 {
    let read = read_ms(model, candidate, layers, request.prompt);
    let write = request.answer * (step_ms(model, candidate, layers) + ENGINE_OVERHEAD_MS);
    let fill = candidate.usage.tokens / candidate.token_capacity.max(1.0);
    (read + write) * candidate.preference * (1.0 + MEMORY_FILL_WEIGHT * fill * fill)
}

/// Milliseconds until an engine has read a prompt through some of its layers, including the prompts queued
/// before it.
pub fn read_ms(model: &Model, candidate: &Candidate, layers: u32, prompt: f64) -> f64 {
    let share = f64::from(layers) / f64::from(model.layers);
    let unread = prompt + candidate.usage.unread;
    share * unread / model.read_tokens_per_ms * candidate.read_factor
}

/// Milliseconds that an engine takes for a decode step through some of its layers at its current load.
pub fn step_ms(model: &Model, candidate: &Candidate, layers: u32) -> f64 {
    let share = f64::from(layers) / f64::from(model.layers);
    let step = model.step_ms
        + model.step_request_ms * f64::from(candidate.usage.requests)
        + model.step_context_ms * candidate.usage.tokens / 1_000.0;
    share * step * candidate.step_factor
}

/// Cost of starting at an engine: 0 in the zone of the request's host, else [`REMOTE_ENTRY_PENALTY_MS`]. In a
/// repair no hop is added, since the preceding engine is not among the candidates.
fn entry_cost(request: Request<'_>, candidate: &Candidate) -> f64 {
    if request.zone == &candidate.zone {
        0.0
    } else {
        REMOTE_ENTRY_PENALTY_MS
    }
}

/// Milliseconds that a request spends between two engines.
fn hop_cost(model: &Model, from: &id::Zone, to: &id::Zone, request: Request<'_>) -> f64 {
    if from == to {
        return 0.0;
    }
    let bits = (request.prompt + request.answer) * model.activation_bytes * 8.0;
    let transfer = bits / (model.zone_link_mbps.max(1.0) * 1_000.0);
    request.answer * model.delay_ms(from, to) + transfer * ZONE_LINK_CONTENTION
}
