//! The planner: at most one control at a time sends orders to engines.

use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use futures::StreamExt;

use crate::document;
use crate::placement;
use crate::planner::bucket::Bucket;
use crate::planner::leadership::Leadership;
use crate::planner::orders::Orders;
use crate::planner::orders::Rejection;
use crate::shared::Shared;
use agatemill_config::Envelope;
use agatemill_config::document::Engine;
use agatemill_core::id;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;
use agatemill_core::quantity::Rate;
use agatemill_engine::Status;
use agatemill_membership::State;
use agatemill_platform::Client;
use agatemill_platform::Error;
use agatemill_platform::Swap;

pub mod bucket;
mod leadership;
mod orders;
pub mod plan;
pub mod term;

/// Time between two attempts to acquire the lease, and time limit of a pass over the engines. Including the
/// pause and the calls to the platform, two renewals are at most 6 s apart, the length of a term.
const PASS_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of concurrent status requests to engines.
const MAX_CONCURRENT_READS: usize = 32;

/// Time after which an order is sent again to an engine that accepted it and has not changed its state.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// State of the planner during one term.
struct TermState {
    bucket: Bucket,
    /// Engines with a recent order, and the time of the order.
    ordered: BTreeMap<id::Server, Duration>,
    /// Target state from the last document.
    target: Option<Target>,
    /// Last configuration at the platform that needed no write-back.
    comparison: Option<Comparison>,
}

/// Target state that a document defines. Cached, because parsing a large document several times a second takes
/// more processor time and memory than everything else that the control does.
#[derive(Clone)]
struct Target {
    generation: Generation,
    engines: Arc<[Engine]>,
    load_rate: Rate,
}

/// A configuration at the platform that is not older than the current one.
#[derive(PartialEq, Eq)]
struct Comparison {
    revision: Revision,
    /// Current generation and number of rollbacks at the time of the comparison. After a loss of data, the platform
    /// may assign the same revision to another document; the watch of this host then detects a rollback.
    generation: Generation,
    rollbacks: u64,
}

/// Contends for the planner's lease, and plans while it holds the lease. Only watchers of the platform contend, so
/// that the number of calls does not grow with the number of hosts.
pub(crate) async fn run(shared: Arc<Shared>, client: Client) {
    let orders = Orders::default();
    loop {
        if is_eligible(&shared) {
            match Leadership::acquire(&shared, &client).await {
                Ok(Some(leadership)) => serve_term(&shared, &client, &orders, leadership).await,
                Ok(None) => {}
                Err(error) => log::debug!(error:%; "planner: cannot contend for the lease"),
            }
        }
        agatemill_runtime::sleep(PASS_INTERVAL).await;
    }
}

fn is_eligible(shared: &Shared) -> bool {
    let machine = shared.machine();
    let own = machine.own();
    own.state == State::Alive && placement::is_watcher(own, machine.others())
}

async fn serve_term(
    shared: &Arc<Shared>,
    client: &Client,
    orders: &Orders,
    mut leadership: Leadership,
) {
    let fence = leadership.term.fence;
    log::info!(fence:%; "planner: term started");
    shared.planner.store(true, Ordering::Relaxed);
    let mut state = TermState {
        bucket: Bucket::new(agatemill_runtime::now()),
        ordered: BTreeMap::new(),
        target: None,
        comparison: None,
    };
    while leadership.term.is_active(agatemill_runtime::now()) && is_eligible(shared) {
        if let Err(error) = write_back(shared, client, &leadership, &mut state).await {
            log::debug!(error:%; "planner: cannot compare the configuration");
        }
        // The lease must be renewed even while engines are slow, so a timeout may cancel a pass between two orders.
        let pass = run_pass(shared, orders, &leadership, &mut state);
        if let Some(Err(Rejection::Fenced)) = agatemill_runtime::timeout(PASS_INTERVAL, pass).await
        {
            log::warn!(fence:%; "planner: an engine has seen a newer fencing number");
            break;
        }
        agatemill_runtime::sleep(PASS_INTERVAL / 2).await;
        if let Err(error) = leadership.renew(client).await {
            log::warn!(error:%; "planner: cannot renew the lease");
            if error == Error::LeaseExpired {
                break;
            }
        }
    }
    shared.planner.store(false, Ordering::Relaxed);
    log::info!(fence:%; "planner: term ended");
    leadership.close(shared, client).await;
}

