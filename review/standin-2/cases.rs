//! The cases. Each returns whether the rule held; `None` if the case could not run.

mod foreign;
mod frozen;
mod grace;
mod leaving;
mod names;
mod stopping;

use std::process::ExitCode;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::record::Record;

pub fn run(name: &str, gateway: &str, folder: &str, record: &str) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(record) else {
        return ExitCode::from(2);
    };
    record.line(&format!("case {name}, with the disruption: {has_trouble}"));
    let mut fleet = Fleet::new(gateway, folder, record.clone());
    fleet.store.put("op/config", &configuration(1));
    let verdict = match name {
        "leaving" => leaving::run(&mut fleet, has_trouble),
        "foreign" => foreign::run(&mut fleet, has_trouble),
        "names" => names::run(&mut fleet, has_trouble),
        "frozen" => frozen::run(&mut fleet, has_trouble),
        "grace" => grace::run(&mut fleet, has_trouble),
        "stopping" => stopping::run(&mut fleet, has_trouble),
        _ => None,
    };
    drop(fleet);
    let (code, text) = match verdict {
        Some(true) => (0, "the rule held"),
        Some(false) => (1, "the rule was broken"),
        None => (2, "the case could not run"),
    };
    record.line(&format!("verdict: {text}"));
    println!("{text}");
    ExitCode::from(code)
}

/// The operator's configuration: resumable streams on a model of 8 layers, and two plain routes.
pub fn configuration(version: u64) -> String {
    document(
        version,
        "",
        "",
        "{\"name\":\"office\",\"api-keys\":[\"key-1\"],\"priority\":1}",
    )
}

/// A configuration with further routes and services, each of which ends with a comma, and with these tenants.
pub fn document(version: u64, routes: &str, services: &str, tenants: &str) -> String {
    let more = routes;
    let route = |name: &str, rest: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"office.example\",\"path-prefix\":\"/{name}/\",\"priority\":1,\"public\":false,{rest}}}"
        )
    };
    let routes = [
        route(
            "draft",
            "\"kind\":\"streaming\",\"timeout-ms\":20000,\"target-latency-ms\":500,\"service\":\"model\",\"max-attempts\":2,\
            \"sticky-sessions\":true,\"resumable\":true,\"gap-aim-ms\":250",
        ),
        route(
            "once",
            "\"kind\":\"streaming\",\"timeout-ms\":20000,\"target-latency-ms\":500,\"service\":\"model\",\"max-attempts\":2,\
            \"sticky-sessions\":true,\"resumable\":false,\"gap-aim-ms\":250",
        ),
        route(
            "submit",
            "\"kind\":\"non_idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":150,\"service\":\"plain\",\"max-attempts\":1",
        ),
        route(
            "status",
            "\"kind\":\"idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":150,\"service\":\"plain\",\"max-attempts\":2",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{more}{}],\"services\":[{services}{{\"name\":\"plain\",\"health-path\":\"/healthz\",\"max-conns\":110,\
        \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"model\",\"health-path\":\"/healthz\",\"max-conns\":978,\"protocol\":\"h1\",\"tls\":false,\
        \"engine\":{{\"slots\":64,\"kv-tokens\":100000,\"kv-bytes\":590000,\"link-mbps\":400000.0,\"stride\":4,\"models\":[{{\"name\":\"m0\",\
        \"pace\":1.0,\"load-s\":0.2,\"warm-s\":1.0}}],\"step_ms\":1.02,\"per_seq_ms\":0.00459,\"context_per_k\":0.00615,\"read_per_s\":164000.0,\
        \"pairs_per_m\":0.199,\"chunk\":512,\"report_lag_ms\":200.0,\"loads-per-s\":0.0,\"loads_at_once\":6,\"delays\":[],\
        \"usual\":{{\"prompt\":775,\"answer\":220}},\"layers\":8,\"layer-mb\":1750.0,\"act-bytes\":29500,\"pipe-mbps\":16000.0,\
        \"kinds\":[{{\"name\":\"a100\",\"mb\":72000.0,\"pace\":2.4,\"read-x\":3.2}}]}}}}],\
        \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
        \"tenants\":[{tenants}]}}",
        routes.join(",")
    )
}

/// Fields of a request for a stream.
pub const STREAM_FIELDS: &str =
    "X-Model: m0\r\nX-Token-Usage: 760,300\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:720\r\n";

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
