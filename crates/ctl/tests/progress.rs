//! How far a generation has come. Guards against reporting success while a member still has an older
//! document or does not answer, and against a generation number that a member has used already.

use agatemill_core::number::Generation;
use agatemill_ctl::progress;
use agatemill_wire::Count;
use agatemill_wire::Overview;

#[test]
fn members_that_are_behind_or_silent_are_waited_for() {
    let overview = Overview {
        host: "h1".parse().unwrap(),
        environment: "trial".parse().unwrap(),
        generation: 5,
        digest: String::new(),
        confirmed_ms: None,
        planner: false,
        members: Vec::new(),
    };
    let held = [
        ("h1", Some(5)),
        ("h2", Some(4)),
        ("h3", None),
        ("h4", Some(6)),
    ];
    let members = held.map(|(host, generation)| (host.parse().unwrap(), generation));
    let count = Count::of(5, members.into_iter());
    assert!(!count.is_complete());
    assert_eq!(progress::highest(&overview, &count), Generation(6));
    assert_eq!(
        progress::summary(&count),
        "generation 5 is in force on 2 of 4 live members\nh2 still has generation 4\nh3 did not answer\n"
    );
}
