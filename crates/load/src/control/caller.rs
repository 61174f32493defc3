//! Client calls to entries.

use core::net::SocketAddr;
use core::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;

use crate::control::Error;
use crate::control::document::MODEL;
use crate::control::document::TOKEN;
use agatemill_http::Client;

/// Timeout of a response head.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response body that is not a stream.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A stream as its caller received it.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Request id from the event ids; empty before the first event.
    pub request_id: String,
    /// Arrival time of each token.
    pub tokens: Vec<Duration>,
    /// Whether the `[DONE]` marker was received.
    pub is_complete: bool,
}

impl Stream {
    /// Returns the longest gap between two consecutive tokens of which the second arrived at `at` or later.
    #[must_use]
    pub fn longest_gap_after(&self, at: Duration) -> Option<Duration> {
        let pairs = self.tokens.windows(2).filter(|pair| pair[1] >= at);
        pairs.map(|pair| pair[1].saturating_sub(pair[0])).max()
    }

    /// Returns the arrival time of the first token at `at` or later.
    #[must_use]
    pub fn first_token_after(&self, at: Duration) -> Option<Duration> {
        self.tokens.iter().copied().find(|token| *token >= at)
    }
}

/// Requests a stream of `tokens` tokens and reads it to its end.
///
/// # Errors
///
/// When the request fails or the entry refuses it. A stream that breaks off is not an error, but its
/// [`Stream::is_complete`] is false.
pub async fn stream(
    client: &Client,
    entry: SocketAddr,
    seed: u64,
    tokens: u32,
) -> Result<Stream, Error> {
    let body = serde_json::json!({
        "model": MODEL, "stream": true, "max_tokens": tokens, "temperature": 0, "seed": seed,
        "messages": [{"role": "user", "content": format!("claim {seed}")}],
    });
    let request = Request::post(format!("http://{entry}/v1/chat/completions"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let response = client.send(request, RESPONSE_TIMEOUT).await?;
    if response.status() != 200 {
        let status = response.status();
        let body = agatemill_http::client::read(response.into_body(), MAX_BODY_BYTES).await?;
        let text = String::from_utf8_lossy(&body);
        return Err(format!("an entry refused a stream: {status} {text}").into());
    }
    let mut body = response.into_body();
    let mut stream = Stream::default();
    let mut rest = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        let now = agatemill_runtime::now();
        let Ok(data) = frame.into_data() else {
            continue;
        };
        rest.push_str(&String::from_utf8_lossy(&data));
        while let Some(end) = rest.find('\n') {
            let line: String = rest.drain(..=end).collect();
            parse_line(line.trim(), now, &mut stream);
        }
    }
    Ok(stream)
}

fn parse_line(line: &str, now: Duration, stream: &mut Stream) {
    if let Some(id) = line.strip_prefix("id: ") {
        stream.tokens.push(now);
        let request_id = id.split(':').next().unwrap_or_default();
        request_id.clone_into(&mut stream.request_id);
    }
    stream.is_complete |= line == "data: [DONE]";
}

/// Fetches the hosts that an entry lists in `/v1/entries`.
///
/// # Errors
///
/// Any error of the call.
pub async fn entries(client: &Client, entry: SocketAddr) -> Result<Vec<String>, Error> {
    let request =
        Request::get(format!("http://{entry}/v1/entries")).body(Full::new(Bytes::new()))?;
    let response = client
        .fetch(request, RESPONSE_TIMEOUT, MAX_BODY_BYTES)
        .await?;
    let answer: Value = serde_json::from_slice(response.body())?;
    let hosts = answer["entries"]
        .as_array()
        .ok_or("malformed response from /v1/entries")?;
    let names = hosts.iter().filter_map(|entry| entry["host"].as_str());
    Ok(names.map(str::to_owned).collect())
}

/// Whether an entry reports in `/readyz` that it is ready.
pub async fn is_ready(client: &Client, entry: SocketAddr) -> bool {
    let request = Request::get(format!("http://{entry}/readyz")).body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return false;
    };
    let answer = client
        .fetch(request, RESPONSE_TIMEOUT, MAX_BODY_BYTES)
        .await;
    answer.is_ok_and(|answer| answer.status() == 200)
}
