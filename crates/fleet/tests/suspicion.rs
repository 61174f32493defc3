//! What observations of backend servers say about them and their runs.

mod fleet;

use core::net::SocketAddrV4;
use core::time::Duration;
use std::io::ErrorKind;

use agatemill_fleet::Evidence;
use agatemill_fleet::Path;
use agatemill_fleet::Suspicion;
use agatemill_fleet::path::Request;
use agatemill_fleet::path::Start;
use agatemill_fleet::placement;
use agatemill_fleet::suspicion::Life;
use agatemill_fleet::suspicion::Standing;

/// Silences that sound servers have.
const USUAL_SILENCE: Duration = Duration::from_millis(1_600);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address() -> SocketAddrV4 {
    "10.0.0.1:8080".parse().unwrap()
}

/// A path of several engines.
fn path() -> Path {
    let model = fleet::model();
    let mut cards = fleet::usual_cards();
    for change in placement::fill(&model, &cards) {
        let card = cards.iter_mut().find(|card| card.server == change.server);
        card.unwrap().layers = Some(change.target);
    }
    let candidates = cards.iter().zip(1_u8..);
    let candidates: Vec<_> = candidates
        .filter_map(|(card, number)| fleet::candidate(&model, card, number))
        .collect();
    let zone = fleet::zone("a");
    let request = Request {
        zone: &zone,
        prompt: 800.0,
        answer: 200.0,
        may_cross: true,
        fill: 1.0,
        start: Start::Allowed,
    };
    let path = Path::choose(&model, &candidates, request).unwrap();
    assert!(path.parts().len() > 1);
    path
}

/// Guards against runs that are dropped because their engine is silent or full, for however long.
#[test]
fn no_observation_of_an_engine_ends_a_run() {
    let path = path();
    for evidence in [Evidence::Silent, Evidence::Awaited, Evidence::Refused] {
        let mut suspicion = Suspicion::default();
        for now in (0..20_000).step_by(500).map(ms) {
            suspicion.suspect(path.first().address, evidence, now);
            assert_eq!(suspicion.standing(&path, now), Standing::FirstSilent);
        }
    }
}

/// Guards against a crash that counts as a broken connection, and against one that is noticed late.
#[test]
fn a_server_that_refuses_connections_and_has_closed_all_others_has_ended() {
    let mut suspicion = Suspicion::default();
    assert_eq!(suspicion.life(&address(), ms(0)), Life::Ended);
    suspicion.record_open(address());
    suspicion.record_open(address());
    suspicion.record_close(&address());
    assert_eq!(suspicion.life(&address(), ms(0)), Life::Unclear);
    suspicion.record_close(&address());
    assert_eq!(suspicion.life(&address(), ms(10)), Life::Ended);
}

/// Guards against a server that has all the connections that it accepts and counts as ended.
#[test]
fn a_server_that_refuses_connections_and_keeps_others_is_full() {
    let mut suspicion = Suspicion::default();
    suspicion.record_open(address());
    assert_eq!(suspicion.life(&address(), ms(100)), Life::Unclear);
    assert_eq!(suspicion.life(&address(), ms(150)), Life::Full);
    let other = "10.0.0.2:8080".parse().unwrap();
    assert_eq!(suspicion.life(&other, ms(150)), Life::Ended);
}

/// Guards against layers that move away from a sound engine that is full, and against layers of an ended one that are not
/// placed again at once.
#[test]
fn only_a_server_without_connections_is_lost_at_once() {
    let mut suspicion = Suspicion::default();
    suspicion.record_open(address());
    suspicion.suspect(address(), Evidence::Refused, ms(0));
    assert!(!suspicion.is_presumed_lost(&address(), ms(1)));
    assert!(suspicion.is_avoided(&address(), ms(1)));
    suspicion.record_close(&address());
    assert!(suspicion.is_presumed_lost(&address(), ms(1)));
}

/// Guards against layers that move away from a sound engine that is full while streams of this host pass through it.
#[test]
fn an_engine_that_streams_pass_through_is_not_lost() {
    let path = path();
    let last = path.parts().last().unwrap().address;
    let mut suspicion = Suspicion::default();
    suspicion.suspect(last, Evidence::Refused, ms(0));
    // Events that were under way when the engine ended.
    suspicion.record_events(&path, ms(50));
    assert!(suspicion.is_presumed_lost(&last, ms(60)));
    for now in (300..3_000).step_by(100).map(ms) {
        suspicion.record_events(&path, now);
        suspicion.suspect(last, Evidence::Refused, now);
        assert!(!suspicion.is_presumed_lost(&last, now));
        assert!(suspicion.is_avoided(&last, now));
    }
    assert!(suspicion.is_presumed_lost(&last, ms(4_000)));
}

