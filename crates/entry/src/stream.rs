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

/// Time after the deadline in which the failure of the generation may arrive and the last event may be sent.
const GRACE: Duration = Duration::from_secs(1);

/// Number of events that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// A streamed response.
#[derive(Debug)]
pub struct Stream {
    /// The request.
    pub exchange: Exchange,
    /// Fields that all events share.
    pub completion: Completion,
    /// Request that started the stream; differs from the request of the exchange after a resumption.
    pub origin: id::Request,
    /// Digest of the request body.
    pub body: Digest,
    /// Whether the stream ends with the token usage.
    pub include_usage: bool,
    /// Time at which the stream is aborted, however slowly the caller reads.
    pub deadline: Duration,
}

type Chunks = Sender<Chunk>;

impl Stream {
    /// Creates the response, which streams the first event and those that follow.
    #[must_use]
    pub fn respond(self, first: Event, events: Events) -> Response<Body> {
        let (sender, receiver) = smol::channel::bounded(MAX_BUFFERED_CHUNKS);
        let mut response = Response::new(Body::stream(receiver));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(sse::MEDIA_TYPE));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        // Only the end of the stream shows that the response is complete.
        let unknown = HeaderValue::from_static(Outcome::Unknown.as_str());
        headers.insert(header::OUTCOME, unknown);
        let task = async move {
            let left = self.deadline.saturating_sub(agatemill_runtime::now());
            let forward = self.forward(first, &events, &sender);
            let result = agatemill_runtime::timeout(left + GRACE, forward).await;
            let result = result.unwrap_or_else(|| Err(read_too_slow()));
            self.finish(result, &sender).await;
        };
        agatemill_runtime::spawn(task).detach();
        response
    }

    async fn forward(&self, first: Event, events: &Events, sender: &Chunks) -> Result<(), Refusal> {
        let mut event = first;
        loop {
            let is_end = matches!(event, Event::End { .. });
            for chunk in self.encode(event) {
                send(sender, Chunk::Data(chunk)).await?;
            }
            if is_end {
                return send(sender, Chunk::End).await;
            }
            let disconnected = async {
                sender.closed().await;
                Err(caller_left())
            };
            event = smol::future::or(completions::next_event(events), disconnected).await?;
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
                let mut chunks = vec![sse::event(None, &finish)];
                if self.include_usage {
                    let usage = self.completion.usage_chunk(completions::usage(usage));
                    chunks.push(sse::event(None, &usage));
                }
                chunks.push(Bytes::from_static(sse::DONE));
                chunks
            }
        }
    }

    async fn finish(self, result: Result<(), Refusal>, sender: &Chunks) {
        match result {
            Ok(()) => self.exchange.end(Outcome::Complete),
            Err(refusal) => {
                let last = async {
                    let error = sse::error_event(&Problem::from(&refusal));
                    send(sender, Chunk::Data(error)).await?;
                    send(sender, Chunk::End).await
                };
                // Fails when the caller has disconnected or does not read.
                let _ = agatemill_runtime::timeout(GRACE, last).await;
                self.exchange.fail(&refusal);
            }
        }
    }
}

async fn send(sender: &Chunks, chunk: Chunk) -> Result<(), Refusal> {
    sender.send(chunk).await.map_err(|_| caller_left())
}

/// Failure of a stream that the caller did not read in time.
fn read_too_slow() -> Refusal {
    Refusal::new(
        Reason::DeadlineExceeded,
        Phase::Sent,
        Cause::DeadlinePassed,
        "the deadline passed before the stream was read",
    )
}

/// Failure of a request whose caller has disconnected; it is not sent to anyone.
fn caller_left() -> Refusal {
    Refusal::new(
        Reason::BackendFailed,
        Phase::Sent,
        Cause::CallerLeft,
        "the caller left",
    )
}
