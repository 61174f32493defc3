//! Order of requests by urgency.

use agatemill_core::Priority;
use agatemill_core::Urgency;

/// Guards against requests of an urgent organisation that wait behind an urgent kind of another one, and against kinds of one
/// organisation that lose their order.
#[test]
fn the_organisation_comes_before_the_kind() {
    let mut urgencies = [
        Urgency::new(Some(1), 0),
        Urgency::new(Some(0), 2),
        Urgency::new(None, 1),
        Urgency::new(Some(0), 0),
        Urgency::IN_PROGRESS,
    ];
    urgencies.sort_unstable();
    let texts: Vec<String> = urgencies[1..].iter().map(Urgency::to_string).collect();
    assert_eq!(urgencies[0], Urgency::IN_PROGRESS);
    assert_eq!(texts, ["0.0", "0.2", "1.0", "1.1"]);
}

/// Guards against ranks beyond the last that come first.
#[test]
fn ranks_beyond_the_last_count_as_the_last() {
    assert_eq!(Urgency::new(Some(200), 200), Urgency::new(Some(9), 9));
    assert_eq!(Urgency::new(None, 12).rank(), Urgency::LOWEST_RANK);
}

/// Guards against an order of the entry's priorities that is reversed.
#[test]
fn priorities_keep_their_order() {
    let order = [Priority::Interactive, Priority::Normal, Priority::Batch].map(Urgency::from);
    assert!(order.is_sorted());
}
