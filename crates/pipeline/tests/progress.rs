//! Decisions after each step result: no step may be repeated or skipped.

use core::time::Duration;

use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Attempt;
use agatemill_core::number::Position;
use agatemill_engine::failure::Code;
use agatemill_pipeline::Latency;
use agatemill_pipeline::Progress;
use agatemill_pipeline::Settings;
use agatemill_pipeline::progress::Loss;
use agatemill_pipeline::progress::Verdict;

fn server(name: &str) -> id::Server {
    name.parse().expect("an id")
}

fn layers(text: &str) -> layer::Range {
    text.parse().expect("a range")
}

/// Stages that are out of order or that already ran must be rejected.
#[test]
fn refuses_stages_out_of_order() {
    let mut progress = Progress::default();
    assert!(progress.check_order(layers("4..8")).is_err());
    progress.record_reply(layers("0..4"), 5);
    assert!(progress.check_order(layers("0..4")).is_err());
    assert!(progress.check_order(layers("4..8")).is_ok());
}

/// A step with an unknown result must not be followed by another step in the same session.
#[test]
fn starts_again_after_every_loss() {
    for loss in [
        Loss::ConnectFailed,
        Loss::TimedOut,
        Loss::Frozen,
        Loss::ConnectionLost,
        Loss::Mismatched,
        Loss::Refused(Code::Overloaded),
        Loss::Refused(Code::Internal),
    ] {
        let mut progress = Progress::default();
        progress.record_reply(layers("0..4"), 5);
        progress.record_token(7);
        assert_eq!(progress.position(), Position(5));
        progress.record_reply(layers("0..2"), 1);
        progress.handle_loss(&server("a"), loss, 3);
        assert_eq!(progress.attempt(), Attempt(1));
        assert_eq!(progress.position(), Position(0));
        assert!(progress.check_order(layers("0..2")).is_ok());
        assert_eq!(progress.generated(), [7]);
        assert_eq!(progress.excluded(), [server("a")]);
    }
}

/// "Not run" may be reported only while no step can have run.
#[test]
fn phase_is_sent_once_a_step_may_have_run() {
    let mut progress = Progress::default();
    progress.record_send();
    assert_eq!(progress.phase(), Phase::Sent);
    progress.handle_loss(&server("a"), Loss::Refused(Code::Draining), 9);
    assert_eq!(progress.phase(), Phase::Admitted);
    progress.handle_loss(&server("a"), Loss::ConnectFailed, 9);
    assert_eq!(progress.phase(), Phase::Admitted);
    progress.handle_loss(&server("a"), Loss::TimedOut, 9);
    progress.handle_loss(&server("a"), Loss::ConnectFailed, 9);
    assert_eq!(progress.phase(), Phase::Sent);
}

/// Codes that guarantee "not run" must not count as engine failures, and the number of moves must be bounded.
#[test]
fn counts_failures_and_limits_moves() {
    let mut progress = Progress::default();
    let moved = progress.handle_loss(&server("a"), Loss::Refused(Code::Overloaded), 2);
    assert!(matches!(
        moved,
        Verdict::Move {
            failed: false,
            budget: true,
            ..
        }
    ));
    let moved = progress.handle_loss(&server("b"), Loss::ConnectionLost, 2);
    assert!(matches!(moved, Verdict::Move { failed: true, .. }));
    let ended = progress.handle_loss(&server("c"), Loss::ConnectionLost, 2);
    assert_eq!(ended, Verdict::GiveUp(Reason::RetriesExhausted));
}

/// Probes must be neither too late nor too frequent, and a loaded engine must not count as lost: when steps timed out
/// at ten times the average, their load moved to the other engines until the retry budget was exhausted.
#[test]
fn step_timeouts_follow_latency_within_bounds() {
    let settings = Settings::default();
    let mut latency = Latency::default();
    let suspicious = |latency: &Latency, name, positions| {
        latency.probe_delay(&server(name), positions, &settings)
    };
    let limit = |latency: &Latency, name| latency.step_timeout(&server(name), 1, &settings);
    assert_eq!(suspicious(&latency, "a", 1), settings.max_probe_delay());
    assert_eq!(limit(&latency, "a"), settings.step_timeout);
    latency.observe(&server("a"), Duration::from_millis(50));
    assert_eq!(suspicious(&latency, "a", 1), Duration::from_millis(500));
    assert_eq!(suspicious(&latency, "a", 101), Duration::from_millis(1500));
    assert_eq!(limit(&latency, "a"), settings.step_timeout);
    latency.observe(&server("b"), Duration::from_millis(1));
    assert_eq!(suspicious(&latency, "b", 1), settings.min_probe_delay);
    latency.observe(&server("c"), Duration::from_secs(9));
    assert_eq!(suspicious(&latency, "c", 1), settings.max_probe_delay());
    let detected = settings.max_probe_delay() + 2 * settings.status_timeout();
    assert!(
        detected < settings.step_timeout,
        "a frozen engine would look like a slow one"
    );
    assert_eq!(limit(&latency, "c"), Duration::from_secs(36));
}

/// Caches may be transferred only after a refusal during a session: otherwise their positions are unknown.
#[test]
fn transfers_caches_only_when_every_result_is_known() {
    let draining = Loss::Refused(Code::Draining);
    let mut progress = Progress::default();
    progress.record_reply(layers("0..4"), 5);
    let moved = progress.handle_loss(&server("a"), draining, 9);
    assert!(matches!(moved, Verdict::Move { .. }));
    progress.record_reply(layers("0..8"), 5);
    progress.record_token(7);
    progress.record_reply(layers("0..4"), 1);
    let moved = progress.handle_loss(&server("a"), draining, 9);
    assert_eq!(moved, Verdict::Transfer { reason: "draining" });
    assert_eq!(progress.cached_positions(0), Position(6));
    assert_eq!(progress.cached_positions(4), Position(5));
    assert!(progress.check_order(layers("4..8")).is_ok());
    assert_eq!(progress.attempt(), Attempt(2));
    progress.recompute();
    assert_eq!(progress.attempt(), Attempt(3));
    assert_eq!(progress.cached_positions(0), Position(0));
}
