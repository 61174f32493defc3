//! A version of the configuration moves a part of a route to a new service, whose name has a colon, and takes a key away.

use std::time::Duration;

use super::document;
use super::pause;
use crate::caller::Answer;
use crate::caller::Call;
use crate::fleet::Fleet;
use crate::fleet::Gateway;

/// The new service, and a route of which it gets a part.
const SERVICE: &str = "{\"name\":\"plain:v2\",\"health-path\":\"/healthz\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false},";

const ROUTE: &str = "{\"name\":\"r-split\",\"host\":\"office.example\",\"path-prefix\":\"/split/\",\"priority\":1,\"public\":false,\
    \"kind\":\"idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":150,\
    \"traffic-split\":[{\"service\":\"plain\",\"weight\":90},{\"service\":\"plain:v2\",\"weight\":10}],\"max-attempts\":2},";

fn tenants(keys: &str) -> String {
    format!("{{\"name\":\"office\",\"api-keys\":[{keys}],\"priority\":1}}")
}

fn ask(fleet: &Fleet, gateway: Gateway, attempt: &str) -> Answer {
    let call = Call {
        host: gateway.callers,
        method: "GET",
        path: "/status/1".to_owned(),
        attempt: attempt.to_owned(),
        deadline: Duration::from_millis(1_500),
        key: "key-2",
        body: String::new(),
        fields: String::new(),
        is_second: false,
    };
    call.send(&fleet.record)
}

/// Sends requests with a key until longer than `revoke-ms` after the version that takes it away.
pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Option<bool> {
    fleet.start_engine(
        "p-a",
        "service=plain zone=a framing=length work-ms=20 body-ms=0 drain-ms=2000 late-ms=1000",
    );
    fleet.store.put(
        "op/config",
        &document(2, "", "", &tenants("\"key-1\",\"key-2\"")),
    );
    let gateway = fleet.start_gateway("edge-a-1", "a");
    if !fleet.wait_until_ready(gateway) {
        return None;
    }
    pause(1_000);
    if ask(fleet, gateway, "before").status != 200 {
        return None;
    }
    let (routes, services) = if has_trouble {
        (ROUTE, SERVICE)
    } else {
        ("", "")
    };
    fleet.store.put(
        "op/config",
        &document(3, routes, services, &tenants("\"key-1\"")),
    );
    fleet
        .record
        .line("the store has acknowledged version 3, without key-2");
    pause(6_000);
    let is_ready = fleet.wait_until_ready(gateway);
    fleet.record.line(&format!(
        "6 s later the gateway says that it is ready: {is_ready}"
    ));
    let statuses: Vec<u16> = (0..3)
        .map(|number| ask(fleet, gateway, &format!("after-{number}")).status)
        .collect();
    fleet.store.put(
        "op/config",
        &document(4, routes, services, &tenants("\"key-1\"")),
    );
    fleet.record.line("the store has acknowledged version 4");
    pause(6_000);
    let last = ask(fleet, gateway, "last").status;
    Some(!statuses.contains(&200) && last != 200)
}
