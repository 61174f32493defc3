//! The verdict detects each kind of violation and reports none for a correct run.

use core::net::Ipv4Addr;
use core::net::SocketAddrV4;
use core::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;

use agatemill_soak::Exchange;
use agatemill_soak::caller::DEADLINE;
use agatemill_soak::caller::Response;
use agatemill_soak::routing::BACKOFF_DELAY;
use agatemill_soak::routing::DRAIN_DELAY;
use agatemill_soak::routing::Record;
use agatemill_soak::verdict;
use agatemill_soak::verdict::Change;
use agatemill_soak::verdict::Disturbance;
use agatemill_soak::verdict::Events;
use agatemill_soak::verdict::Target;
use agatemill_standin::engine::Answer;
use agatemill_standin::engine::Arrival;

const HOST: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 10_000);

const OTHER_HOST: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 10_001);

/// When the server sends [`answer`].
const ANSWERED_AT: Duration = Duration::from_millis(101_050);

/// The shortest time that makes a difference.
const MOMENT: Duration = Duration::from_millis(1);

const STREAM: &str = "id: 0\ndata: t0\n\nid: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n\
    id: 4\ndata: t4\n\nid: 5\ndata: t5\n\n";

fn exchange(route: &'static str, status: u16, body: &str) -> Exchange {
    Exchange {
        attempt: "a1".to_owned(),
        host: HOST,
        route,
        key: "k1",
        body: "text".to_owned(),
        sent_at: Duration::from_secs(100),
        ended_at: Duration::from_secs(102),
        response: Some(Response {
            status: StatusCode::from_u16(status).unwrap(),
            seal: Some("s1".to_owned()),
            is_leaving: false,
            head_at: Duration::from_millis(101_100),
            body: body.to_owned(),
            is_complete: true,
        }),
    }
}

fn arrival(route: &str) -> Arrival {
    Arrival {
        prompt: String::new(),
        server: "s1".to_owned(),
        born_ms: 7,
        attempt: "a1".to_owned(),
        path: (route == "draft").then(|| "x=0-4,y=4-8".to_owned()),
        last_event: None,
        organisation: Some("office".to_owned()),
        has_key: false,
        body: Bytes::from("text"),
        has_run: true,
        at: Duration::from_secs(101),
    }
}

fn change(at: u64, has_second_key: bool) -> Change {
    Change {
        at: Duration::from_secs(at),
        has_second_key,
    }
}

fn events(changes: &[Change]) -> Events {
    Events {
        changes: changes.to_vec(),
        disturbances: Vec::new(),
    }
}

/// Number of violations by one request.
fn violation_count(exchange: Exchange, arrivals: &[Arrival]) -> usize {
    verdict::violations(&[exchange], arrivals, &events(&[change(0, true)])).len()
}

/// Guards against false positives.
#[test]
fn a_correct_run_passes() {
    assert_eq!(
        violation_count(exchange("draft", 200, STREAM), &[arrival("draft")]),
        0
    );
    assert_eq!(
        violation_count(exchange("pay", 200, "done by s1"), &[arrival("pay")]),
        0
    );
    let mut refused = exchange("pay", 503, "");
    refused.response.as_mut().unwrap().seal = None;
    let mut rejected = arrival("pay");
    rejected.has_run = false;
    assert_eq!(violation_count(refused, &[rejected]), 0);
}

/// Guards against a verdict that misses duplicate runs, and rejections of requests that ran or had a valid key.
#[test]
fn duplicate_runs_and_false_rejections_are_detected() {
    let twice = [arrival("pay"), arrival("pay")];
    assert_eq!(
        violation_count(exchange("pay", 200, "done by s1"), &twice),
        1
    );
    let mut refused = exchange("pay", 503, "");
    refused.response.as_mut().unwrap().seal = None;
    assert_eq!(violation_count(refused, &[arrival("pay")]), 1);
    assert_eq!(violation_count(exchange("pay", 401, ""), &[]), 1);
}

/// Guards against a verdict that misses wrong responses.
#[test]
fn wrong_responses_are_detected() {
    assert_eq!(
        violation_count(exchange("pay", 200, "done by s2"), &[arrival("pay")]),
        1
    );
    let short = STREAM.rsplit_once("id: 5").unwrap().0;
    assert_eq!(
        violation_count(exchange("draft", 200, short), &[arrival("draft")]),
        1
    );
    let mut cut = exchange("draft", 200, short);
    cut.response.as_mut().unwrap().is_complete = false;
    cut.ended_at = cut.sent_at + DEADLINE;
    assert_eq!(violation_count(cut, &[arrival("draft")]), 0);
    let mut unsealed = exchange("pay", 200, "done by s1");
    unsealed.response.as_mut().unwrap().seal = None;
    assert_eq!(violation_count(unsealed, &[arrival("pay")]), 1);
}

