//! Selects the engines of streams from this host's view of the platform.

use core::net::SocketAddrV4;
use core::time::Duration;

use crate::State;
use crate::admission;
use crate::admission::Assessment;
use crate::clock;
use crate::exchange::Job;
use crate::throttle;
use agatemill_adapter::header;
use agatemill_core::id;
use agatemill_fleet::Model;
use agatemill_fleet::Path;
use agatemill_fleet::Server;
use agatemill_fleet::admission::Claim;
use agatemill_fleet::admission::Room;
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

/// Why there is no path for a request, and what that depended on.
#[derive(Clone, Debug)]
pub struct Shortage {
    /// What is missing.
    pub missing: Missing,
    /// Set if requests for the service differ in urgency.
    pub assessment: Option<Box<Assessment>>,
}

/// Engines of a model as candidates for path selection.
struct Fleet {
    candidates: Vec<Candidate>,
    /// Tokens of this host's requests that the reported load does not include. Each request passes through all layers once.
    unreported: f64,
}

/// Engines of a model, while the share `remaining` of the load that other hosts reported is left. A path may not start at the
/// addresses in `excluded`.
fn candidates(
    state: &State,
    job: &Job,
    model: &Model,
    excluded: &[SocketAddrV4],
    remaining: f64,
) -> Fleet {
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
    let mut unreported = 0.0;
    let candidates = servers.iter().filter_map(|server| {
        let layers = server.layers.filter(|layers| model.has_layers(*layers))?;
        let accelerator = model.accelerator(server.accelerator.as_deref()?)?;
        let own = load.of(&server.id);
        let usage = census.estimate_remaining(server.key, own, hosts, remaining, now);
        let share = f64::from(layers.count()) / f64::from(model.layers);
        unreported += census.unreported(server.key, own) * share;
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
    let candidates = candidates.collect();
    Fleet {
        candidates,
        unreported,
    }
}

/// Whether this host's share of the inter-zone bandwidth allows a path that crosses zones.
fn may_cross(state: &State, model: &Model, candidates: &[Candidate]) -> bool {
    let hosts = state.view().members.len();
    let share = link::share(model, zones(candidates).len(), hosts);
    state.link().is_open(share, agatemill_runtime::now())
}

/// Zones of the engines.
fn zones(candidates: &[Candidate]) -> Vec<id::Zone> {
    let mut zones: Vec<&id::Zone> = candidates.iter().map(|engine| &engine.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().cloned().collect()
}

/// Chooses the path of a request, takes a credit for its first engine and charges its traffic to the inter-zone links.
/// The path does not start at the addresses in `excluded`, which run the request already. A request with a greater `claim` is
/// let in before others.
///
/// # Errors
///
/// [`Shortage`] when no path is free, when the prompts queued at its engines take too long to read, or when a stream that has
/// not been sent before is likely to outlast the process.
pub fn choose(
    state: &State,
    job: &Job,
    model: &Model,
    size: Size,
    excluded: &[SocketAddrV4],
    claim: Claim,
) -> Result<Path, Shortage> {
    let zone = state.settings().zone.clone();
    let news = admission::news(state, job);
    let engines = state.view().servers(&job.service).len();
    let forecast = news.as_ref().map(|news| news.forecast);
    let forecast = forecast.filter(|forecast| forecast.steps(model, engines) > 0);
    let remaining = forecast.map_or(1.0, |forecast| forecast.remaining());
    let fleet = candidates(state, job, model, excluded, remaining);
    let Fleet {
        mut candidates,
        unreported,
    } = fleet;
    let mut request = Request {
        zone: &zone,
        prompt: size.prompt,
        answer: size.answer,
        may_cross: may_cross(state, model, &candidates),
        fill: 1.0,
        start: Start::Allowed,
    };
    let assessment = news.map(|news| {
        if let Some(forecast) = forecast {
            let zones = zones(&candidates);
            let zones: Vec<&id::Zone> = zones.iter().collect();
            forecast.place(model, &mut candidates, &zones, request, unreported);
        }
        Box::new(Assessment::new(news, Room::of(model, &candidates)))
    });
    if let Some(assessment) = &assessment {
        request.fill = assessment.fill(job, claim);
    }
    let limit = if assessment.is_some() && claim == Claim::New {
        let waited = agatemill_runtime::now().saturating_sub(job.arrived);
        job.route.target_latency.saturating_sub(waited)
    } else {
        job.route.target_latency * MAX_FIRST_EVENT_MULTIPLE
    };
    let path = match Path::choose(model, &candidates, request) {
        Ok(path) => path,
        Err(missing) => {
            return Err(Shortage {
                missing,
                assessment,
            });
        }
    };
    let read_ms = path.read_ms(model, &candidates, size.prompt);
    let token_ms = path.token_ms(model, &candidates);
    let gap_ms = job.route.gap_target.unwrap_or(Duration::MAX).as_secs_f64() * 1_000.0;
    let is_slow = assessment.is_some() && token_ms * model.pass_tokens > gap_ms;
    if read_ms > limit.as_secs_f64() * 1_000.0 || is_slow {
        let missing = Missing::Time;
        return Err(Shortage {
            missing,
            assessment,
        });
    }
    let stream_ms = read_ms + size.answer * token_ms;
    if claim == Claim::New && !state.may_outlast(stream_ms) {
        let missing = Missing::Uptime;
        return Err(Shortage {
            missing,
            assessment,
        });
    }
    if !throttle::take(state, Key::from(&path.first().server)) {
        let missing = Missing::Limit;
        return Err(Shortage {
            missing,
            assessment,
        });
    }
    let crossings = path.crossings(&candidates);
    let tokens = size.prompt + size.answer;
    state.link().charge(model, tokens, crossings);
    let (fill, urgency) = (request.fill, job.urgency());
    if assessment.is_some() && claim == Claim::New {
        let waited = agatemill_runtime::now().saturating_sub(job.arrived);
        state.metrics.record_admission(urgency, fill, waited);
    }
    log::info!(
        request:% = job.parameters.attempt, path:% = header::encode_path(path.parts()), token_ms, read_ms, fill, urgency:%;
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
    let candidates = candidates(state, job, model, &[], 1.0).candidates;
    let request = Request {
        zone: &zone,
        // The new engines read the prompt and the output so far.
        prompt: size.prompt + size.answer / 2.0,
        answer: size.answer / 2.0,
        may_cross: may_cross(state, model, &candidates),
        fill: 1.0,
        start: Start::Allowed,
    };
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
