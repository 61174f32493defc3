//! Requests of the demo, sent with an HTTP client library.

use core::net::SocketAddr;
use core::time::Duration;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::thread;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::document::MODEL;
use crate::document::TOKEN;

type Outcome<T> = Result<T, Box<dyn core::error::Error>>;

/// Maximum number of readiness polls.
const MAX_READY_POLLS: u32 = 300;

/// Interval between readiness polls.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

/// Polls the readiness of the entry until it has a configuration and serves.
pub fn wait_ready(entry: SocketAddr) -> Outcome<()> {
    let agent = agent();
    for _ in 0..MAX_READY_POLLS {
        let response = agent.get(format!("http://{entry}/readyz")).call();
        if response.is_ok_and(|response| response.status() == 200) {
            return Ok(());
        }
        thread::sleep(READY_POLL_INTERVAL);
    }
    Err("the entry did not become ready in time".into())
}

/// Streams a completion through three stages and prints each token as it arrives.
pub fn stream(entry: SocketAddr) -> Outcome<()> {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "messages": [{"role": "user", "content": "Summarise the claim over the unpaid rent."}],
    });
    let response = post(entry, "/v1/chat/completions", None, &body)?;
    print!("stream:");
    let mut is_finished = false;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        is_finished |= data == "[DONE]";
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            print!("{text}");
            std::io::stdout().flush()?;
        }
    }
    println!();
    if is_finished {
        Ok(())
    } else {
        Err("the stream ended without its final marker".into())
    }
}

/// Makes a payment and repeats it with the same idempotency key.
pub fn pay_twice(entry: SocketAddr) -> Outcome<()> {
    let body = json!({"claim": "KD-2041", "amount": 4500});
    for attempt in ["payment", "repeat"] {
        let response = post(
            entry,
            "/v1/services/payments/pay",
            Some("demo-payment-1"),
            &body,
        )?;
        let header = |name: &str| {
            let value = response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or("-").to_owned()
        };
        let (outcome, replayed) = (header("agatemill-outcome"), header("agatemill-replayed"));
        println!(
            "{attempt}: {}, outcome {outcome}, replayed {replayed}",
            response.status()
        );
    }
    Ok(())
}

fn post(entry: SocketAddr, path: &str, key: Option<&str>, body: &Value) -> Outcome<Response<Body>> {
    let mut request = agent()
        .post(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("content-type", "application/json");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let response = request.send(body.to_string())?;
    if response.status() == 200 {
        return Ok(response);
    }
    let status = response.status();
    Err(format!(
        "{path} returned {status}: {}",
        response.into_body().read_to_string()?
    )
    .into())
}

/// A command that streams another completion.
pub fn curl_command(entry: SocketAddr) -> String {
    format!(
        "curl -N http://{entry}/v1/chat/completions -H 'Authorization: Bearer {TOKEN}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Explain the court fee.\"}}]}}'"
    )
}
