//! The planner: at most one control at a time gives orders to engines.

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
use crate::planner::orders::Refused;
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

/// Time between two attempts to gain the lease, and longest duration of a pass over the engines. With the
/// pause and the calls to the platform, two renewals are at most 6 s apart, the length of a term.
const INTERVAL: Duration = Duration::from_secs(2);

/// Engines whose state is read at once.
const READS: usize = 32;

/// Time after which an order is repeated to an engine that took it and has not changed its state.
const REPEAT: Duration = Duration::from_secs(30);

/// Work of one term.
struct Work {
    bucket: Bucket,
    /// Engines that took an order, and when.
    ordered: BTreeMap<id::Server, Duration>,
    /// What the last document asks for.
    wanted: Option<Wanted>,
    /// Configuration at the platform that needed no writing back.
    compared: Option<Compared>,
}

/// What a document asks of the planner. Kept, because parsing a large document several times a second takes
/// more than the processor time and memory of all other work.
#[derive(Clone)]
struct Wanted {
    generation: Generation,
    engines: Arc<[Engine]>,
    load_rate: Rate,
}

/// A configuration at the platform that is not older than the one held.
#[derive(PartialEq, Eq)]
struct Compared {
    revision: Revision,
    /// The generation held, and how often an older one was found: the platform may give the same revision
    /// to another document after a loss of data, which the watch of this host then notices.
    held: Generation,
    reverted: u64,
}

