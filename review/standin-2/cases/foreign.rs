//! Another writer lists the address of a sound engine under a service that the configuration does not name.

use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::STREAM_FIELDS;
use super::pause;
use crate::caller::Call;
use crate::fleet::Fleet;

const EVENTS: u64 = 40;
const STREAMS: usize = 12;

/// Sends streams that may not be resumed. Both engines fall silent for 800 ms within each, as sound ones may, and go on. One
/// second after the streams began, another writer lists the address of each engine under a service of its own.
pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Option<bool> {
    let options = format!(
        "service=model zone=a kind=a100 framing=chunked events={EVENTS} event-ms=100 silent-at=25 silent-ms=800 drain-ms=2000 late-ms=1000"
    );
    let engines = [
        fleet.start_engine("i-a", &options),
        fleet.start_engine("i-b", &options),
    ];
    let gateway = fleet.start_gateway("edge-a-1", "a");
    if !fleet.wait_until_ready(gateway) || !fleet.wait_until_placed(&["i-a", "i-b"]) {
        return None;
    }
    pause(1_000);
    let calls = (0..STREAMS).map(|number| Call {
        host: gateway.callers,
        method: "POST",
        path: "/once/1".to_owned(),
        attempt: format!("stream-{number}"),
        deadline: Duration::from_secs(20),
        key: "key-1",
        body: "{}".to_owned(),
        fields: STREAM_FIELDS.to_owned(),
        is_second: true,
    });
    let callers = calls.map(|call| {
        let record = fleet.record.clone();
        thread::spawn(move || call.send(&record))
    });
    let callers: Vec<_> = callers.collect();
    pause(1_000);
    if has_trouble {
        for (number, address) in engines.iter().enumerate() {
            let born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |time| time.as_millis());
            let entry = format!(
                "{{\"service\":\"elsewhere\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
                \"cold-left-ms\":0,\"seq\":1,\"born\":{born}}}"
            );
            fleet.record.line(&format!(
                "another writer lists {address} as servers/x-{number} of the service elsewhere"
            ));
            fleet.store.put(&format!("servers/x-{number}"), &entry);
        }
    }
    let (mut whole, mut cut) = (0, 0);
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().ok()?;
        let events = answer.events().len() as u64;
        if answer.status == 200 && answer.is_complete && events == EVENTS {
            whole += 1;
        } else {
            cut += 1;
            fleet.record.line(&format!("stream-{number} was passed on to a sound engine and closed after {events} of {EVENTS} events"));
        }
    }
    let call = Call {
        host: gateway.callers,
        method: "POST",
        path: "/once/1".to_owned(),
        attempt: "afterwards".to_owned(),
        deadline: Duration::from_secs(20),
        key: "key-1",
        body: "{}".to_owned(),
        fields: STREAM_FIELDS.to_owned(),
        is_second: true,
    };
    let status = call.send(&fleet.record).status;
    fleet
        .record
        .line(&format!("a request afterwards got status {status}"));
    fleet.record.line(&format!("{whole} of {STREAMS} streams were whole, {cut} were closed without the rest of their answer"));
    Some(cut <= 3)
}
