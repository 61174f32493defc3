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
        start: Start::Allowed,
    };
    let path = Path::choose(&model, &candidates, request).unwrap();
    assert!(path.parts().len() > 1);
    path
}

/// Guards against runs that are dropped because their engine is silent, for however long.
#[test]
fn silence_never_ends_a_run() {
    let path = path();
    for evidence in [Evidence::Silent, Evidence::Awaited] {
        let mut suspicion = Suspicion::default();
        for now in (0..20_000).step_by(500).map(ms) {
            suspicion.suspect(path.first().address, evidence, now);
            assert_eq!(suspicion.standing(&path, ms(0), now), Standing::FirstSilent);
        }
    }
}

/// Guards against a run that waits for an engine that has ended, and against one that began after a restart and is dropped
/// for the end of the engine's earlier process.
#[test]
fn a_refused_connection_ends_earlier_runs_only() {
    let path = path();
    let mut suspicion = Suspicion::default();
    suspicion.suspect(path.first().address, Evidence::Refused, ms(1_000));
    assert_eq!(
        suspicion.standing(&path, ms(900), ms(1_100)),
        Standing::Ended
    );
    let later = suspicion.standing(&path, ms(1_050), ms(1_100));
    assert_eq!(later, Standing::FirstSilent);
}

/// Guards against a stalled stream that is not rerouted around a lost engine of its path.
#[test]
fn a_run_waits_for_the_suspected_parts_of_its_path() {
    let path = path();
    let mut suspicion = Suspicion::default();
    assert_eq!(suspicion.standing(&path, ms(0), ms(1)), Standing::Sound);
    let last = path.parts().last().unwrap().address;
    suspicion.suspect(last, Evidence::Awaited, ms(1));
    let standing = suspicion.standing(&path, ms(0), ms(2));
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
    assert_eq!(suspicion.standing(&path, ms(0), ms(1)), Standing::Sound);
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
fn only_a_refused_connection_shows_an_end() {
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
    assert!(Evidence::Refused.ends_runs());
    assert!(!Evidence::Silent.ends_runs() && !Evidence::Awaited.ends_runs());
}
