//! The demo's requests, sent with an HTTP client library.

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

/// How long the entry may take to serve.
const READY_TRIES: u32 = 300;

/// Time between two looks at whether the entry serves.
const READY_INTERVAL: Duration = Duration::from_millis(100);

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

/// Waits until the entry has a configuration and serves.
pub fn wait_ready(entry: SocketAddr) -> Outcome<()> {
    let agent = agent();
    for _ in 0..READY_TRIES {
        let answer = agent.get(format!("http://{entry}/readyz")).call();
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return Ok(());
        }
        thread::sleep(READY_INTERVAL);
    }
    Err("the entry does not get ready".into())
}

/// Streams an answer over three stages and prints each token as it comes.
pub fn stream(entry: SocketAddr) -> Outcome<()> {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "messages": [{"role": "user", "content": "Summarise the claim over the unpaid rent."}],
    });
    let answer = post(entry, "/v1/chat/completions", None, &body)?;
    print!("stream:");
    let mut finished = false;
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        finished |= data == "[DONE]";
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            print!("{text}");
            std::io::stdout().flush()?;
        }
    }
    println!();
    if finished {
        Ok(())
    } else {
        Err("the stream ended without its final marker".into())
    }
}

/// Makes a payment and repeats it with the same key.
pub fn pay_twice(entry: SocketAddr) -> Outcome<()> {
    let body = json!({"claim": "KD-2041", "amount": 4500});
    for attempt in ["payment", "repeat"] {
        let answer = post(
            entry,
            "/v1/services/payments/pay",
            Some("demo-payment-1"),
            &body,
        )?;
        let header = |name: &str| {
            let value = answer
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or("-").to_owned()
        };
        let (outcome, replayed) = (header("agatemill-outcome"), header("agatemill-replayed"));
        println!(
            "{attempt}: {}, outcome {outcome}, replayed {replayed}",
            answer.status()
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
    let answer = request.send(body.to_string())?;
    if answer.status() == 200 {
        return Ok(answer);
    }
    let status = answer.status();
    Err(format!(
        "{path} answered {status}: {}",
        answer.into_body().read_to_string()?
    )
    .into())
}

/// A command line that streams another answer.
pub fn curl_line(entry: SocketAddr) -> String {
    format!(
        "curl -N http://{entry}/v1/chat/completions -H 'Authorization: Bearer {TOKEN}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Explain the court fee.\"}}]}}'"
    )
}
