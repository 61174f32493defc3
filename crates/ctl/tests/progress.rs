//! Rollout progress of a generation. Guards against reported success while a member has an older document or does not
//! respond, and against reuse of a generation number that a member already has.

use agatemill_core::number::Generation;
use agatemill_ctl::progress;
use agatemill_wire::Count;
use agatemill_wire::Overview;

#[test]
fn a_generation_with_lagging_or_unresponsive_members_is_incomplete() {
    let overview = Overview {
        host: "h1".parse().unwrap(),
        environment: "trial".parse().unwrap(),
        generation: 5,
        digest: String::new(),
        confirmed_ms: None,
        planner: false,
        members: Vec::new(),
    };
    let generations = [
        ("h1", Some(5)),
        ("h2", Some(4)),
        ("h3", None),
        ("h4", Some(6)),
    ];
    let members = generations.map(|(host, generation)| (host.parse().unwrap(), generation));
    let count = Count::of(5, members.into_iter());
    assert!(!count.is_complete());
    assert_eq!(
        progress::highest_generation(&overview, &count),
        Generation(6)
    );
    assert_eq!(
        progress::summary(&count),
        "generation 5 is in force on 2 of 4 live members\nh2 still has generation 4\nh3 did not answer\n"
    );
}