/// Writes the current configuration back to the platform if the platform has lost it.
async fn write_back(
    shared: &Shared,
    client: &Client,
    leadership: &Leadership,
    state: &mut TermState,
) -> Result<(), Error> {
    let rollbacks = shared.configuration.rollbacks();
    let generation = shared.configuration.generation();
    let comparison = |revision| Comparison {
        revision,
        generation,
        rollbacks,
    };
    let key = format!("/agatemill/{}/configuration", shared.settings.environment);
    if state.comparison.is_some() {
        // The revision alone, because this runs several times a second and the document may be large.
        let revision = client.revision(&key).await?;
        if state.comparison == revision.map(comparison) {
            return Ok(());
        }
    }
    let Some(current) = shared.configuration.envelope() else {
        return Ok(());
    };
    let (generation_at_platform, revision) = match client.get(&key).await? {
        Some(entry) => {
            let envelope: Envelope = serde_json::from_slice(&entry.value)
                .map_err(|error| Error::Malformed(error.to_string()))?;
            (envelope.generation.0, entry.revision)
        }
        None => (0, Revision(0)),
    };
    if generation_at_platform >= current.generation.0 {
        state.comparison = Some(comparison(revision));
        return Ok(());
    }
    shared
        .configuration
        .record_rollback(Generation(generation_at_platform));
    if !leadership.term.is_active(agatemill_runtime::now()) {
        return Ok(());
    }
    let value =
        serde_json::to_vec(&current).map_err(|error| Error::Malformed(error.to_string()))?;
    // A write with an unknown outcome needs no read: the next pass compares again.
    if let Swap::Done(_) = client.swap(&key, &value, revision, None).await? {
        log::error!(generation:% = current.generation, found = generation_at_platform;
            "planner: wrote the newer configuration back");
    }
    Ok(())
}

/// Compares the engines with the document, and orders loads within the rate limit of the weight store.
async fn run_pass(
    shared: &Shared,
    orders: &Orders,
    leadership: &Leadership,
    state: &mut TermState,
) -> Result<(), Rejection> {
    let Some(target) = target(shared, state) else {
        return Ok(());
    };
    let statuses = read_statuses(orders, &target.engines).await;
    let now = agatemill_runtime::now();
    state
        .ordered
        .retain(|_, at| now.saturating_sub(*at) < ORDER_RETRY_INTERVAL);
    let ordered: BTreeSet<_> = state.ordered.keys().cloned().collect();
    for engine in plan::pending_loads(&target.engines, &statuses, &ordered) {
        let now = agatemill_runtime::now();
        if !leadership.term.may_order(now, engine.fencing) {
            continue;
        }
        if !state.bucket.try_take(now, target.load_rate) {
            return Ok(());
        }
        // Recorded before the order is sent, because a cancelled pass may have sent it.
        state.ordered.insert(engine.name.clone(), now);
        send_load(orders, leadership, engine).await?;
    }
    Ok(())
}

async fn send_load(
    orders: &Orders,
    leadership: &Leadership,
    engine: &Engine,
) -> Result<(), Rejection> {
    if !leadership
        .term
        .may_order(agatemill_runtime::now(), engine.fencing)
    {
        return Ok(());
    }
    let result = orders
        .send(engine, leadership.term.fence, plan::load_action(engine))
        .await;
    match result {
        Err(Rejection::Fenced) => return Err(Rejection::Fenced),
        Err(error) => {
            log::warn!(engine:% = engine.name, error:%; "planner: an order failed");
        }
        Ok(()) => log::info!(engine:% = engine.name, model:% = engine.model,
            version:% = engine.version, layers:% = engine.layers; "planner: ordered a load"),
    }
    let status = orders.status(engine).await;
    let changed = status.is_some_and(|status| {
        status.layers.is_none() || plan::has_assigned_layers(engine, &status)
    });
    if !changed {
        log::warn!(engine:% = engine.name; "planner: the engine does not report the load yet");
    }
    Ok(())
}

/// Target state from the current document; parsed once for each generation.
fn target(shared: &Shared, state: &mut TermState) -> Option<Target> {
    let generation = shared.configuration.generation();
    let cached = state.target.take();
    state.target = cached.filter(|target| target.generation == generation);
    if state.target.is_none() {
        let current = shared.configuration.envelope()?;
        let document = document::parse(&current.text).ok()?;
        state.target = Some(Target {
            generation: current.generation,
            engines: document.engines.into(),
            load_rate: document.settings.load_rate,
        });
    }
    state.target.clone()
}

async fn read_statuses(orders: &Orders, engines: &[Engine]) -> BTreeMap<id::Server, Status> {
    // Owned values, since a closure over references is not general enough for a spawned task.
    let reads = engines.iter().cloned().map(|engine| {
        let orders = orders.clone();
        async move {
            let status = orders.status(&engine).await?;
            Some((engine.name, status))
        }
    });
    let statuses = futures::stream::iter(reads).buffer_unordered(MAX_CONCURRENT_READS);
    let statuses: Vec<_> = statuses.collect().await;
    statuses.into_iter().flatten().collect()
}
