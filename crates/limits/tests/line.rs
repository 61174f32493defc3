//! Order of waiting requests.

use core::time::Duration;

use agatemill_core::Urgency;
use agatemill_core::id;
use agatemill_limits::Line;
use agatemill_limits::line::Ticket;
use agatemill_limits::line::Waiter;

const URGENT: u8 = 0;
const NORMAL: u8 = 1;
const PATIENT: u8 = 2;

fn waiter(organisation: &str, urgency: u8, deadline_s: u64) -> Waiter {
    Waiter {
        organisation: Some(organisation.parse::<id::Organisation>().unwrap()),
        weight: 1,
        urgency: Urgency::new(None, urgency),
        deadline: Duration::from_secs(deadline_s),
    }
}

fn join(line: &mut Line, organisation: &str, urgency: u8, count: usize) -> Vec<Ticket> {
    (0..count)
        .map(|_| line.join(waiter(organisation, urgency, 20)))
        .collect()
}

/// Serves the first `count` requests; returns their organisations.
fn serve(line: &mut Line, count: usize) -> Vec<String> {
    let next = |line: &mut Line| {
        let ticket = line.next_after(None)?;
        line.serve(ticket)?.organisation
    };
    (0..count)
        .map_while(|_| next(line))
        .map(|name| name.to_string())
        .collect()
}

fn position(served: &[String], organisation: &str) -> usize {
    served.iter().position(|name| name == organisation).unwrap()
}

/// Guards against urgent requests that queue behind others, and against an unknown urgency that comes first.
#[test]
fn the_most_urgent_request_is_first() {
    let mut line = Line::default();
    for urgency in [PATIENT, u8::MAX, URGENT, 9, NORMAL] {
        join(&mut line, "a", urgency, 1);
    }
    let ranks: Vec<u8> = line
        .iter()
        .map(|(_, waiter)| waiter.urgency.rank())
        .collect();
    assert_eq!(ranks, [0, 1, 2, 9, 9]);
    let ahead = [URGENT, NORMAL, PATIENT, 9].map(|kind| line.ahead_of(Urgency::new(None, kind)));
    assert_eq!(ahead, [1, 2, 3, 5]);
}

/// Guards against a wake-up that skips a waiting request or returns to one that found no path.
#[test]
fn next_after_visits_all_requests_in_order() {
    let mut line = Line::default();
    for (organisation, urgency) in [("a", PATIENT), ("b", URGENT), ("a", URGENT), ("c", NORMAL)] {
        join(&mut line, organisation, urgency, 2);
    }
    let mut visited = Vec::new();
    let mut at = None;
    while let Some(ticket) = line.next_after(at) {
        visited.push(ticket);
        at = Some(ticket);
    }
    let expected: Vec<Ticket> = line.iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(visited, expected);
    assert_eq!(visited.len(), 8);
}

/// Guards against the backlog of a large organisation that delays all others of the same urgency.
#[test]
fn a_large_organisation_takes_only_its_share() {
    let mut line = Line::default();
    join(&mut line, "large", NORMAL, 300);
    for organisation in ["b", "c", "d"] {
        join(&mut line, organisation, NORMAL, 10);
    }
    let served = serve(&mut line, 40);
    for organisation in ["large", "b", "c", "d"] {
        let count = served.iter().filter(|name| *name == organisation).count();
        assert_eq!(count, 10, "{organisation}");
    }
}

/// Guards against weights without effect: an organisation of weight 3 gets three times the service.
#[test]
fn service_is_proportional_to_weight() {
    let mut line = Line::default();
    for _ in 0..60 {
        line.join(waiter("a", NORMAL, 20));
        line.join(Waiter {
            weight: 3,
            ..waiter("b", NORMAL, 20)
        });
    }
    let served = serve(&mut line, 40);
    let of_b = served.iter().filter(|name| *name == "b").count();
    assert!((29..=31).contains(&of_b), "{of_b} of 40");
}

