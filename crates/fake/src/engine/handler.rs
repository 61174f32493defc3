//! HTTP handlers of a fake engine.

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
use crate::engine::faults::consume;
use crate::engine::lock;
use crate::engine::queue::Delivery;
use crate::engine::state::failure;
use crate::server::Body;
use crate::server::Outcome;
use crate::server::complete;
use crate::server::json;
use crate::server::truncated;
use agatemill_engine::Failure;
use agatemill_engine::Order;
use agatemill_engine::Reply;
use agatemill_engine::Step;
use agatemill_engine::failure::Code;
use agatemill_engine::order::Action;
use agatemill_engine::transfer;

/// Handles a request. A message on `wake` wakes the scheduler.
pub async fn handle(request: Request<Bytes>, state: Shared, wake: Sender<()>) -> Outcome {
    let path = request.uri().path().to_owned();
    let body = request.body();
    if !path.starts_with("/fake/") && lock(&state).faults.freeze {
        return pending().await;
    }
    let now = agatemill_runtime::now();
    let response = match (path.as_str(), request.method() == Method::GET) {
        ("/v1/step", false) => return handle_step(body, &state, &wake).await,
        ("/v1/cancel", false) => empty_response(parse_json(body).map(|name: transfer::Name| {
            lock(&state).cancel(&name.session);
        })),
        ("/v1/export", false) => handle_export(body, &state),
        ("/v1/import", false) => {
            empty_response(decode(body).and_then(|cache| lock(&state).import(&cache)))
        }
        ("/v1/orders", false) => {
            empty_response(parse_json(body).and_then(|order| handle_order(order, &state)))
        }
        ("/v1/status", true) => json(200, &lock(&state).report(now)),
        ("/v1/events", true) => handle_events(request.uri().query(), &state, now),
        ("/fake/executions", true) => json(200, &lock(&state).executions),
        ("/fake/faults", false) => {
            empty_response(parse_json(body).map(|faults| lock(&state).faults = faults))
        }
        _ => failure_response(&failure(Code::BadRequest, "no such call")),
    };
    Some(response)
}

fn handle_export(body: &Bytes, state: &Shared) -> Response<Body> {
    let cache = parse_json(body).and_then(|name: transfer::Name| lock(state).export(&name.session));
    match cache {
        Ok(cache) => complete(200, encode(&cache)),
        Err(failure) => failure_response(&failure),
    }
}

async fn handle_step(body: &Bytes, state: &Shared, wake: &Sender<()>) -> Outcome {
    let step: Step = match decode(body) {
        Ok(step) => step,
        Err(failure) => return Some(failure_response(&failure)),
    };
    let (sender, receiver) = channel::bounded(1);
    match admit(step, state, sender) {
        Admission::Queued => {}
        Admission::Hung => return pending().await,
        Admission::Rejected(failure) => return Some(failure_response(&failure)),
    }
    // If the channel is full, the scheduler has not consumed the previous wake-up yet.
    let _ = wake.try_send(());
    let result = receiver.recv().await.ok()?;
    if lock(state).faults.freeze {
        return pending().await;
    }
    match result {
        Ok(delivery) => deliver(delivery).await,
        Err(failure) => Some(failure_response(&failure)),
    }
}

/// Admission decision for a step.
enum Admission {
    Queued,
    /// The step never gets a response.
    Hung,
    Rejected(Failure),
}

fn admit(step: Step, state: &Shared, sender: Sender<Result<Delivery, Failure>>) -> Admission {
    let mut state = lock(state);
    if consume(&mut state.faults.hang) {
        return Admission::Hung;
    }
    if consume(&mut state.faults.fail) {
        return Admission::Rejected(failure(Code::Internal, "fault"));
    }
    if consume(&mut state.faults.refuse) {
        return Admission::Rejected(failure(state.faults.code, "fault"));
    }
    if state.queue.depth() >= state.settings.queue {
        return Admission::Rejected(failure(Code::Overloaded, "the queue is full"));
    }
    if let Err(failure) = state.check(&step) {
        return Admission::Rejected(failure);
    }
    state.queue.push(step, sender);
    Admission::Queued
}

async fn deliver(delivery: Delivery) -> Outcome {
    let body = |reply: &Reply| encode(reply);
    match delivery {
        Delivery::Complete(reply) => Some(complete(200, body(&reply))),
        Delivery::Delayed(reply, delay) => {
            agatemill_runtime::sleep(delay).await;
            Some(complete(200, body(&reply)))
        }
        Delivery::Truncated(reply) => Some(truncated(body(&reply))),
        Delivery::Dropped => None,
    }
}

fn handle_order(order: Order, state: &Shared) -> Result<(), Failure> {
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
            lock(&state).finish_load(model, version, layers);
        };
        agatemill_runtime::spawn(load).detach();
    }
    Ok(())
}

fn handle_events(query: Option<&str>, state: &Shared, now: Duration) -> Response<Body> {
    let after = query.and_then(|query| query.strip_prefix("after="));
    let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
    let state = lock(state);
    let until = now.saturating_sub(Duration::from_millis(state.settings.event_lag));
    let events = state
        .prefixes
        .events(after, until, state.settings.event_gap);
    json(200, &events)
}

fn empty_response(result: Result<(), Failure>) -> Response<Body> {
    match result {
        Ok(()) => json(200, &()),
        Err(failure) => failure_response(&failure),
    }
}

fn failure_response(failure: &Failure) -> Response<Body> {
    let status = match failure.code {
        Code::Overloaded | Code::Draining => 503,
        Code::Internal => 500,
        Code::BadRequest => 400,
        _ => 409,
    };
    json(status, failure)
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| failure(Code::BadRequest, error.to_string()))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    rmp_serde::from_slice(body).map_err(|error| failure(Code::BadRequest, error.to_string()))
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("responses always serialise to MessagePack")
}
