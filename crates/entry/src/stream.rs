//! Streamed chat completions.

use core::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use smol::channel::Sender;

use crate::body::Body;
use crate::body::Chunk;
use crate::completion::Completion;
use crate::completions;
use crate::completions::Events;
use crate::exchange::Exchange;
use crate::header;
use crate::problem::Problem;
use crate::sse;
use crate::sse::EventId;
use agatemill_core::Cause;
use agatemill_core::Digest;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_pipeline::Event;

/// How long after the deadline the failure of the generation and the last event may take.
const GRACE: Duration = Duration::from_secs(1);

/// Events that wait for a slow caller.
const PIECES: usize = 16;

/// A streamed answer.
#[derive(Debug)]
pub struct Stream {
    /// The request.
    pub exchange: Exchange,
    /// What all events share.
    pub completion: Completion,
    /// Request that began the stream; another one than that of the exchange after a resumption.
    pub origin: id::Request,
    /// Digest of the request body.
    pub body: Digest,
    /// Whether the stream ends with the usage.
    pub include_usage: bool,
    /// When the stream is given up, however slowly the caller reads.
    pub deadline: Duration,
}

type Pieces = Sender<Chunk>;

impl Stream {
    /// Answers with the first event and those that follow.
    #[must_use]
    pub fn respond(self, first: Event, events: Events) -> Response<Body> {
        let (sender, receiver) = smol::channel::bounded(PIECES);
        let mut response = Response::new(Body::stream(receiver));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(sse::MEDIA_TYPE));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        // Only the end of the stream says that the answer is whole.
        let unknown = HeaderValue::from_static(Outcome::Unknown.as_str());
        headers.insert(header::OUTCOME, unknown);
        let task = async move {
            let left = self.deadline.saturating_sub(agatemill_runtime::now());
            let pump = self.pump(first, &events, &sender);
            let result = agatemill_runtime::timeout(left + GRACE, pump).await;
            let result = result.unwrap_or_else(|| Err(too_slow()));
            self.end(result, &sender).await;
        };
        agatemill_runtime::spawn(task).detach();
        response
    }

    async fn pump(&self, first: Event, events: &Events, sender: &Pieces) -> Result<(), Refusal> {
        let mut event = first;
        loop {
            let is_end = matches!(event, Event::End { .. });
            for piece in self.encode(event) {
                send(sender, Chunk::Data(piece)).await?;
            }
            if is_end {
                return send(sender, Chunk::End).await;
            }
            let left = async {
                sender.closed().await;
                Err(caller_left())
            };
            event = smol::future::or(completions::next_event(events), left).await?;
        }
    }

    fn encode(&self, event: Event) -> Vec<Bytes> {
        match event {
            Event::Token { index, text, .. } => {
                let id = EventId::new(self.origin.clone(), &self.body, index);
                let data = self.completion.token_chunk(index, &text);
                vec![sse::event(Some(&id), &data)]
            }
            Event::End { reason, usage } => {
                let finish = self
                    .completion
                    .finish_chunk(completions::finish_reason(reason));
                let mut pieces = vec![sse::event(None, &finish)];
                if self.include_usage {
                    let usage = self.completion.usage_chunk(completions::usage(usage));
                    pieces.push(sse::event(None, &usage));
                }
                pieces.push(Bytes::from_static(sse::DONE));
                pieces
            }
        }
    }

    async fn end(self, result: Result<(), Refusal>, sender: &Pieces) {
        match result {
            Ok(()) => self.exchange.end(Outcome::Complete),
            Err(refusal) => {
                let last = async {
                    let error = sse::error_event(&Problem::from(&refusal));
                    send(sender, Chunk::Data(error)).await?;
                    send(sender, Chunk::End).await
                };
                // Fails when the caller has left or does not read.
                let _ = agatemill_runtime::timeout(GRACE, last).await;
                self.exchange.fail(&refusal);
            }
        }
    }
}

async fn send(sender: &Pieces, piece: Chunk) -> Result<(), Refusal> {
    sender.send(piece).await.map_err(|_| caller_left())
}

/// The caller did not read the stream in time.
fn too_slow() -> Refusal {
    Refusal::new(
        Reason::DeadlineExceeded,
        Phase::Sent,
        Cause::DeadlinePassed,
        "the deadline passed before the stream was read",
    )
}

/// Ends the work on a request whose caller has left; nobody reads it.
fn caller_left() -> Refusal {
    Refusal::new(
        Reason::BackendFailed,
        Phase::Sent,
        Cause::CallerLeft,
        "the caller left",
    )
}
