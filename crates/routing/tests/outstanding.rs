//! The policy `outstanding`.

use core::time::Duration;
use std::collections::BTreeMap;

use agatemill_config::Document;
use agatemill_core::id;
use agatemill_routing::Report;
use agatemill_routing::Request;
use agatemill_routing::Table;
use agatemill_routing::policy::Name;

const DOCUMENT: &str = r#"
halves = ["h"]
[[zone]]
name = "z"
region = "r"
[[model]]
name = "m"
version = "1"
layers = 8
activation = "8KiB"
[[organisation]]
name = "o"
half = "h"
tokens = ["97bd064aaeff4bf93177c2e5a5e6f653a7ea17261d03b8f6925cf3d528554629"]
models = ["m"]
rate = "10/s"
concurrency = 4
"#;

fn engine(name: &str, port: u16, throughput: u32) -> String {
    format!(
        "[[engine]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\nhalf = \"h\"\nzone = \"z\"\n\
         accelerator = \"x\"\nmodel = \"m\"\nversion = \"1\"\nlayers = \"0..8\"\n\
         throughput = \"{throughput}/s\"\nbatch = 16\n"
    )
}

/// Guards against sessions that are distributed by the number of engines or by a stale report instead of by
/// throughput.
#[test]
fn distributes_sessions_by_throughput_regardless_of_reports() {
    let text = format!(
        "{DOCUMENT}{}{}",
        engine("fast", 1, 800),
        engine("slow", 2, 100)
    );
    let table = Table::new(
        "e".parse().unwrap(),
        "z".parse().unwrap(),
        Name::Outstanding.policy(),
    );
    table.apply(&Document::parse(&text).unwrap());
    let fast: id::Server = "fast".parse().unwrap();
    let report = Report {
        model: "m".parse().unwrap(),
        version: "1".parse().unwrap(),
        layers: Some("0..8".parse().unwrap()),
        draining: false,
        sessions: 5_000,
        counted: Duration::ZERO,
    };
    table.record_report(&fast, &report);
    let request = Request {
        half: "h".parse().unwrap(),
        model: "m".parse().unwrap(),
        prefix: None,
        exclude: Vec::new(),
    };
    let mut counts: BTreeMap<id::Server, u32> = BTreeMap::new();
    for _ in 0..90 {
        let chain = table.choose(&request, Duration::from_secs(1)).unwrap();
        *counts.entry(chain.stages()[0].server.clone()).or_default() += 1;
    }
    let fast = counts[&fast];
    assert!((78..=82).contains(&fast), "{counts:?}");
}

/// Guards against engines that fail immediately and attract the most requests: they have the fewest sessions, and
/// the ejection limit keeps some of them eligible although their breakers are open.
#[test]
fn failing_engines_beyond_the_ejection_limit_get_no_requests() {
    let engines: String = (1..=8)
        .map(|port| engine(&format!("e{port}"), port, 100))
        .collect();
    let table = Table::new(
        "e".parse().unwrap(),
        "z".parse().unwrap(),
        Name::Outstanding.policy(),
    );
    table.apply(&Document::parse(&format!("{DOCUMENT}{engines}")).unwrap());
    let request = Request {
        half: "h".parse().unwrap(),
        model: "m".parse().unwrap(),
        prefix: None,
        exclude: Vec::new(),
    };
    let failing: Vec<id::Server> = ["e1", "e2", "e3"].map(|name| name.parse().unwrap()).into();
    for server in &failing {
        (0..3).for_each(|_| table.record_failure(server, Duration::ZERO));
    }
    let now = Duration::from_millis(500);
    let mut failed = 0;
    // Each healthy engine keeps its sessions, four in the end; a failing one ends its sessions immediately.
    for _ in 0..20 {
        let chain = table.choose(&request, now).unwrap();
        if failing.contains(&chain.stages()[0].server) {
            table.record_close(&chain, now);
            failed += 1;
        }
    }
    assert_eq!(
        failed, 0,
        "healthy engines have a light load and should get all requests"
    );
}
