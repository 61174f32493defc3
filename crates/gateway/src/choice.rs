//! Chooses the engines of streams from what this host knows.

use crate::State;
use crate::exchange::Job;
use crate::stall;
use agatemill_adapter::header;
use agatemill_core::id;
use agatemill_fleet::Model;
use agatemill_fleet::Path;
use agatemill_fleet::link;
use agatemill_fleet::path::Candidate;
use agatemill_fleet::path::Missing;
use agatemill_fleet::path::Need;
use agatemill_fleet::path::Part;
use agatemill_fleet::server;

/// Longest time to read the prompts before a first event, in times in which it is on time. Callers leave
/// after four times; a request that would not make it is refused while it can still go elsewhere.
const MAX_FIRST_EVENT_MULTIPLE: u32 = 3;

/// Share by which a host's view of an engine's cost varies at random from request to request: what is known
/// of the other hosts' work is some hundred milliseconds old, and all would choose the same engines.
const COST_JITTER: f64 = 0.15;

/// Prompt and answer sizes of a request in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Tokens to read.
    pub prompt: f64,
    /// Expected tokens to write.
    pub answer: f64,
}

impl Size {
    /// The size that a caller states, with the model's usual sizes where it does not.
    #[must_use]
    pub fn of(job: &Job, model: &Model) -> Self {
        let demand = &job.demand;
        let most = demand.max_answer.unwrap_or(f64::INFINITY);
        // The estimate is right at the median only, so the usual size pulls it towards the middle.
        let expected = demand.estimated_answer.map_or(model.usual_answer, |hint| {
            f64::midpoint(hint, model.usual_answer)
        });
        Self {
            prompt: demand.prompt.unwrap_or(model.usual_prompt),
            answer: expected.min(most),
        }
    }
}

/// Engines of a model as the choice of a path sees them.
fn candidates(state: &State, job: &Job, model: &Model) -> Vec<Candidate> {
    let now = agatemill_runtime::now();
    let view = state.view();
    let hosts = view.members.len();
    let servers = view.servers(&job.service).to_vec();
    drop(view);
    let load = state.load();
    let census = state.census();
    let suspicion = state.suspicion();
    let candidates = servers.iter().filter_map(|server| {
        let layers = server.layers?;
        let accelerator = model.accelerator(server.accelerator.as_deref()?)?;
        let work = census.estimate(server.key, load.of(&server.id), hosts, now);
        Some(Candidate {
            server: server.id.clone(),
            address: server.address,
            zone: server.zone.clone(),
            layers,
            step_factor: accelerator.step_factor,
            read_factor: accelerator.read_factor,
            room: model.room(accelerator, layers.count()),
            work,
            preference: 1.0 + COST_JITTER * fastrand::f64(),
            is_usable: server.state == server::State::Ready
                && !suspicion.is_avoided(&server.address, now),
        })
    });
    candidates.collect()
}

/// Whether this host's part of the links between zones allows a path that crosses them.
fn may_cross(state: &State, job: &Job, model: &Model) -> bool {
    let view = state.view();
    let servers = view.servers(&job.service);
    let mut zones: Vec<&id::Zone> = servers.iter().map(|server| &server.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let share = link::share(model, zones.len(), view.members.len());
    state.link().is_open(share, agatemill_runtime::now())
}

/// Chooses the path of a new request, and notes what it sends between zones.
///
/// # Errors
///
/// [`Missing`] when no path is free, or the prompts that wait for its engines take too long to read.
pub fn choose(state: &State, job: &Job, model: &Model, size: Size) -> Result<Path, Missing> {
    let zone = state.settings().zone.clone();
    let need = Need {
        zone: &zone,
        prompt: size.prompt,
        answer: size.answer,
        may_cross: may_cross(state, job, model),
    };
    let candidates = candidates(state, job, model);
    let path = Path::choose(model, &candidates, need)?;
    let limit = job.route.target_latency * MAX_FIRST_EVENT_MULTIPLE;
    let read_ms = path.read_ms(model, &candidates, size.prompt);
    if read_ms > limit.as_secs_f64() * 1_000.0 {
        return Err(Missing::Time);
    }
    let crossings = path.crossings(&candidates);
    let tokens = size.prompt + size.answer;
    state.link().charge(model, tokens, crossings);
    let token_ms = path.token_ms(model, &candidates);
    log::info!(
        request:% = job.demand.attempt, path:% = header::encode_path(path.parts()), token_ms;
        "stream: path chosen"
    );
    Ok(path)
}

/// Chooses engines in place of the lost ones of a running request, and notes what they send between zones.
///
/// # Errors
///
/// [`Missing`] when a lost part has no other engine that may be used.
pub fn repair(state: &State, job: &Job, model: &Model, path: &Path) -> Result<Path, Missing> {
    let zone = state.settings().zone.clone();
    let size = Size::of(job, model);
    let need = Need {
        zone: &zone,
        // The new engines read the prompt and what was written since.
        prompt: size.prompt + size.answer / 2.0,
        answer: size.answer / 2.0,
        may_cross: may_cross(state, job, model),
    };
    let candidates = candidates(state, job, model);
    let is_lost = |part: &Part| stall::is_lost(state, part.address);
    let repaired = path.repair(model, &candidates, need, is_lost)?;
    // A part that is replaced in another zone crosses twice, which the choice of its engines does not see.
    let before = path.crossings(&candidates);
    let added = repaired.crossings(&candidates).saturating_sub(before);
    if added > 0 && !need.may_cross {
        return Err(Missing::Room);
    }
    let tokens = size.prompt + size.answer;
    state.link().charge(model, tokens, added);
    Ok(repaired)
}
