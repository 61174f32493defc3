//! Calls to entries.

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

/// How long the head of an answer may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer that is read whole.
const MAX_BODY_BYTES: usize = 1 << 20;

/// What a caller saw of one stream.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Request id of the events; empty before the first.
    pub request_id: String,
    /// When each token arrived.
    pub tokens: Vec<Duration>,
    /// Whether the stream ended with its end marker.
    pub is_complete: bool,
}

impl Stream {
    /// Longest time between two tokens of which the second came after `at`.
    #[must_use]
    pub fn longest_gap_after(&self, at: Duration) -> Option<Duration> {
        let pairs = self.tokens.windows(2).filter(|pair| pair[1] >= at);
        pairs.map(|pair| pair[1].saturating_sub(pair[0])).max()
    }

    /// First token after `at`.
    #[must_use]
    pub fn first_token_after(&self, at: Duration) -> Option<Duration> {
        self.tokens.iter().copied().find(|token| *token >= at)
    }
}

/// Reads a stream of `tokens` tokens to its end.
///
/// # Errors
///
/// When the entry refuses it. A stream that breaks off is not an error but is not whole.
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

/// Hosts in the answer of an entry to `/v1/entries`.
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
    let hosts = answer["entries"].as_array().ok_or("malformed answer")?;
    let names = hosts.iter().filter_map(|entry| entry["host"].as_str());
    Ok(names.map(str::to_owned).collect())
}

/// Whether an entry serves.
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
