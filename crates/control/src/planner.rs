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
use crate::planner::orders::Orders;
use crate::planner::orders::Refused;
use crate::planner::seat::Seat;
use crate::shared::Shared;
use agatemill_config::Document;
use agatemill_config::Envelope;
use agatemill_config::document::Engine;
use agatemill_core::id;
use agatemill_engine::Status;
use agatemill_membership::State;
use agatemill_platform::Client;
use agatemill_platform::Error;
use agatemill_platform::Swap;

pub mod bucket;
mod orders;
pub mod plan;
mod seat;
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
}

/// Contends for the planner's lease, and plans while it is held. Only the members that watch the
/// platform contend, so that the number of calls does not grow with the number of hosts.
pub(crate) async fn run(shared: Arc<Shared>, client: Client) {
    let orders = Orders::default();
    loop {
        if is_eligible(&shared) {
            match Seat::gain(&shared, &client).await {
                Ok(Some(seat)) => serve_term(&shared, &client, &orders, seat).await,
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
    own.state == State::Alive && placement::watches(own, machine.others())
}

async fn serve_term(shared: &Arc<Shared>, client: &Client, orders: &Orders, mut seat: Seat) {
    let fence = seat.term.fence;
    log::info!(fence:%; "planner: term started");
    shared.planner.store(true, Ordering::Relaxed);
    let mut work = Work {
        bucket: Bucket::new(agatemill_runtime::now()),
        ordered: BTreeMap::new(),
    };
    while seat.term.holds(agatemill_runtime::now()) && is_eligible(shared) {
        if let Err(error) = write_back(shared, client, &seat).await {
            log::debug!(error:%; "planner: cannot compare the configuration");
        }
        // Renewals must go on while engines are slow, so a pass may be cut short between two orders.
        let pass = plan(shared, orders, &seat, &mut work);
        if let Some(Err(Refused::Fenced)) = agatemill_runtime::timeout(INTERVAL, pass).await {
            log::warn!(fence:%; "planner: an engine has seen a newer fencing number");
            break;
        }
        agatemill_runtime::sleep(INTERVAL / 2).await;
        if let Err(error) = seat.renew(client).await {
            log::warn!(error:%; "planner: cannot renew the lease");
            if error == Error::LeaseLapsed {
                break;
            }
        }
    }
    shared.planner.store(false, Ordering::Relaxed);
    log::info!(fence:%; "planner: term ended");
    seat.close(shared, client).await;
}

/// Writes the configuration held back when the platform has lost it.
async fn write_back(shared: &Shared, client: &Client, seat: &Seat) -> Result<(), Error> {
    let Some(held) = shared.configuration.envelope() else {
        return Ok(());
    };
    let key = format!("/agatemill/{}/configuration", shared.settings.environment);
    let (found, revision) = match client.get(&key).await? {
        Some(entry) => {
            let envelope: Envelope = serde_json::from_slice(&entry.value)
                .map_err(|error| Error::Malformed(error.to_string()))?;
            (envelope.generation.0, entry.revision)
        }
        None => (0, agatemill_core::number::Revision(0)),
    };
    if found >= held.generation.0 {
        return Ok(());
    }
    shared
        .configuration
        .note_reverted(agatemill_core::number::Generation(found));
    if !seat.term.holds(agatemill_runtime::now()) {
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
    seat: &Seat,
    work: &mut Work,
) -> Result<(), Refused> {
    let Some(document) = document_of(shared) else {
        return Ok(());
    };
    let statuses = read_all(orders, &document.engines).await;
    let now = agatemill_runtime::now();
    work.ordered
        .retain(|_, at| now.saturating_sub(*at) < REPEAT);
    let ordered: BTreeSet<_> = work.ordered.keys().cloned().collect();
    for engine in plan::loads(&document.engines, &statuses, &ordered) {
        let now = agatemill_runtime::now();
        if !seat.term.may_order(now, engine.fencing) {
            continue;
        }
        if !work.bucket.take(now, document.settings.load_rate) {
            return Ok(());
        }
        // Noted before the order is sent, because a cancelled pass may have sent it.
        work.ordered.insert(engine.name.clone(), now);
        order(orders, seat, engine).await?;
    }
    Ok(())
}

async fn order(orders: &Orders, seat: &Seat, engine: &Engine) -> Result<(), Refused> {
    if !seat
        .term
        .may_order(agatemill_runtime::now(), engine.fencing)
    {
        return Ok(());
    }
    let answer = orders
        .send(engine, seat.term.fence, plan::load(engine))
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
    let changed =
        status.is_some_and(|status| status.layers.is_none() || plan::holds(engine, &status));
    if !changed {
        log::warn!(engine:% = engine.name; "planner: the engine's state has not changed yet");
    }
    Ok(())
}

fn document_of(shared: &Shared) -> Option<Document> {
    let held = shared.configuration.envelope()?;
    document::parse(&held.text).ok()
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
