//! `POST /v1/chat/completions`.

use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use smol::channel::Receiver;

use crate::body::Body;
use crate::chat;
use crate::chat::Chat;
use crate::completion::Completion;
use crate::completion::Usage;
use crate::configuration::Configuration;
use crate::exchange::Exchange;
use crate::gate::Permit;
use crate::request_body;
use crate::resume;
use crate::stream;
use agatemill_config::document::Organisation;
use agatemill_core::Cause;
use agatemill_core::Digest;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_limits::account::Share;
use agatemill_pipeline::Event;
use agatemill_pipeline::event;

/// Number of events that are buffered for a slow caller; the generation pauses while the buffer is full.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Length in bytes of the prompt prefix that selects engines with a warm prefix cache.
const PREFIX_BYTES: usize = 256;

/// Events of a generation, in order.
pub type Events = Receiver<Result<Event, Refusal>>;

/// Handles a chat completion.
///
/// # Errors
///
/// Refusals by authentication, validation and admission, and failures before the first token.
pub async fn handle(
    exchange: &mut Option<Exchange>,
    request: Request<agatemill_http::Body>,
) -> Result<Response<Body>, Refusal> {
    let Some(current) = exchange.as_mut() else {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            "the request has ended",
        ));
    };
    let state = Arc::clone(&current.state);
    let (head, body) = request.into_parts();
    let configuration = state.configuration()?;
    let organisation = configuration.tokens.authenticate(&head.headers)?;
    state.check_accepting(&configuration)?;
    let body =
        request_body::read(&state, &head, body, &organisation.name, chat::BODY_COPIES).await?;
    let chat = Chat::parse(&body)?;
    let digest = Digest::of(&body);
    // The prompt replaces the body, in the same share of the memory.
    let share = body.into_share();
    let last = resume::check(&head.headers, &chat, &digest)?;
    check_model(&configuration, &organisation, &chat.model)?;
    let settings = &configuration.document.settings;
    let deadline = current.arrived + settings.request_deadline.to_duration();
    let hosts = state.freshness.entry_count();
    let permit = state
        .admission
        .admit(&organisation, hosts, deadline)
        .await?;
    // Checked again, because the wait for a slot may have been long.
    state.check_accepting(&configuration)?;
    current.phase = Phase::Admitted;
    let generation = agatemill_pipeline::Request {
        id: current.id.clone(),
        half: organisation.half.clone(),
        model: chat.model.clone(),
        prefix: Some(prefix_digest(&chat.prompt)),
        prompt: chat.prompt,
        max_tokens: chat.max_tokens,
        temperature: chat.temperature,
        seed: chat.seed,
        priority: organisation.priority,
        deadline,
        skip: last.as_ref().map_or(0, |event| event.index + 1),
    };
    let events = start_generation(current, generation, permit, share)?;
    // From here on, steps may have been sent to engines.
    current.phase = Phase::Sent;
    if !chat.stream {
        return respond_complete(events, current.id.clone(), chat.model).await;
    }
    // A stream that fails before its first token still gets an HTTP error status.
    let first = next_event(&events).await?;
    let Some(exchange) = exchange.take() else {
        return Err(missing_end());
    };
    let origin = last.map_or_else(|| exchange.id.clone(), |event| event.request);
    let stream = stream::Stream {
        completion: Completion::new(origin.clone(), chat.model),
        origin,
        body: digest,
        include_usage: chat.include_usage,
        deadline,
        exchange,
    };
    Ok(stream.respond(first, events))
}

fn check_model(
    configuration: &Configuration,
    organisation: &Organisation,
    model: &id::Model,
) -> Result<(), Refusal> {
    if organisation.models.contains(model) {
        return Ok(());
    }
    let models = &configuration.document.models;
    let known = models.iter().any(|known| known.name == *model);
    let (reason, detail) = if known {
        let name = &organisation.name;
        let detail = compact_str::format_compact!("organisation {name} may not use model {model}");
        (Reason::Forbidden, detail)
    } else {
        let detail = compact_str::format_compact!("there is no model {model}");
        (Reason::NotFound, detail)
    };
    Err(Refusal::not_run(reason, detail))
}

/// Digest of the prompt prefix, for prefix affinity.
fn prefix_digest(prompt: &str) -> Digest {
    let bytes = prompt.as_bytes();
    Digest::of(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Starts a generation as a task, which occupies a slot of the queue and its share of the memory until it ends. Dropping the
/// receiver ends the task.
fn start_generation(
    exchange: &Exchange,
    request: agatemill_pipeline::Request,
    permit: Permit,
    share: Option<Share>,
) -> Result<Events, Refusal> {
    let state = &exchange.state;
    let generation = state.generators.get(&request.half).ok_or_else(|| {
        let detail = "the half of the organisation is not configured";
        Refusal::not_run(Reason::NoChain, detail)
    })?;
    let (sender, receiver) = smol::channel::bounded(MAX_BUFFERED_EVENTS);
    let operation = state.progress.begin();
    let task = async move {
        generation.run(&request, &sender).await;
        drop(request);
        drop(share);
        drop(permit);
        drop(operation);
    };
    agatemill_runtime::spawn(task).detach();
    Ok(receiver)
}

/// Receives the next event of a generation.
///
/// # Errors
///
/// The failure of the generation.
pub async fn next_event(events: &Events) -> Result<Event, Refusal> {
    events.recv().await.unwrap_or_else(|_| Err(missing_end()))
}

/// Failure of a generation that ended without its end event.
fn missing_end() -> Refusal {
    Refusal::new(
        Reason::BackendFailed,
        Phase::Sent,
        Cause::ConnectionLost,
        "the generation ended without its end marker",
    )
}

async fn respond_complete(
    events: Events,
    id: id::Request,
    model: id::Model,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    loop {
        match next_event(&events).await? {
            Event::Token { text: token, .. } => text.push_str(&token),
            Event::End { reason, usage } => {
                let completion = Completion::new(id, model);
                let json = completion.full(&text, finish_reason(reason), self::usage(usage));
                let mut response = Response::new(Body::full(json));
                let kind = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, kind);
                return Ok(response);
            }
        }
    }
}

/// Name of a finish reason in this API.
#[must_use]
pub fn finish_reason(reason: event::Finish) -> &'static str {
    match reason {
        event::Finish::Stop => "stop",
        event::Finish::Length => "length",
    }
}

/// Converts token counts to the format of this API.
#[must_use]
pub fn usage(usage: event::Usage) -> Usage {
    Usage::new(usage.prompt, usage.generated)
}