/// Contends for the planner's lease, and plans while it is held. Only the members that watch the
/// platform contend, so that the number of calls does not grow with the number of hosts.
pub(crate) async fn run(shared: Arc<Shared>, client: Client) {
    let orders = Orders::default();
    loop {
        if is_eligible(&shared) {
            match Leadership::gain(&shared, &client).await {
                Ok(Some(leadership)) => serve_term(&shared, &client, &orders, leadership).await,
                Ok(None) => {}
                Err(error) => log::debug!(error:%; "planner: cannot contend for the lease"),
            }
        }
        agatemill_runtime::sleep(INTERVAL).await;
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
    let mut work = Work {
        bucket: Bucket::new(agatemill_runtime::now()),
        ordered: BTreeMap::new(),
        wanted: None,
        compared: None,
    };
    while leadership.term.is_active(agatemill_runtime::now()) && is_eligible(shared) {
        if let Err(error) = write_back(shared, client, &leadership, &mut work).await {
            log::debug!(error:%; "planner: cannot compare the configuration");
        }
        // Renewals must go on while engines are slow, so a pass may be cut short between two orders.
        let pass = plan(shared, orders, &leadership, &mut work);
        if let Some(Err(Refused::Fenced)) = agatemill_runtime::timeout(INTERVAL, pass).await {
            log::warn!(fence:%; "planner: an engine has seen a newer fencing number");
            break;
        }
        agatemill_runtime::sleep(INTERVAL / 2).await;
        if let Err(error) = leadership.renew(client).await {
            log::warn!(error:%; "planner: cannot renew the lease");
            if error == Error::LeaseLapsed {
                break;
            }
        }
    }
    shared.planner.store(false, Ordering::Relaxed);
    log::info!(fence:%; "planner: term ended");
    leadership.close(shared, client).await;
}

/// Writes the configuration held back when the platform has lost it.
async fn write_back(
    shared: &Shared,
    client: &Client,
    leadership: &Leadership,
    work: &mut Work,
) -> Result<(), Error> {
    let reverted = shared.configuration.rollbacks();
    let generation = shared.configuration.generation();
    let compared = |revision| Compared {
        revision,
        held: generation,
        reverted,
    };
    let key = format!("/agatemill/{}/configuration", shared.settings.environment);
    if work.compared.is_some() {
        // The revision alone, because this runs several times a second and the document may be large.
        let revision = client.revision(&key).await?;
        if work.compared == revision.map(compared) {
            return Ok(());
        }
    }
    let Some(held) = shared.configuration.envelope() else {
        return Ok(());
    };
    let (found, revision) = match client.get(&key).await? {
        Some(entry) => {
            let envelope: Envelope = serde_json::from_slice(&entry.value)
                .map_err(|error| Error::Malformed(error.to_string()))?;
            (envelope.generation.0, entry.revision)
        }
        None => (0, Revision(0)),
    };
    if found >= held.generation.0 {
        work.compared = Some(compared(revision));
        return Ok(());
    }
    shared.configuration.record_rollback(Generation(found));
    if !leadership.term.is_active(agatemill_runtime::now()) {
        return Ok(());
    }
    let value = serde_json::to_vec(&held).map_err(|error| Error::Malformed(error.to_string()))?;
    // An uncertain write needs no reading back: the next pass compares again.
    if let Swap::Done(_) = client.swap(&key, &value, revision, None).await? {
        log::error!(generation:% = held.generation, found;
            "planner: wrote the newer configuration back");
    }
    Ok(())
}

/// Compares the engines with the document, and orders loads as far as the weight store allows.
async fn plan(
    shared: &Shared,
    orders: &Orders,
    leadership: &Leadership,
    work: &mut Work,
) -> Result<(), Refused> {
    let Some(wanted) = wanted(shared, work) else {
        return Ok(());
    };
    let statuses = read_all(orders, &wanted.engines).await;
    let now = agatemill_runtime::now();
    work.ordered
        .retain(|_, at| now.saturating_sub(*at) < REPEAT);
    let ordered: BTreeSet<_> = work.ordered.keys().cloned().collect();
    for engine in plan::pending_loads(&wanted.engines, &statuses, &ordered) {
        let now = agatemill_runtime::now();
        if !leadership.term.may_order(now, engine.fencing) {
            continue;
        }
        if !work.bucket.try_take(now, wanted.load_rate) {
            return Ok(());
        }
        // Noted before the order is sent, because a cancelled pass may have sent it.
        work.ordered.insert(engine.name.clone(), now);
        order(orders, leadership, engine).await?;
    }
    Ok(())
}

async fn order(orders: &Orders, leadership: &Leadership, engine: &Engine) -> Result<(), Refused> {
    if !leadership
        .term
        .may_order(agatemill_runtime::now(), engine.fencing)
    {
        return Ok(());
    }
    let answer = orders
        .send(engine, leadership.term.fence, plan::load_action(engine))
        .await;
    match answer {
        Err(Refused::Fenced) => return Err(Refused::Fenced),
        Err(error) => {
            log::warn!(engine:% = engine.name, error:%; "planner: an order was not taken");
        }
        Ok(()) => log::info!(engine:% = engine.name, model:% = engine.model,
            version:% = engine.version, layers:% = engine.layers; "planner: ordered a load"),
    }
    let status = orders.status(engine).await;
    let changed = status.is_some_and(|status| {
        status.layers.is_none() || plan::has_assigned_layers(engine, &status)
    });
    if !changed {
        log::warn!(engine:% = engine.name; "planner: the engine's state has not changed yet");
    }
    Ok(())
}

/// What the document held asks for; parsed once for each generation.
fn wanted(shared: &Shared, work: &mut Work) -> Option<Wanted> {
    let generation = shared.configuration.generation();
    let kept = work.wanted.take();
    work.wanted = kept.filter(|wanted| wanted.generation == generation);
    if work.wanted.is_none() {
        let held = shared.configuration.envelope()?;
        let document = document::parse(&held.text).ok()?;
        work.wanted = Some(Wanted {
            generation: held.generation,
            engines: document.engines.into(),
            load_rate: document.settings.load_rate,
        });
    }
    work.wanted.clone()
}

async fn read_all(orders: &Orders, engines: &[Engine]) -> BTreeMap<id::Server, Status> {
    // Owned values, since a closure over references is not general enough for a spawned task.
    let reads = engines.iter().cloned().map(|engine| {
        let orders = orders.clone();
        async move {
            let status = orders.status(&engine).await?;
            Some((engine.name, status))
        }
    });
    let found = futures::stream::iter(reads).buffer_unordered(READS);
    let found: Vec<_> = found.collect().await;
    found.into_iter().flatten().collect()
}
