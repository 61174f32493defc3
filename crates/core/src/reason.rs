//! Stable reasons for refusals and failures.

use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident, $text:literal, $status:literal;)+) => {
        /// Why a request was refused or failed.
        ///
        /// The text form is stable: it appears in responses to callers, in metrics and in log lines.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Reason {
            $(
                $(#[$doc])*
                #[display($text)]
                #[serde(rename = $text)]
                $name,
            )+
        }

        impl Reason {
            /// Every reason.
            pub const ALL: &[Self] = &[$(Self::$name),+];

            /// The HTTP status code of the reason.
            #[must_use]
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }

            /// The stable text form.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }
        }
    };
}

/// Error for a text that is not a reason.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{found:?} is not a reason for a refusal")]
pub struct Invalid {
    /// The rejected text.
    pub found: CompactString,
}

impl FromStr for Reason {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let found = Self::ALL.iter().find(|reason| reason.as_str() == text);
        found.copied().ok_or_else(|| Invalid {
            found: CompactString::new(text),
        })
    }
}

reasons! {
    /// The request is not well-formed.
    BadRequest, "bad_request", 400;
    /// A non-idempotent call has no `Idempotency-Key`.
    KeyMissing, "key_missing", 400;
    /// The bearer token is missing or belongs to no organisation.
    Unauthorized, "unauthorized", 401;
    /// The organisation may not use the model or service.
    Forbidden, "forbidden", 403;
    /// The model, service or path does not exist.
    NotFound, "not_found", 404;
    /// The path does not support this method.
    MethodNotAllowed, "method_not_allowed", 405;
    /// The request did not arrive in time.
    RequestTimeout, "request_timeout", 408;
    /// An earlier call with this key started and its outcome is unknown.
    OutcomeUnknown, "outcome_unknown", 409;
    /// The stream to resume belongs to another request body.
    ResumeMismatch, "resume_mismatch", 409;
    /// The stream cannot be resumed, because its tokens are sampled without a seed.
    ResumeNotDeterministic, "resume_not_deterministic", 409;
    /// The earlier call is complete, but its response was too large to store.
    AnswerNotKept, "answer_not_kept", 409;
    /// The body exceeds the size limit.
    BodyTooLarge, "body_too_large", 413;
    /// The key was used with another body.
    KeyReused, "key_reused", 422;
    /// The key is older than the retention period of call records.
    KeyExpired, "key_expired", 422;
    /// The organisation exceeds its rate limit.
    RateLimited, "rate_limited", 429;
    /// The organisation has too many requests in progress.
    ConcurrencyLimited, "concurrency_limited", 429;
    /// The headers exceed the size limit.
    HeadersTooLarge, "headers_too_large", 431;
    /// The backend server ended its response early or violated the protocol.
    BackendFailed, "backend_failed", 502;
    /// The queue is full or the queueing delay would exceed the deadline.
    Overloaded, "overloaded", 503;
    /// Engines crash on a part of the prompt.
    Quarantined, "quarantined", 503;
    /// No chain of engines covers the model's layers.
    NoChain, "no_chain", 503;
    /// No backend server of the service is usable.
    NoServer, "no_server", 503;
    /// The platform did not respond, so the call could not be recorded.
    PlatformUnavailable, "platform_unavailable", 503;
    /// The process cannot confirm that its configuration is the latest.
    StaleConfiguration, "stale_configuration", 503;
    /// The process has no configuration yet.
    NotReady, "not_ready", 503;
    /// The process is stopping.
    Draining, "draining", 503;
    /// The retry budget is used up.
    RetriesExhausted, "retries_exhausted", 503;
    /// The deadline passed.
    DeadlineExceeded, "deadline_exceeded", 504;
}
