//! Callers: an HTTP client library that is not the project's own.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;

/// Longest time that a caller waits; far above every deadline of the system.
const LIMIT: Duration = Duration::from_mins(1);

/// An answer as a caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 when the connection failed or broke.
    pub status: u16,
    /// `Agatemill-Outcome`.
    pub outcome: String,
    /// `reason` of a problem document.
    pub reason: String,
    /// Whether the answer was stored from an earlier call.
    pub replayed: bool,
    /// The body, or the text of all tokens of a stream.
    pub body: String,
    /// Event ids of a stream, in order.
    pub events: Vec<String>,
    /// Whether the stream ended with its final marker.
    pub finished: bool,
}

impl Answer {
    /// Status, outcome and reason in one line.
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

/// A caller of one organisation.
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
            .timeout_global(Some(LIMIT));
        Self {
            agent: config.build().into(),
            token: token.to_owned(),
        }
    }

    /// Sends a request with a JSON body.
    pub fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Answer {
        let mut request = self
            .agent
            .post(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        match request.send(body.to_string()) {
            Ok(response) => read(response),
            Err(_) => Answer::default(),
        }
    }

    /// Fetches a path.
    pub fn get(&self, entry: SocketAddr, path: &str) -> Answer {
        let request = self
            .agent
            .get(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.token));
        match request.call() {
            Ok(response) => read(response),
            Err(_) => Answer::default(),
        }
    }

    /// Holds a streamed chat; each token is also announced to `progress`. With `resume`, the id of the
    /// last event that was seen before.
    pub fn stream(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        resume: Option<&str>,
        progress: &Sender<usize>,
    ) -> Answer {
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
            return Answer::default();
        };
        if response.status() != 200 {
            return read(response);
        }
        follow(response, progress)
    }
}

fn head(response: &ureq::http::Response<ureq::Body>) -> Answer {
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Answer {
        status: response.status().as_u16(),
        outcome: header("agatemill-outcome"),
        replayed: header("agatemill-replayed") == "true",
        ..Answer::default()
    }
}

fn read(response: ureq::http::Response<ureq::Body>) -> Answer {
    let mut answer = head(&response);
    match response.into_body().read_to_string() {
        Ok(body) => answer.body = body,
        Err(_) => {
            return Answer {
                status: 0,
                ..answer
            };
        }
    }
    answer.reason = reason(&answer.body);
    answer.finished = true;
    answer
}

fn reason(body: &str) -> String {
    let problem: HashMap<String, Value> = serde_json::from_str(body).unwrap_or_default();
    problem
        .get("reason")
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}

/// Reads server-sent events until the stream ends.
fn follow(response: ureq::http::Response<ureq::Body>, progress: &Sender<usize>) -> Answer {
    let mut answer = head(&response);
    let mut failed = false;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else { break };
        if let Some(id) = line.strip_prefix("id: ") {
            answer.events.push(id.to_owned());
        } else if line == "event: error" {
            failed = true;
        } else if line == "data: [DONE]" {
            answer.finished = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            if failed {
                answer.reason = reason(data);
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                answer.body.push_str(text);
                // The scenario may no longer listen.
                let _ = progress.send(answer.events.len());
            }
        }
    }
    answer
}
