//! HTTP client that sends the requests of a load and checks the answers.

use core::net::SocketAddr;
use core::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use serde_json::Value;
use serde_json::json;

use crate::check::Answer;
use crate::check::Verdict;
use crate::plan;
use crate::scenario::MODEL;
use crate::scenario::Scenario;

/// Maximum size of a response body that is not a stream.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of a set of entries. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    http: agatemill_http::Client,
    /// Timeout of the response head, and again of the body of a stream.
    timeout: Duration,
    /// Number of layers of the model, to check answers.
    layers: u32,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A streamed answer and the verdict on it.
    Chat(Answer, Verdict),
    /// A successful call.
    Call,
    /// A refused or failed request, with the reason from the entry, its status or the connection error.
    Failed(String),
}

impl Client {
    /// Creates a client with this timeout for each response.
    #[must_use]
    pub fn new(timeout: Duration, layers: u32) -> Self {
        Self {
            http: agatemill_http::Client::new(CONNECT_TIMEOUT),
            timeout,
            layers,
        }
    }

    /// Requests a streamed answer and checks it.
    pub async fn chat(&self, entry: SocketAddr, organisation: u32, message: &str) -> Outcome {
        let body = json!({
            "model": MODEL, "stream": true, "temperature": 0,
            "messages": [{"role": "user", "content": message}],
        });
        let request = post(entry, "/v1/chat/completions", organisation, None, &body);
        let response = match self.http.send(request, self.timeout).await {
            Ok(response) => response,
            Err(error) => return Outcome::Failed(format!("connection: {error}")),
        };
        if response.status() != 200 {
            return Outcome::Failed(refusal_reason(response).await);
        }
        let mut answer = Answer::default();
        let read = read_events(response.into_body(), &mut answer);
        let is_finished = agatemill_runtime::timeout(self.timeout, read).await;
        let prompt = plan::render_prompt(message);
        let verdict = answer.verdict(MODEL, self.layers, &prompt, is_finished != Some(true));
        Outcome::Chat(answer, verdict)
    }

    /// Makes a non-idempotent call twice with the same key, as a caller does whose first response was lost.
    pub async fn call(&self, entry: SocketAddr, organisation: u32, key: &str) -> Outcome {
        let body = json!({"claim": key, "amount": 4500});
        let mut outcome = Outcome::Call;
        for _ in 0..2 {
            let path = "/v1/services/payments/pay";
            let request = post(entry, path, organisation, Some(key), &body);
            match self.http.send(request, self.timeout).await {
                Ok(response) if response.status() == 200 => {
                    // The connection can only be reused once the body has been read to its end.
                    let _ =
                        agatemill_http::client::read(response.into_body(), MAX_BODY_BYTES).await;
                }
                Ok(response) => outcome = Outcome::Failed(refusal_reason(response).await),
                Err(error) => outcome = Outcome::Failed(format!("connection: {error}")),
            }
        }
        outcome
    }

    /// Fetches the idempotency keys of the calls that a fake service executed.
    ///
    /// # Errors
    ///
    /// A description of why the executions cannot be read.
    pub async fn executions(&self, service: SocketAddr) -> Result<Vec<String>, String> {
        let uri = format!("http://{service}/fake/executions");
        let request = Request::get(uri).body(Full::default());
        let request = request.map_err(|error| error.to_string())?;
        let answer = self
            .http
            .fetch(request, self.timeout, 64 * MAX_BODY_BYTES)
            .await;
        let answer = answer.map_err(|error| error.to_string())?;
        let list: Vec<Value> =
            serde_json::from_slice(answer.body()).map_err(|error| error.to_string())?;
        let keys = list
            .iter()
            .filter_map(|execution| execution["key"].as_str());
        Ok(keys.map(str::to_owned).collect())
    }
}

fn post(
    entry: SocketAddr,
    path: &str,
    organisation: u32,
    key: Option<&str>,
    body: &Value,
) -> Request<Full<Bytes>> {
    let token = Scenario::token(organisation);
    let mut request = Request::post(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .header("content-type", "application/json");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let body = Full::new(Bytes::from(body.to_string()));
    request
        .body(body)
        .expect("the parts of the request are valid")
}

/// Reads an event stream to its end; returns whether the body ended without a connection error.
async fn read_events(mut body: agatemill_http::Body, answer: &mut Answer) -> bool {
    let mut rest = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        rest.extend_from_slice(data);
        let now = agatemill_runtime::now();
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = rest.drain(..=end).collect();
            answer.push_line(String::from_utf8_lossy(&line).trim_end(), now);
        }
    }
    true
}

/// Reads the reason from a problem response; the status if the body has none.
async fn refusal_reason(response: Response<agatemill_http::Body>) -> String {
    let status = response.status();
    let body = agatemill_http::client::read(response.into_body(), MAX_BODY_BYTES).await;
    let problem: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    problem["reason"]
        .as_str()
        .map_or_else(|| status.to_string(), str::to_owned)
}