/// Guards against a verdict that misses requests that were altered on the way to the server.
#[test]
fn altered_requests_are_detected() {
    let wrong: [fn(&mut Arrival); 5] = [
        |arrival| arrival.attempt = "a2".to_owned(),
        |arrival| arrival.body = Bytes::from("other"),
        |arrival| arrival.has_key = true,
        |arrival| arrival.organisation = None,
        |arrival| arrival.path = Some("x=0-4,y=5-8".to_owned()),
    ];
    for change in wrong {
        let mut arrival = arrival("draft");
        change(&mut arrival);
        assert_eq!(
            violation_count(exchange("draft", 200, STREAM), &[arrival.clone()]),
            1,
            "{arrival:?}"
        );
    }
}

/// Guards against a verdict that misses the use of a revoked key, or reports one within the revocation delay.
#[test]
fn use_of_a_revoked_key_is_detected() {
    let count = |changes: &[Change]| {
        let mut request = exchange("draft", 200, STREAM);
        request.key = "k2";
        verdict::violations(&[request], &[arrival("draft")], &events(changes)).len()
    };
    assert_eq!(count(&[change(0, true), change(95, false)]), 1);
    assert_eq!(count(&[change(0, true), change(97, false)]), 0);
    assert_eq!(
        count(&[change(0, true), change(90, false), change(100, true)]),
        0
    );
}

/// Guards against a verdict that counts engines that were cut off, or exempts others: a route allows two engines in
/// addition to those that were cut off in the meantime; a call that runs at most once has no such exemption.
#[test]
fn only_engines_that_were_cut_off_are_exempt() {
    let count = |route: &'static str, body: &str, server: &str, runs: usize| {
        let mut events = events(&[change(0, true)]);
        events.disturbances.push(Disturbance {
            target: Target::Link(server.to_owned()),
            from: Duration::from_secs(99),
            until: Duration::from_secs(102),
        });
        let arrivals = vec![arrival(route); runs];
        verdict::violations(&[exchange(route, 200, body)], &arrivals, &events).len()
    };
    assert_eq!(count("draft", STREAM, "s1", 3), 0);
    assert_eq!(count("draft", STREAM, "s2", 3), 1);
    assert_eq!(count("pay", "done by s1", "s1", 2), 1);
}

/// A stream that ended in the middle.
fn cut_stream() -> Exchange {
    let mut request = exchange("draft", 200, "id: 0\ndata: t0\n\n");
    request.response.as_mut().unwrap().is_complete = false;
    request
}

/// Number of violations by a request that ran on `s1`, beside a fault.
fn count_beside(request: Exchange, target: Target, from: u64, until: u64) -> usize {
    let arrivals = [arrival(request.route)];
    let mut events = events(&[change(0, true)]);
    events.disturbances.push(Disturbance {
        target,
        from: Duration::from_secs(from),
        until: Duration::from_secs(until),
    });
    verdict::violations(&[request], &arrivals, &events).len()
}

/// Guards against a verdict that misses requests that end before their deadline although their servers are sound or only
/// silent.
#[test]
fn requests_that_end_early_at_sound_servers_are_detected() {
    assert_eq!(violation_count(cut_stream(), &[arrival("draft")]), 1);
    for (route, status) in [("draft", 502), ("pay", 502), ("read", 504)] {
        let mut failed = exchange(route, status, "");
        failed.response.as_mut().unwrap().seal = None;
        assert_eq!(violation_count(failed, &[arrival(route)]), 1, "{route}");
    }
    let mut unanswered = exchange("pay", 200, "");
    unanswered.response = None;
    assert_eq!(violation_count(unanswered, &[arrival("pay")]), 1);
    for target in [
        Target::Server("s2".to_owned()),
        Target::Link("s2".to_owned()),
        Target::Host(OTHER_HOST),
    ] {
        assert_eq!(count_beside(cut_stream(), target, 99, 103), 1);
    }
    for (from, until) in [(98, 99), (103, 104)] {
        let target = Target::Server("s1".to_owned());
        assert_eq!(count_beside(cut_stream(), target, from, until), 1);
    }
}

