//! How far a generation has come. Guards against waiting for dead hosts and against reporting success
//! while a suspected host still serves an older document.

use agatemill_core::number::Generation;
use agatemill_ctl::progress;
use agatemill_wire::Member;
use agatemill_wire::Overview;
use agatemill_wire::member::Service;
use agatemill_wire::member::State;

fn member(host: &str, generation: u64, state: State) -> Member {
    Member {
        host: host.parse().unwrap(),
        zone: "z1".parse().unwrap(),
        run: 1,
        incarnation: 1,
        revision: 1,
        control: "10.0.0.1:1".parse().unwrap(),
        gossip: "10.0.0.1:2".parse().unwrap(),
        entry: None,
        service: Service::Ready,
        generation,
        state,
    }
}

#[test]
fn live_and_suspected_members_are_waited_for() {
    let overview = Overview {
        host: "h1".parse().unwrap(),
        environment: "trial".parse().unwrap(),
        generation: 5,
        digest: String::new(),
        confirmed_ms: None,
        planner: false,
        members: vec![
            member("h1", 5, State::Alive),
            member("h2", 4, State::Alive),
            member("h3", 3, State::Suspect),
            member("h4", 1, State::Dead),
            member("h5", 6, State::Left),
        ],
    };
    let behind = progress::behind(&overview, Generation(5));
    let hosts: Vec<_> = behind.iter().map(|member| member.host.as_str()).collect();
    assert_eq!(hosts, ["h2", "h3"]);
    assert_eq!(progress::highest(&overview), Generation(6));
    let table = progress::table(&overview);
    assert_eq!(table.lines().count(), 7);
    assert!(
        table.contains("h3                       z1               suspect  ready              3")
    );
}
