//! A gateway gets SIGTERM while callers go on opening streams.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::STREAM_FIELDS;
use super::pause;
use crate::caller::Call;
use crate::fleet::Fleet;

const EVENTS: u64 = 69;

/// Time after SIGTERM until which the pages excuse streams that the end of the grace period cuts.
const EXCUSED: Duration = Duration::from_secs(3);

/// Sends a stream of 69 events, 100 ms apart, every 4 ms from 2.9 s to 3.3 s after a gateway got SIGTERM.
pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Option<bool> {
    let options = format!(
        "service=model zone=a kind=a100 framing=chunked events={EVENTS} event-ms=100 drain-ms=2000 late-ms=1000"
    );
    fleet.start_engine("i-a", &options);
    fleet.start_engine("i-b", &options);
    let gateway = fleet.start_gateway("edge-a-1", "a");
    let other = fleet.start_gateway("edge-a-2", "a");
    if !fleet.wait_until_ready(gateway)
        || !fleet.wait_until_ready(other)
        || !fleet.wait_until_placed(&["i-a", "i-b"])
    {
        return None;
    }
    pause(1_000);
    if has_trouble {
        fleet.signal("edge-a-1", "TERM");
    }
    // The signal was sent no later.
    let signalled = Instant::now();
    pause(2_900);
    let mut callers = Vec::new();
    for number in 0..100 {
        let call = Call {
            host: gateway.callers,
            method: "POST",
            path: "/draft/1".to_owned(),
            attempt: format!("stream-{number}"),
            deadline: Duration::from_secs(20),
            key: "key-1",
            body: "{}".to_owned(),
            fields: STREAM_FIELDS.to_owned(),
            is_second: false,
        };
        let record = fleet.record.clone();
        callers.push((number, thread::spawn(move || call.send(&record))));
        pause(4);
    }
    let (mut admitted, mut cut) = (0, 0);
    for (number, caller) in callers {
        let answer = caller.join().ok()?;
        let Some(sent) = answer.sent else {
            continue;
        };
        if answer.status != 200 {
            continue;
        }
        admitted += 1;
        let after = sent.duration_since(signalled);
        if !answer.is_complete && after > EXCUSED {
            cut += 1;
            let lasted = answer
                .ended
                .map_or(Duration::ZERO, |ended| ended.duration_since(signalled));
            let events = answer.events().len();
            fleet.record.line(&format!(
                "stream-{number} was sent {:.3} s after SIGTERM, passed on, and cut {:.3} s after it with {events} of {EVENTS} events",
                after.as_secs_f64(), lasted.as_secs_f64()
            ));
        }
    }
    fleet.record.line(&format!(
        "{admitted} of 100 streams were passed on, {cut} of those sent later than 3 s were cut"
    ));
    (admitted > 0).then_some(cut == 0)
}
