//! Unit tests of decisions without I/O.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeSet;

use assert_matches::assert_matches;

use agatemill_config::Envelope;
use agatemill_control::Settings;
use agatemill_control::configuration::Configuration;
use agatemill_control::configuration::Outcome;
use agatemill_control::directory;
use agatemill_control::hosts;
use agatemill_control::hosts::Hosts;
use agatemill_control::placement;
use agatemill_control::record::Record;
use agatemill_control::settings::Invalid;
use agatemill_core::number::Generation;
use agatemill_core::number::Incarnation;
use agatemill_core::number::Revision;
use agatemill_membership::Member;
use agatemill_membership::Profile;
use agatemill_membership::Service;
use agatemill_membership::State;

const SETTINGS: &str = r#"
host = "host-1"
zone = "zone-a"
environment = "trial"
listen = "127.0.0.1:7000"
gossip = "127.0.0.1:7000"
"#;

fn member(index: u16, state: State, service: Service) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index));
    Member {
        host: format!("host-{index}").parse().expect("a valid id"),
        run: 1,
        incarnation: Incarnation(2),
        state,
        revision: 3,
        profile: Profile {
            zone: "zone-a".parse().expect("a valid id"),
            control: address,
            gossip: address,
            entry: Some(address),
            service,
        },
    }
}

fn envelope(generation: u64, text: &str) -> Envelope {
    let text = format!("# {text}\nhalves = [\"kadunaledger\"]\n");
    Envelope::new(Generation(generation), "write".into(), "ada".into(), text)
}

/// Guards against a configuration that reverts, is replaced within its generation, or is not valid.
#[test]
fn only_a_newer_valid_configuration_is_taken() {
    let configuration = Configuration::default();
    assert_eq!(configuration.offer(envelope(2, "a")), Outcome::Accepted);
    assert_eq!(configuration.offer(envelope(2, "a")), Outcome::Known);
    assert_eq!(configuration.offer(envelope(2, "b")), Outcome::Conflicting);
    assert_eq!(configuration.offer(envelope(1, "c")), Outcome::Older);
    let broken = Envelope::new(Generation(3), "w".into(), "ada".into(), "nonsense".into());
    assert_matches!(configuration.offer(broken), Outcome::Invalid(_));
    assert_eq!(configuration.envelope(), Some(envelope(2, "a")));
}

/// Guards against a confirmation of a generation that this control has not received yet, and against an old
/// confirmation that replaces a more recent one.
#[test]
fn a_confirmation_counts_for_generations_up_to_the_one_held() {
    let second = Duration::from_secs(1);
    let configuration = Configuration::default();
    configuration.offer(envelope(2, "a"));
    configuration.confirm(Generation(3), 9 * second);
    assert_eq!(configuration.confirmation_age(10 * second), None);
    configuration.confirm(Generation(2), 5 * second);
    configuration.confirm(Generation(2), 4 * second);
    assert_eq!(
        configuration.confirmation_age(10 * second),
        Some(5 * second)
    );
}

/// Guards against a directory with hosts that are not ready, dead or leaving.
#[test]
fn the_directory_has_ready_hosts_only() {
    let members = [
        member(1, State::Alive, Service::Ready),
        member(2, State::Alive, Service::Draining),
        member(3, State::Alive, Service::Absent),
        member(4, State::Dead, Service::Ready),
        member(5, State::Left, Service::Ready),
        member(6, State::Alive, Service::Ready),
        member(7, State::Suspect, Service::Ready),
    ];
    let leaving = BTreeSet::from([members[5].host.clone()]);
    let places = directory::choose(members.iter(), &leaving);
    let hosts: Vec<_> = places.iter().map(|place| place.host.as_str()).collect();
    assert_eq!(hosts, ["host-1"]);
}

/// Guards against a partitioned host that gives callers an almost empty directory.
#[test]
fn suspects_are_used_when_fewer_than_half_would_remain() {
    let members = [
        member(1, State::Alive, Service::Ready),
        member(2, State::Suspect, Service::Ready),
        member(3, State::Suspect, Service::Ready),
    ];
    let count = |members: &[Member]| directory::choose(members.iter(), &BTreeSet::new()).len();
    assert_eq!(count(&members), 3);
    assert_eq!(count(&members[..2]), 1);
}

/// Guards against a zone without a watcher, or with as many as it has hosts.
#[test]
fn two_live_members_of_a_zone_watch() {
    let members: Vec<_> = (0..8)
        .map(|index| member(index, State::Alive, Service::Ready))
        .collect();
    let watchers = |members: &[Member]| {
        let watches = |own: &&Member| {
            let others = members.iter().filter(|member| member.host != own.host);
            own.state == State::Alive && placement::is_watcher(own, others)
        };
        members.iter().filter(watches).count()
    };
    let contacts = members.iter().filter(|own| {
        let others = members.iter().filter(|member| member.host != own.host);
        placement::is_contact(own, others)
    });
    assert_eq!(contacts.count(), 3);
    assert_eq!(watchers(&members), 2);
    for index in 0..8 {
        let mut fewer = members.clone();
        fewer[index].state = State::Dead;
        assert_eq!(watchers(&fewer), 2);
    }
}

/// Guards against a list of hosts that is older or cannot be parsed and replaces a newer one.
#[test]
fn only_a_newer_list_of_hosts_is_taken() {
    let list = |revision, state: &str| {
        let text = format!(r#"[{{"host":"host-1","address":"127.0.0.1","state":"{state}"}}]"#);
        hosts::parse(Revision(revision), text.as_bytes())
    };
    let offer = |held: &Hosts, revision, state| held.offer(list(revision, state).expect("a list"));
    let held = Hosts::default();
    assert_eq!(offer(&held, 7, "leaving"), hosts::Outcome::Accepted);
    assert_eq!(offer(&held, 6, "live"), hosts::Outcome::Older);
    assert_eq!(offer(&held, 7, "live"), hosts::Outcome::Known);
    assert_eq!(held.leaving().len(), 1);
    assert_eq!(offer(&held, 8, "live"), hosts::Outcome::Accepted);
    assert_eq!(held.leaving(), []);
    assert_eq!(held.newer_than(8), None);
    assert_matches!(list(9, "gone"), Err(_));
}

/// Guards against a field that is lost in the conversion to or from the wire type.
#[test]
fn a_member_is_unchanged_by_a_wire_round_trip() {
    for state in [State::Alive, State::Suspect, State::Dead, State::Left] {
        for service in [Service::Absent, Service::Ready, Service::Draining] {
            let member = member(1, state, service);
            let sent: agatemill_wire::Member = Record(member.clone()).into();
            assert_eq!(Record::from(sent).0, member);
        }
    }
}

/// Guards against settings that are misspelt and silently ignored, or that cannot work.
#[test]
fn settings_are_checked() {
    let with = |text: &str| Settings::parse(&format!("{SETTINGS}{text}"));
    assert_matches!(with(""), Ok(_));
    assert_matches!(with("thread = 3"), Err(Invalid::File(_)));
    assert_matches!(with("threads = 0"), Err(Invalid::Value { .. }));
    assert_matches!(with("[timings]\nprobe = \"1s\""), Err(Invalid::File(_)));
    assert_matches!(
        with("[timings]\nsuspicion = \"0ms\""),
        Err(Invalid::Value { .. })
    );
    let unreachable = SETTINGS.replace("127.0.0.1:7000", "0.0.0.0:7000");
    assert_matches!(Settings::parse(&unreachable), Err(Invalid::Value { .. }));
}
