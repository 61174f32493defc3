//! Request bodies.

use core::time::Duration;

use hyper::http::request;

use crate::settings::Limits;
use crate::state::State;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_http::Body;
use agatemill_http::intake;
use agatemill_http::intake::Cost;
use agatemill_http::intake::Failure;
use agatemill_http::intake::Held;
use agatemill_http::intake::cost;
use agatemill_limits::account::Owner;

/// `Retry-After` of a request whose body does not fit into the memory. Most bodies are held for less.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads a request body within the limits on its size and time and the account of memory, of which the request takes its head
/// and `copies` of the body until [`Held`] is dropped.
///
/// # Errors
///
/// [`Reason::BodyTooLarge`], [`Reason::RequestTimeout`], [`Reason::BadRequest`] when it is truncated, or
/// [`Reason::Overloaded`] when it does not fit into the account or is ended for others.
pub async fn read(
    state: &State,
    head: &request::Parts,
    mut body: Body,
    organisation: &id::Organisation,
    copies: usize,
) -> Result<Held, Refusal> {
    let limits = &state.settings.limits;
    let cost = Cost::of_head(cost::head_bytes(head)).with_copies(copies);
    let owners = vec![Owner::Organisation(organisation.as_str().into())];
    let read = intake::read(
        &state.account,
        &mut body,
        limits.body.to_usize(),
        cost,
        owners,
    );
    let failure = match agatemill_runtime::timeout(limits.body_time.to_duration(), read).await {
        Some(Ok(body)) => return Ok(body),
        Some(Err(failure)) => failure,
        None => {
            return Err(Refusal::not_run(
                Reason::RequestTimeout,
                compact_str::format_compact!(
                    "the body of the request did not arrive within {}",
                    limits.body_time
                ),
            ));
        }
    };
    if let Some(event) = failure.event() {
        state.metrics.count_event("memory", event);
    }
    Err(match failure {
        Failure::TooLarge => too_large(limits),
        Failure::Broken => {
            Refusal::not_run(Reason::BadRequest, "the body of the request broke off")
        }
        Failure::TooSlow { .. } => Refusal::not_run(Reason::RequestTimeout, failure.to_string()),
        Failure::Denied(_) | Failure::Ended { .. } => {
            Refusal::not_run(Reason::Overloaded, failure.to_string()).retry_after(RETRY_AFTER)
        }
    })
}

fn too_large(limits: &Limits) -> Refusal {
    Refusal::not_run(
        Reason::BodyTooLarge,
        compact_str::format_compact!("the body of the request is over {}", limits.body),
    )
}
