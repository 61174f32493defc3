//! Requests that arrive at hosts which start together.

use core::time::Duration;

use agatemill_fleet::Startup;
use agatemill_fleet::startup::MAX_READING;
use agatemill_fleet::startup::MAX_WAIT;

/// Interval at which a waiting request is looked at.
const STEP: Duration = Duration::from_millis(10);

/// Time that the caller of a stream has.
const STREAM: Duration = Duration::from_secs(20);

/// Time that the caller of a filing has.
const FILING: Duration = Duration::from_millis(1_500);

/// How a request ended, and when after its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Admitted(Duration),
    Refused(Duration),
}

/// A host that starts at 0 and is ready, or loses the store, after a time.
#[derive(Clone, Copy)]
struct Host {
    ready: Option<Duration>,
    failed: Option<Duration>,
}

impl Host {
    fn startup(&self, now: Duration) -> Startup {
        let mut startup = Startup::begin(Duration::ZERO);
        if self.failed.is_some_and(|failed| failed <= now) {
            startup.record_failure();
        }
        if self.ready.is_some_and(|ready| ready <= now) {
            startup.complete();
        }
        startup
    }

    /// Plays a request that arrives at a time.
    fn play(&self, arrived: Duration, left: Duration) -> End {
        let mut now = arrived;
        loop {
            let startup = self.startup(now);
            if startup == Startup::Complete {
                return End::Admitted(now.saturating_sub(arrived));
            }
            if startup.wait(arrived, Some(left), now).is_zero() {
                return End::Refused(now.saturating_sub(arrived));
            }
            now += STEP;
        }
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against callers whose only repeat is refused, although the hosts are ready a moment later: all 295 hosts of a fleet
/// are lost, and the callers of 1,000 cut requests repeat them within the second after the hosts have started.
#[test]
fn requests_at_hosts_that_are_ready_within_a_second_are_served() {
    for host in 0..295_u64 {
        let host = Host {
            ready: Some(ms(50 + host * 3)),
            failed: None,
        };
        for request in 0..1_000_u64 {
            let end = host.play(ms(request), STREAM);
            assert!(matches!(end, End::Admitted(time) if time < ms(1_000)));
        }
        let end = host.play(ms(300), FILING);
        assert!(matches!(end, End::Admitted(_)) || host.ready > Some(ms(1_050)));
    }
}

/// Guards against requests that are kept until their callers leave, because the store is not read in time.
#[test]
fn requests_at_a_host_that_is_not_ready_are_refused_in_time() {
    let host = Host {
        ready: None,
        failed: None,
    };
    for arrived in (0..10_000).step_by(70).map(ms) {
        let End::Refused(stream) = host.play(arrived, STREAM) else {
            panic!("nothing can be served");
        };
        assert!(stream <= MAX_WAIT + STEP);
        let End::Refused(filing) = host.play(arrived, FILING) else {
            panic!("nothing can be served");
        };
        assert!(filing <= FILING / 2 + STEP, "half of the time is left");
        if arrived >= MAX_READING {
            assert_eq!((stream, filing), (Duration::ZERO, Duration::ZERO));
        }
    }
}

/// Guards against requests that wait although it is known that they cannot be served.
#[test]
fn requests_are_refused_at_once_when_the_store_has_failed() {
    let host = Host {
        ready: None,
        failed: Some(ms(200)),
    };
    assert_eq!(host.play(ms(50), STREAM), End::Refused(ms(150)));
    assert_eq!(host.play(ms(200), STREAM), End::Refused(Duration::ZERO));
    let mut startup = host.startup(ms(200));
    startup.record_response(ms(900));
    assert_eq!(
        startup.wait(ms(950), None, ms(1_000)),
        MAX_WAIT.saturating_sub(ms(50))
    );
}

/// Guards against requests that wait at a host which has served and lost the store since: its answer is known at once.
#[test]
fn a_host_that_has_been_ready_keeps_no_request() {
    let mut startup = Startup::begin(Duration::ZERO);
    startup.complete();
    startup.record_failure();
    startup.record_response(ms(500));
    assert_eq!(startup, Startup::Complete);
    assert_eq!(startup.wait(ms(500), Some(STREAM), ms(500)), Duration::ZERO);
}
