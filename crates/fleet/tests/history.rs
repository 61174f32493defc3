//! What the era of a response says, and states of the store across a restore.

use agatemill_core::number::Era;
use agatemill_core::number::Revision;
use agatemill_fleet::History;
use agatemill_fleet::history::Cursor;
use agatemill_fleet::history::Observation;

fn cursor(era: u64, revision: u64) -> Cursor {
    Cursor {
        era: Era(era),
        revision: Revision(revision),
    }
}

/// Guards against a restore that is not noticed, and against a late response that is taken for one.
#[test]
fn only_a_later_era_is_a_restore() {
    let mut history = History::default();
    assert_eq!(history.observe(Some(Era(3))), Observation::Current);
    assert_eq!(history.observe(Some(Era(3))), Observation::Current);
    let (from, to) = (Era(3), Era(5));
    assert_eq!(
        history.observe(Some(to)),
        Observation::Restored { from, to }
    );
    let (named, known) = (from, to);
    assert_eq!(
        history.observe(Some(named)),
        Observation::Late { named, known }
    );
    assert_eq!(history.era(), Era(5), "an era never falls");
}

/// Guards against a store that cannot be used because its responses name no era, or some do not.
#[test]
fn a_response_without_an_era_counts_as_one_of_the_known_era() {
    let mut history = History::default();
    assert_eq!(history.observe(None), Observation::Current);
    assert_eq!(history.era(), Era(0));
    assert_eq!(history.observe(Some(Era(2))), Observation::Current);
    assert_eq!(history.observe(None), Observation::Unnamed);
    assert_eq!(history.era(), Era(2));
}

/// Guards against a lower fencing number after a restore, which engines that have seen a higher one refuse.
#[test]
fn fencing_numbers_rise_across_a_restore() {
    let states = [
        cursor(0, 7),
        cursor(1, 3),
        cursor(1, 90_000_000_000),
        cursor(2, 1),
        cursor(2, 2),
        cursor(8_191, 1),
    ];
    assert!(states.is_sorted());
    let fences = states.map(Cursor::fence);
    assert!(fences.is_sorted());
    assert!(fences.windows(2).all(|pair| pair[0] < pair[1]));
    assert!(fences[5].0 < 1 << 53, "a double holds it");
}