/// Guards against false positives for requests that a fault may have ended, that reached their deadline, or that were
/// rejected as not run.
#[test]
fn requests_that_end_with_a_reason_pass() {
    for target in [
        Target::Server("s1".to_owned()),
        Target::Link("e1".to_owned()),
        Target::Host(HOST),
    ] {
        assert_eq!(count_beside(cut_stream(), target, 101, 103), 0);
    }
    let mut late = exchange("draft", 504, "");
    late.response.as_mut().unwrap().seal = None;
    late.ended_at = late.sent_at + DEADLINE;
    assert_eq!(violation_count(late, &[arrival("draft")]), 0);
    let mut unheard = exchange("pay", 200, "");
    unheard.response = None;
    assert_eq!(violation_count(unheard, &[]), 0);
    let mut refused = exchange("draft", 503, "");
    refused.response.as_mut().unwrap().seal = None;
    assert_eq!(violation_count(refused, &[]), 0);
}

/// The last moment before `time`.
fn before(time: Duration) -> Duration {
    time.checked_sub(MOMENT).unwrap()
}

/// The response of `s1` to the request `a1`.
fn answer(status: u16) -> Answer {
    Answer {
        server: "s1".to_owned(),
        born_ms: 7,
        attempt: "a1".to_owned(),
        status,
        is_leaving: false,
        retry_after: None,
        at: ANSWERED_AT,
    }
}

/// Adds a request of `host`, sent at `at`, that reaches `s1` at once.
fn add_request(record: &mut Record, host: SocketAddrV4, at: Duration) {
    let attempt = format!("b{}", record.exchanges.len());
    let mut request = exchange("pay", 200, "done by s1");
    request.attempt.clone_from(&attempt);
    request.host = host;
    request.sent_at = at;
    let mut received = arrival("pay");
    received.attempt = attempt;
    received.at = at;
    record.exchanges.push(request);
    record.arrivals.push(received);
}

fn disturb(record: &mut Record, target: Target, from: Duration, until: Duration) {
    record.disturbances.push(Disturbance {
        target,
        from,
        until,
    });
}

/// A server whose departure its host has passed on, which is the latest time at which the host knew of it.
fn departure() -> (Record, Duration) {
    let mut told = exchange("pay", 200, "done by s1");
    let response = told.response.as_mut().unwrap();
    response.is_leaving = true;
    let known_at = response.head_at;
    let mut leaving = answer(200);
    leaving.is_leaving = true;
    let record = Record {
        exchanges: vec![told],
        arrivals: vec![arrival("pay")],
        answers: vec![leaving],
        disturbances: Vec::new(),
    };
    (record, known_at)
}

/// A server whose departure its host has passed on, and that receives a request after the drain delay.
fn late_request() -> (Record, Duration) {
    let (mut record, known_at) = departure();
    add_request(&mut record, HOST, known_at + DRAIN_DELAY + MOMENT);
    (record, known_at)
}

/// Guards against a verdict that misses requests to a server whose departure the host has passed on.
#[test]
fn requests_to_a_server_that_leaves_are_detected() {
    let (mut record, _) = late_request();
    assert_eq!(record.departures().len(), 1);
    assert_eq!(record.violations().len(), 1);
    // A request that the server turned away reached it too.
    record.arrivals[1].has_run = false;
    assert_eq!(record.violations().len(), 1);
}

/// Guards against exemptions of the drain rule that it does not have: of other hosts, of links and of other times.
#[test]
fn only_a_restart_or_a_freeze_of_the_host_excuses_requests_to_a_server_that_leaves() {
    let second = Duration::from_secs(1);
    let cases = |known_at: Duration, end: Duration| {
        [
            (Target::Host(HOST), known_at, end, 0),
            (Target::Host(HOST), known_at + second, known_at + second, 0),
            (Target::Host(HOST), Duration::ZERO, before(known_at), 1),
            (Target::Host(HOST), end + MOMENT, end + second, 1),
            (Target::Host(OTHER_HOST), known_at, end, 1),
            (Target::Link("s1".to_owned()), known_at, end, 1),
            (Target::Server("s1".to_owned()), known_at, end, 1),
        ]
    };
    let (_, known_at) = late_request();
    for (target, from, until, count) in cases(known_at, known_at + DRAIN_DELAY + MOMENT) {
        let (mut record, _) = late_request();
        disturb(&mut record, target.clone(), from, until);
        assert_eq!(
            record.violations().len(),
            count,
            "{target:?} {from:?} {until:?}"
        );
    }
}