/// Guards against a stalled stream that is not rerouted around a lost engine of its path.
#[test]
fn a_run_waits_for_the_suspected_parts_of_its_path() {
    let path = path();
    let mut suspicion = Suspicion::default();
    assert_eq!(suspicion.standing(&path, ms(1)), Standing::Sound);
    let last = path.parts().last().unwrap().address;
    suspicion.suspect(last, Evidence::Awaited, ms(1));
    let standing = suspicion.standing(&path, ms(2));
    assert_eq!(standing, Standing::PartSuspected);
}

/// Guards against layers that move away from engines that are silent for a moment, and layers that stay missing for as
/// long as the platform lists a lost engine.
#[test]
fn only_a_long_silence_makes_layers_missing() {
    let mut suspicion = Suspicion::default();
    // The first report query ends 0.61 s after the silence began.
    suspicion.suspect(address(), Evidence::Silent, ms(610));
    assert!(!suspicion.is_presumed_lost(&address(), ms(700)));
    assert!(!suspicion.is_presumed_lost(&address(), USUAL_SILENCE));
    assert!(suspicion.is_presumed_lost(&address(), ms(2_000)));
    assert!(suspicion.record_response(&address(), ms(2_100)));
    assert!(!suspicion.is_presumed_lost(&address(), ms(2_200)));
    suspicion.suspect(address(), Evidence::Refused, ms(3_000));
    assert!(suspicion.is_presumed_lost(&address(), ms(3_000)));
}

/// Guards against sound servers that are avoided for seconds after they respond again, and against servers that are used
/// although other engines cannot reach them.
#[test]
fn a_response_clears_what_this_host_observed() {
    let mut suspicion = Suspicion::default();
    suspicion.suspect(address(), Evidence::Silent, ms(0));
    assert!(suspicion.record_response(&address(), ms(1_000)));
    assert!(!suspicion.is_avoided(&address(), ms(1_000)));
    suspicion.suspect(address(), Evidence::Awaited, ms(2_000));
    assert!(!suspicion.record_response(&address(), ms(3_000)));
    assert!(suspicion.is_avoided(&address(), ms(3_000)));
}

/// Guards against engines that are avoided for seconds after the streams that waited for them have gone on.
#[test]
fn events_clear_what_other_engines_observed() {
    let path = path();
    let last = path.parts().last().unwrap().address;
    let other = "10.1.0.1:8080".parse().unwrap();
    let mut suspicion = Suspicion::default();
    suspicion.suspect(last, Evidence::Awaited, ms(0));
    suspicion.suspect(other, Evidence::Awaited, ms(0));
    assert_eq!(suspicion.record_progress(&path), [last]);
    assert_eq!(suspicion.standing(&path, ms(1)), Standing::Sound);
    assert!(!suspicion.is_avoided(&last, ms(1)));
    assert!(suspicion.is_avoided(&other, ms(1)));
}

/// Guards against layers that move away from an engine that has just become silent, because it was silent before it
/// responded.
#[test]
fn a_silence_that_has_ended_does_not_count_for_the_next_one() {
    let mut suspicion = Suspicion::default();
    suspicion.suspect(address(), Evidence::Awaited, ms(0));
    suspicion.suspect(address(), Evidence::Silent, ms(0));
    assert!(!suspicion.record_response(&address(), ms(1_400)));
    suspicion.suspect(address(), Evidence::Silent, ms(1_500));
    assert!(!suspicion.is_presumed_lost(&address(), ms(1_600)));
    assert!(suspicion.is_presumed_lost(&address(), ms(2_500)));
}

/// Guards against a connection attempt that times out and counts as the end of the server.
#[test]
fn only_a_refused_connection_may_show_an_end() {
    let evidence = |kind| Evidence::from_connect_error(kind);
    assert_eq!(
        evidence(ErrorKind::ConnectionRefused),
        Some(Evidence::Refused)
    );
    for kind in [ErrorKind::TimedOut, ErrorKind::HostUnreachable] {
        assert_eq!(evidence(kind), Some(Evidence::Silent));
    }
    // A server over its limit of connections resets them.
    assert_eq!(evidence(ErrorKind::ConnectionReset), None);
}
