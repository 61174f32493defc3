//! HTTP client of the callers, built on a third-party library instead of the project's own HTTP code.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;

/// Timeout of a request, far above every deadline of the system.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

/// A response as a caller receives it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status; 0 if the connection failed or broke.
    pub status: u16,
    /// Value of the header `Agatemill-Outcome`.
    pub outcome: String,
    /// Field `reason` of a problem document.
    pub reason: String,
    /// Whether this is the stored response of an earlier call.
    pub replayed: bool,
    /// The body, or the concatenated text of all tokens of a stream.
    pub body: String,
    /// Event ids of a stream, in order of arrival.
    pub event_ids: Vec<String>,
    /// Whether the body was received whole, for a stream up to its end marker `[DONE]`.
    pub finished: bool,
}

impl Response {
    /// Status, outcome and reason in one line, followed by `replayed` for a stored response.
    pub fn summary(&self) -> String {
        let mut text = format!("{} {}", self.status, self.outcome);
        for word in [
            self.reason.as_str(),
            if self.replayed { "replayed" } else { "" },
        ] {
            if !word.is_empty() {
                text.push(' ');
                text.push_str(word);
            }
        }
        text.trim_end().to_owned()
    }
}

/// A client with the bearer token of one organisation.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    token: String,
}

impl Caller {
    /// Creates a caller with a bearer token.
    pub fn new(token: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT));
        Self {
            agent: config.build().into(),
            token: token.to_owned(),
        }
    }

    /// Sends a POST request with a JSON body.
    pub fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Response {
        let mut request = self
            .agent
            .post(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        match request.send(body.to_string()) {
            Ok(response) => read_whole(response),
            Err(_) => Response::default(),
        }
    }

    /// Sends a GET request.
    pub fn get(&self, entry: SocketAddr, path: &str) -> Response {
        let request = self
            .agent
            .get(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.token));
        match request.call() {
            Ok(response) => read_whole(response),
            Err(_) => Response::default(),
        }
    }

    /// Sends a streamed chat request and reads the stream to its end. Each token sends a message to `progress`.
    /// `resume` is the id of the last event that was received before an interruption.
    pub fn stream(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        resume: Option<&str>,
        progress: &Sender<usize>,
    ) -> Response {
        let body = json!({
            "model": model,
            "stream": true,
            "temperature": 0,
            "messages": [{"role": "user", "content": prompt}],
        });
        let mut request = self
            .agent
            .post(format!("http://{entry}/v1/chat/completions"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json");
        if let Some(id) = resume {
            request = request.header("last-event-id", id);
        }
        let Ok(response) = request.send(body.to_string()) else {
            return Response::default();
        };
        if response.status() != 200 {
            return read_whole(response);
        }
        read_events(response, progress)
    }
}

fn parse_head(response: &ureq::http::Response<ureq::Body>) -> Response {
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Response {
        status: response.status().as_u16(),
        outcome: header("agatemill-outcome"),
        replayed: header("agatemill-replayed") == "true",
        ..Response::default()
    }
}

fn read_whole(response: ureq::http::Response<ureq::Body>) -> Response {
    let mut received = parse_head(&response);
    match response.into_body().read_to_string() {
        Ok(body) => received.body = body,
        Err(_) => {
            return Response {
                status: 0,
                ..received
            };
        }
    }
    received.reason = problem_reason(&received.body);
    received.finished = true;
    received
}

fn problem_reason(body: &str) -> String {
    let problem: HashMap<String, Value> = serde_json::from_str(body).unwrap_or_default();
    problem
        .get("reason")
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}

/// Reads the server-sent events of a response until the stream ends.
fn read_events(response: ureq::http::Response<ureq::Body>, progress: &Sender<usize>) -> Response {
    let mut received = parse_head(&response);
    let mut failed = false;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else { break };
        if let Some(id) = line.strip_prefix("id: ") {
            received.event_ids.push(id.to_owned());
        } else if line == "event: error" {
            failed = true;
        } else if line == "data: [DONE]" {
            received.finished = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            if failed {
                received.reason = problem_reason(data);
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                received.body.push_str(text);
                // The scenario may have dropped the receiver.
                let _ = progress.send(received.event_ids.len());
            }
        }
    }
    received
}