/// Guards against false positives: requests of the drain delay, of other hosts, to other instances and servers, and after
/// an announcement that did not reach a caller.
#[test]
fn requests_that_may_reach_a_server_that_leaves_pass() {
    let (mut record, known_at) = departure();
    add_request(&mut record, HOST, known_at + DRAIN_DELAY);
    record.arrivals[1].at += DRAIN_DELAY;
    add_request(&mut record, OTHER_HOST, known_at + 2 * DRAIN_DELAY);
    assert_eq!(record.violations(), [""; 0]);
    let changes: [fn(&mut Record); 6] = [
        |record| record.arrivals[1].born_ms = 8,
        |record| record.arrivals[1].server = "s2".to_owned(),
        |record| record.answers[0].is_leaving = false,
        |record| record.exchanges[0].response = None,
        |record| record.exchanges[0].response.as_mut().unwrap().is_leaving = false,
        |record| record.exchanges[0].response.as_mut().unwrap().seal = None,
    ];
    for (number, change) in changes.iter().enumerate() {
        let (mut record, _) = late_request();
        change(&mut record);
        assert_eq!(record.violations(), [""; 0], "{number}");
    }
}

/// Time for which the server of [`backoff`] asks for no requests.
const WAIT: Duration = Duration::from_millis(2_500);

/// A server that asked its host for no requests, and receives `requests` of it at the end of that time.
fn backoff(requests: usize) -> Record {
    let mut rejected = arrival("pay");
    rejected.has_run = false;
    let mut rejection = answer(503);
    rejection.retry_after = Some(WAIT);
    let mut record = Record {
        exchanges: vec![exchange("pay", 503, "")],
        arrivals: vec![rejected],
        answers: vec![rejection],
        disturbances: Vec::new(),
    };
    for _ in 0..requests {
        add_request(&mut record, HOST, before(ANSWERED_AT + WAIT));
    }
    record
}

/// Guards against a verdict that misses requests to a server that has asked the host for none.
#[test]
fn requests_to_a_server_that_asks_for_none_are_detected() {
    assert_eq!(backoff(0).backoffs().len(), 1);
    assert_eq!(backoff(3).violations().len(), 1);
    let mut early = backoff(3);
    for arrival in &mut early.arrivals[1..] {
        arrival.at = ANSWERED_AT + BACKOFF_DELAY;
        arrival.has_run = false;
    }
    assert_eq!(early.violations().len(), 1);
}

/// Guards against exemptions of the budget rule that it does not have: of other hosts and links, and of other times.
#[test]
fn only_a_restart_a_freeze_or_a_cut_excuses_requests_to_a_server_that_asks_for_none() {
    let end = ANSWERED_AT + WAIT;
    let second = Duration::from_secs(1);
    let link = || Target::Link("s1".to_owned());
    let cases = [
        (Target::Host(HOST), ANSWERED_AT, end, 0),
        (Target::Host(HOST), Duration::ZERO, ANSWERED_AT, 0),
        (link(), end, end + second, 0),
        (link(), Duration::ZERO, before(ANSWERED_AT), 1),
        (Target::Host(HOST), end + MOMENT, end + second, 1),
        (Target::Host(OTHER_HOST), ANSWERED_AT, end, 1),
        (Target::Link("s2".to_owned()), ANSWERED_AT, end, 1),
        (Target::Server("s1".to_owned()), ANSWERED_AT, end, 1),
    ];
    for (target, from, until, count) in cases {
        let mut record = backoff(3);
        disturb(&mut record, target.clone(), from, until);
        assert_eq!(
            record.violations().len(),
            count,
            "{target:?} {from:?} {until:?}"
        );
    }
}

/// Guards against false positives: two requests, those on the way at the rejection, those after its time, and those of
/// other hosts and to other instances and servers.
#[test]
fn requests_that_may_reach_a_server_that_asks_for_none_pass() {
    assert_eq!(backoff(2).violations(), [""; 0]);
    let mut record = backoff(2);
    for _ in 0..4 {
        add_request(&mut record, HOST, before(ANSWERED_AT + BACKOFF_DELAY));
        add_request(&mut record, HOST, ANSWERED_AT + WAIT);
        add_request(&mut record, OTHER_HOST, before(ANSWERED_AT + WAIT));
    }
    assert_eq!(record.violations(), [""; 0]);
    let changes: [fn(&mut Record); 5] = [
        |record| record.arrivals[1].born_ms = 8,
        |record| record.arrivals[1].server = "s2".to_owned(),
        |record| record.answers[0].status = 500,
        |record| record.answers[0].retry_after = None,
        |record| record.answers[0].retry_after = Some(BACKOFF_DELAY),
    ];
    for (number, change) in changes.iter().enumerate() {
        let mut record = backoff(3);
        change(&mut record);
        assert_eq!(record.violations(), [""; 0], "{number}");
    }
}