/// Guards against an organisation that joins late, and waits until the others have no more requests.
#[test]
fn an_organisation_that_joins_late_is_served_next() {
    let mut line = Line::default();
    join(&mut line, "large", NORMAL, 300);
    serve(&mut line, 100);
    join(&mut line, "late", NORMAL, 1);
    let served = serve(&mut line, 3);
    assert!(served.iter().any(|name| name == "late"), "{served:?}");
}

/// Guards against an urgent request of a large organisation that moves the virtual time past the turns of its less urgent ones,
/// so that organisations that join afterwards wait behind its whole backlog.
#[test]
fn service_of_another_urgency_does_not_delay_other_organisations() {
    let mut line = Line::default();
    join(&mut line, "large", PATIENT, 100);
    join(&mut line, "large", URGENT, 1);
    assert_eq!(serve(&mut line, 1), ["large"]);
    join(&mut line, "small", PATIENT, 1);
    let served = serve(&mut line, 101);
    let at = position(&served, "small");
    assert!(at < 3, "served after {at} requests of the large one");
}

/// Guards against a line that ignores which request of equal turn has the least time left.
#[test]
fn the_earlier_deadline_is_first_among_equal_turns() {
    let mut line = Line::default();
    line.join(waiter("a", NORMAL, 30));
    line.join(waiter("b", NORMAL, 10));
    line.join(waiter("c", NORMAL, 20));
    assert_eq!(serve(&mut line, 3), ["b", "c", "a"]);
}

/// Guards against requests whose callers left that are served or counted.
#[test]
fn a_request_that_left_is_not_served() {
    let mut line = Line::default();
    let tickets = join(&mut line, "a", NORMAL, 3);
    assert!(line.leave(tickets[1]).is_some());
    assert_eq!(line.leave(tickets[1]), None);
    assert_eq!(line.serve(tickets[1]), None);
    let left: Vec<Ticket> = line.iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(left, [tickets[0], tickets[2]]);
    assert_eq!(line.ahead_of(Urgency::new(None, NORMAL)), 2);
    serve(&mut line, 2);
    assert!(line.is_empty());
}

/// Guards against requests that left unserved counting as service of their organisation.
#[test]
fn requests_that_left_do_not_cost_their_organisation_its_turn() {
    let mut line = Line::default();
    for ticket in join(&mut line, "a", NORMAL, 50) {
        line.leave(ticket);
    }
    join(&mut line, "b", NORMAL, 50);
    join(&mut line, "a", NORMAL, 1);
    let served = serve(&mut line, 51);
    let at = position(&served, "a");
    assert!(at < 3, "served after {at} requests of the other");
}

/// Length of the debug output of a line through which each of `count` organisations passed one request, and in which `waiting`
/// organisations still wait.
fn size(count: usize, waiting: usize, leaves: bool) -> usize {
    let mut line = Line::default();
    for number in 0..waiting {
        join(&mut line, &format!("waits-{number}"), PATIENT, 1);
    }
    for number in 0..count {
        let ticket = join(&mut line, &format!("passes-{number:05}"), URGENT, 1)[0];
        let ended = if leaves {
            line.leave(ticket)
        } else {
            line.serve(ticket)
        };
        assert!(ended.is_some());
    }
    assert_eq!(line.len(), waiting);
    format!("{line:?}").len()
}

/// Guards against memory that grows with the number of organisations that were served once.
#[test]
fn memory_does_not_grow_with_served_organisations() {
    let (few, many) = (size(10, 5, false), size(2_000, 5, false));
    assert!(many < 4 * few, "{many} bytes of debug output, {few} for 10");
}

/// Guards against memory that grows with the number of organisations whose callers left.
#[test]
fn memory_does_not_grow_with_organisations_that_left() {
    let (few, many) = (size(10, 5, true), size(2_000, 5, true));
    assert!(many < 4 * few, "{many} bytes of debug output, {few} for 10");
}
