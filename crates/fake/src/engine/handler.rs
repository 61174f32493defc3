//! HTTP side of a stand-in engine.

use core::future::pending;
use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use serde::de::DeserializeOwned;
use smol::channel;
use smol::channel::Sender;

use crate::engine::Shared;
use crate::engine::faults::take;
use crate::engine::lock;
use crate::engine::queue::Delivery;
use crate::engine::state::failure;
use crate::server::Answer;
use crate::server::Body;
use crate::server::cut;
use crate::server::json;
use crate::server::whole;
use agatemill_engine::Failure;
use agatemill_engine::Order;
use agatemill_engine::Reply;
use agatemill_engine::Step;
use agatemill_engine::failure::Code;
use agatemill_engine::order::Action;
use agatemill_engine::transfer;

/// Answers a request. `work` wakes the scheduler.
pub async fn answer(request: Request<Bytes>, state: Shared, work: Sender<()>) -> Answer {
    let path = request.uri().path().to_owned();
    let body = request.body();
    if !path.starts_with("/fake/") && lock(&state).faults.freeze {
        return pending().await;
    }
    let now = agatemill_runtime::now();
    let answer = match (path.as_str(), request.method() == Method::GET) {
        ("/v1/step", false) => return step(body, &state, &work).await,
        ("/v1/cancel", false) => done(parse(body).map(|name: transfer::Name| {
            lock(&state).cancel(&name.session);
        })),
        ("/v1/export", false) => export(body, &state),
        ("/v1/import", false) => done(unpack(body).and_then(|cache| lock(&state).import(&cache))),
        ("/v1/orders", false) => done(parse(body).and_then(|sent| order(sent, &state))),
        ("/v1/status", true) => json(200, &lock(&state).report(now)),
        ("/v1/events", true) => events(request.uri().query(), &state, now),
        ("/fake/executions", true) => json(200, &lock(&state).executions),
        ("/fake/faults", false) => done(parse(body).map(|faults| lock(&state).faults = faults)),
        _ => refuse(&failure(Code::BadRequest, "no such call")),
    };
    Some(answer)
}

fn export(body: &Bytes, state: &Shared) -> Response<Body> {
    let cache = parse(body).and_then(|name: transfer::Name| lock(state).export(&name.session));
    match cache {
        Ok(cache) => whole(200, pack(&cache)),
        Err(failure) => refuse(&failure),
    }
}

async fn step(body: &Bytes, state: &Shared, work: &Sender<()>) -> Answer {
    let step: Step = match unpack(body) {
        Ok(step) => step,
        Err(failure) => return Some(refuse(&failure)),
    };
    let (sender, receiver) = channel::bounded(1);
    match admit(step, state, sender) {
        Admission::Waits => {}
        Admission::Hangs => return pending().await,
        Admission::Refused(failure) => return Some(refuse(&failure)),
    }
    // A full channel means that the scheduler is awake already.
    let _ = work.try_send(());
    let result = receiver.recv().await.ok()?;
    if lock(state).faults.freeze {
        return pending().await;
    }
    match result {
        Ok(delivery) => deliver(delivery).await,
        Err(failure) => Some(refuse(&failure)),
    }
}

/// What happens to a step on its arrival.
enum Admission {
    Waits,
    Hangs,
    Refused(Failure),
}

fn admit(step: Step, state: &Shared, sender: Sender<Result<Delivery, Failure>>) -> Admission {
    let mut state = lock(state);
    if take(&mut state.faults.hang) {
        return Admission::Hangs;
    }
    if take(&mut state.faults.fail) {
        return Admission::Refused(failure(Code::Internal, "fault"));
    }
    if take(&mut state.faults.refuse) {
        return Admission::Refused(failure(state.faults.code, "fault"));
    }
    if state.queue.waiting() >= state.settings.queue {
        return Admission::Refused(failure(Code::Overloaded, "the queue is full"));
    }
    if let Err(failure) = state.check(&step) {
        return Admission::Refused(failure);
    }
    state.queue.push(step, sender);
    Admission::Waits
}

async fn deliver(delivery: Delivery) -> Answer {
    let body = |reply: &Reply| pack(reply);
    match delivery {
        Delivery::Whole(reply) => Some(whole(200, body(&reply))),
        Delivery::Late(reply, delay) => {
            agatemill_runtime::sleep(delay).await;
            Some(whole(200, body(&reply)))
        }
        Delivery::Cut(reply) => Some(cut(body(&reply))),
        Delivery::Lose => None,
    }
}

fn order(order: Order, state: &Shared) -> Result<(), Failure> {
    let mut locked = lock(state);
    locked.order(&order)?;
    let delay = Duration::from_millis(locked.settings.load_delay);
    drop(locked);
    if let Action::Load {
        model,
        version,
        layers,
        ..
    } = order.action
    {
        let state = Arc::clone(state);
        let load = async move {
            agatemill_runtime::sleep(delay).await;
            lock(&state).loaded(model, version, layers);
        };
        agatemill_runtime::spawn(load).detach();
    }
    Ok(())
}

fn events(query: Option<&str>, state: &Shared, now: Duration) -> Response<Body> {
    let after = query.and_then(|query| query.strip_prefix("after="));
    let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
    let state = lock(state);
    let until = now.saturating_sub(Duration::from_millis(state.settings.event_lag));
    let events = state
        .prefixes
        .events(after, until, state.settings.event_gap);
    json(200, &events)
}

fn done(result: Result<(), Failure>) -> Response<Body> {
    match result {
        Ok(()) => json(200, &()),
        Err(failure) => refuse(&failure),
    }
}

fn refuse(failure: &Failure) -> Response<Body> {
    let status = match failure.code {
        Code::Overloaded | Code::Draining => 503,
        Code::Internal => 500,
        Code::BadRequest => 400,
        _ => 409,
    };
    json(status, failure)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| failure(Code::BadRequest, error.to_string()))
}

fn unpack<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    rmp_serde::from_slice(body).map_err(|error| failure(Code::BadRequest, error.to_string()))
}

fn pack(value: &impl serde::Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("answers are always valid MessagePack")
}
