//! How long servers that ask for no requests get none.

use core::time::Duration;

use agatemill_fleet::Backoff;
use agatemill_fleet::Server;
use agatemill_fleet::backoff;
use agatemill_fleet::backoff::Wait;
use agatemill_fleet::backoff::wait::MAX;
use agatemill_fleet::server::State;
use agatemill_fleet::tally::Key;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn wait(text: &str) -> Wait {
    text.parse().unwrap()
}

fn server(id: &str, born_ms: u64) -> Server {
    let id = id.parse().unwrap();
    Server {
        key: Key::from(&id),
        id,
        born_ms,
        service: "s".parse().unwrap(),
        address: "10.0.0.1:8080".parse().unwrap(),
        zone: "a".parse().unwrap(),
        state: State::Ready,
        slots: 1,
        accelerator: None,
        layers: None,
        orders: 0,
    }
}

/// Guards against times that end too early or too late.
#[test]
fn a_time_lasts_until_its_end() {
    let mut backoff = Backoff::default();
    let server = server("a", 1);
    assert!(backoff.record(&server, wait("1.5"), ms(1_000)));
    assert_eq!(backoff.left(&server, ms(1_000)), Some(ms(1_500)));
    assert_eq!(backoff.left(&server, ms(2_499)), Some(ms(1)));
    assert_eq!(backoff.left(&server, ms(2_500)), None);
}

/// Guards against a shorter time that ends a longer one, and a longer one that is lost.
#[test]
fn the_latest_end_counts() {
    let mut backoff = Backoff::default();
    let server = server("a", 1);
    assert!(backoff.record(&server, wait("3"), ms(0)));
    assert!(!backoff.record(&server, wait("1"), ms(500)));
    assert!(!backoff.record(&server, wait("0"), ms(600)));
    assert_eq!(backoff.left(&server, ms(1_000)), Some(ms(2_000)));
    assert!(!backoff.record(&server, wait("2.5"), ms(1_000)));
    assert_eq!(backoff.left(&server, ms(1_000)), Some(ms(2_500)));
    assert!(backoff.record(&server, wait("60"), ms(1_000)));
    assert_eq!(backoff.left(&server, ms(1_000)), Some(ms(60_000)));
}

/// Guards against a restarted server that inherits the time of its predecessor, or loses its own to a late answer.
#[test]
fn a_time_belongs_to_one_incarnation() {
    let mut backoff = Backoff::default();
    let (old, new) = (server("a", 1), server("a", 2));
    backoff.record(&old, wait("60"), ms(0));
    assert_eq!(backoff.left(&new, ms(1)), None);
    backoff.record(&new, wait("5"), ms(1));
    assert!(!backoff.record(&old, wait("60"), ms(2)));
    assert_eq!(backoff.left(&new, ms(2)), Some(ms(4_999)));
    let mut moved = server("a", 2);
    moved.address.set_port(8081);
    assert_eq!(backoff.left(&moved, ms(2)), None);
}

/// Guards against requests that are rejected although one of the servers may be used.
#[test]
fn the_common_wait_needs_all_servers() {
    let mut backoff = Backoff::default();
    let servers = ["a", "b", "c"].map(|id| server(id, 1));
    assert_eq!(backoff.common_wait(&servers, ms(0)), None);
    for (server, text) in servers.iter().zip(["9", "4"]) {
        backoff.record(server, wait(text), ms(0));
    }
    assert_eq!(backoff.common_wait(&servers, ms(0)), None);
    assert_eq!(backoff.shortest_wait(&servers, ms(0)), Some(ms(4_000)));
    backoff.record(&servers[2], wait("7"), ms(0));
    assert_eq!(backoff.common_wait(&servers, ms(0)), Some(ms(4_000)));
    assert_eq!(backoff.common_wait(&servers, ms(4_000)), None);
    assert_eq!(backoff.common_wait(&[], ms(0)), None);
    assert_eq!(backoff.shortest_wait(&[], ms(0)), None);
}

/// Guards against memory that grows with every server that ever asked.
#[test]
fn the_number_of_servers_is_bounded() {
    let mut backoff = Backoff::default();
    let servers = (0..5_000).map(|number| server(&format!("s{number}"), 1));
    let servers: Vec<Server> = servers.collect();
    for (server, at) in servers.iter().zip(0..) {
        backoff.record(server, wait("3600"), ms(at));
    }
    let kept = servers.iter();
    let kept = kept.filter(|server| backoff.left(server, ms(5_000)).is_some());
    assert_eq!(kept.count(), 4_096);
    assert!(backoff.left(&servers[4_999], ms(5_000)).is_some());
    assert!(backoff.left(&servers[0], ms(5_000)).is_none());
}

/// Guards against a log that is flooded by unusable texts.
#[test]
fn unusable_texts_are_reported_once_a_second() {
    let mut backoff = Backoff::default();
    let reported = (0..10_000).filter(|now| backoff.reports_invalid(ms(*now)));
    assert_eq!(reported.count(), 10);
}

/// Guards against texts that are no number of seconds, or one that leaves the server unused for hours.
#[test]
fn only_seconds_up_to_the_maximum_are_times() {
    let usable = [
        ("0", 0),
        ("2", 2_000),
        (" 1.25 ", 1_250),
        (".5", 500),
        ("3600", 3_600_000),
    ];
    for (text, time) in usable {
        assert_eq!(wait(text).time(), ms(time), "{text}");
    }
    assert_eq!(wait("1.25").to_string(), "1.25");
    let unusable = [
        "-1",
        "-0.001",
        "",
        "soon",
        "1 s",
        "1,5",
        "NaN",
        "inf",
        "-inf",
        "1e300",
        "3600.001",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ];
    for text in unusable {
        let error = text.parse::<Wait>().unwrap_err();
        assert_eq!(error.found, text);
    }
    let long = "9".repeat(10_000).parse::<Wait>().unwrap_err();
    assert!(long.found.len() <= 40);
    assert_eq!(MAX, Duration::from_hours(1));
}

/// Guards against callers that return together, or before a server may be used.
#[test]
fn callers_return_after_the_end_and_apart() {
    for time in [ms(1), ms(995), ms(60_000)] {
        let (first, last) = (
            backoff::retry_after(time, 0.0),
            backoff::retry_after(time, 1.0),
        );
        let text: f64 = format!("{:.2}", first.as_secs_f64()).parse().unwrap();
        assert!(text >= time.as_secs_f64());
        assert!(last >= first + time / 4);
    }
}

/// Guards against a server that gets all waiting requests at once, and requests that wait longer than they may.
#[test]
fn waiting_requests_begin_apart_and_in_time() {
    let limit = ms(250);
    let delays = [0.0, 0.5, 1.0].map(|random| backoff::resume_delay(ms(100), limit, random));
    assert_eq!(delays, [ms(100), ms(175), ms(250)]);
    let delays = [0.0, 1.0].map(|random| backoff::resume_delay(ms(100), ms(5_000), random));
    assert_eq!(delays, [ms(100), ms(300)]);
}

/// Guards against a server that is used although it asks for no requests, because the clock of its machine was set back
/// before it started.
#[test]
fn an_incarnation_may_have_an_earlier_start_than_the_one_before_it() {
    let mut backoff = Backoff::default();
    backoff.record(&server("a", 5), wait("60"), ms(0));
    assert!(backoff.record(&server("a", 3), wait("5"), ms(1)));
    assert_eq!(backoff.left(&server("a", 3), ms(1)), Some(ms(5_000)));
}
