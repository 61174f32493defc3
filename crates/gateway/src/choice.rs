//! Selects the engines of streams from this host's view of the platform.

use core::net::SocketAddrV4;

use crate::State;
use crate::clock;
use crate::exchange::Job;
use crate::throttle;
use agatemill_adapter::header;
use agatemill_core::id;
use agatemill_fleet::Model;
use agatemill_fleet::Path;
use agatemill_fleet::Server;
use agatemill_fleet::link;
use agatemill_fleet::path::Candidate;
use agatemill_fleet::path::Missing;
use agatemill_fleet::path::Part;
use agatemill_fleet::path::Request;
use agatemill_fleet::path::Start;
use agatemill_fleet::tally::Key;

/// Longest time to read the queued prompts before a first event, as a multiple of the route's target latency.
/// Callers give up after four times the target; a request that would take longer than this is refused while it
/// can still be sent elsewhere.
const MAX_FIRST_EVENT_MULTIPLE: u32 = 3;

/// Largest share that is added at random to an engine's cost for each request. The known load of other hosts is
/// some hundred milliseconds old, so without jitter all hosts would choose the same engines.
const COST_JITTER: f64 = 0.15;

/// Prompt and output sizes of a request, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Prompt tokens.
    pub prompt: f64,
    /// Expected output tokens.
    pub answer: f64,
}

impl Size {
    /// The sizes that the caller states; the model's usual sizes where it states none.
    #[must_use]
    pub fn of(job: &Job, model: &Model) -> Self {
        let parameters = &job.parameters;
        let max_output = parameters.max_answer.unwrap_or(f64::INFINITY);
        // The caller's estimate is accurate only at the median, so it is averaged with the usual size.
        let expected = parameters
            .estimated_answer
            .map_or(model.usual_answer, |estimate| {
                f64::midpoint(estimate, model.usual_answer)
            });
        Self {
            prompt: parameters.prompt.unwrap_or(model.usual_prompt),
            answer: expected.min(max_output),
        }
    }
}

/// Engines of a model as candidates for path selection. A path may not start at the addresses in `excluded`.
fn candidates(
    state: &State,
    job: &Job,
    model: &Model,
    excluded: &[SocketAddrV4],
) -> Vec<Candidate> {
    let now = agatemill_runtime::now();
    let view = state.view();
    let hosts = view.members.len();
    let servers = view.servers(&job.service).to_vec();
    drop(view);
    let load = state.load();
    let census = state.census();
    let departures = state.departures();
    let throttle = state.throttle();
    let boot_time = clock::boot_time();
    let suspicion = state.suspicion();
    let backoff = state.backoff();
    let start = |server: &Server| {
        if backoff.left(server, boot_time).is_some() {
            Start::BackingOff
        } else if excluded.contains(&server.address) || !throttle.may_send(server.key, boot_time) {
            Start::Limited
        } else {
            Start::Allowed
        }
    };
    let candidates = servers.iter().filter_map(|server| {
        let layers = server.layers.filter(|layers| model.has_layers(*layers))?;
        let accelerator = model.accelerator(server.accelerator.as_deref()?)?;
        let usage = census.estimate(server.key, load.of(&server.id), hosts, now);
        Some(Candidate {
            server: server.id.clone(),
            address: server.address,
            zone: server.zone.clone(),
            layers,
            step_factor: accelerator.step_factor,
            read_factor: accelerator.read_factor,
            token_capacity: model.token_capacity(accelerator, layers.count()),
            usage,
            preference: 1.0 + COST_JITTER * fastrand::f64(),
            is_usable: departures.is_staying(server) && !suspicion.is_avoided(&server.address, now),
            start: start(server),
        })
    });
    candidates.collect()
}

/// Whether this host's share of the inter-zone bandwidth allows a path that crosses zones.
fn may_cross(state: &State, job: &Job, model: &Model) -> bool {
    let view = state.view();
    let servers = view.servers(&job.service);
    let mut zones: Vec<&id::Zone> = servers.iter().map(|server| &server.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let share = link::share(model, zones.len(), view.members.len());
    state.link().is_open(share, agatemill_runtime::now())
}

/// Chooses the path of a request, takes a credit for its first engine and charges its traffic to the inter-zone links.
/// The path does not start at the addresses in `excluded`, which run the request already.
///
/// # Errors
///
/// [`Missing`] when no path is free, or when the prompts queued at its engines take too long to read.
pub fn choose(
    state: &State,
    job: &Job,
    model: &Model,
    size: Size,
    excluded: &[SocketAddrV4],
) -> Result<Path, Missing> {
    let zone = state.settings().zone.clone();
    let request = Request {
        zone: &zone,
        prompt: size.prompt,
        answer: size.answer,
        may_cross: may_cross(state, job, model),
        start: Start::Allowed,
    };
    let candidates = candidates(state, job, model, excluded);
    let path = Path::choose(model, &candidates, request)?;
    let limit = job.route.target_latency * MAX_FIRST_EVENT_MULTIPLE;
    let read_ms = path.read_ms(model, &candidates, size.prompt);
    if read_ms > limit.as_secs_f64() * 1_000.0 {
        return Err(Missing::Time);
    }
    if !throttle::take(state, Key::from(&path.first().server)) {
        return Err(Missing::Limit);
    }
    let crossings = path.crossings(&candidates);
    let tokens = size.prompt + size.answer;
    state.link().charge(model, tokens, crossings);
    let token_ms = path.token_ms(model, &candidates);
    log::info!(
        request:% = job.parameters.attempt, path:% = header::encode_path(path.parts()), token_ms;
        "stream: path chosen"
    );
    Ok(path)
}

/// Whether engines of the service leave and the others lack layers, so that there is no path until others have loaded
/// them.
#[must_use]
pub fn has_gap(state: &State, job: &Job, model: &Model) -> bool {
    let servers = state.view().servers(&job.service).to_vec();
    state.departures().has_gap(&servers, model.layers)
}

/// Replaces the lost engines in the path of a running request and charges the added traffic to the inter-zone
/// links.
///
/// # Errors
///
/// [`Missing`] when no usable engine can replace a lost one.
pub fn repair(state: &State, job: &Job, model: &Model, path: &Path) -> Result<Path, Missing> {
    let zone = state.settings().zone.clone();
    let size = Size::of(job, model);
    let request = Request {
        zone: &zone,
        // The new engines read the prompt and the output so far.
        prompt: size.prompt + size.answer / 2.0,
        answer: size.answer / 2.0,
        may_cross: may_cross(state, job, model),
        start: Start::Allowed,
    };
    let candidates = candidates(state, job, model, &[]);
    let now = agatemill_runtime::now();
    let suspicion = state.suspicion().clone();
    let is_lost = |part: &Part| suspicion.is_suspected(&part.address, now);
    let repaired = path.repair(model, &candidates, request, is_lost)?;
    // Replacing a part by an engine of another zone crosses zones twice, which the engine selection does not
    // take into account.
    let before = path.crossings(&candidates);
    let added = repaired.crossings(&candidates).saturating_sub(before);
    if added > 0 && !request.may_cross {
        return Err(Missing::Links);
    }
    let tokens = size.prompt + size.answer;
    state.link().charge(model, tokens, added);
    Ok(repaired)
}
