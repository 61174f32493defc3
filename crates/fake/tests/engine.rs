//! Guards against a fake engine that returns the expected token for an incorrect execution.

use core::time::Duration;

use agatemill_core::Priority;
use agatemill_core::number::Attempt;
use agatemill_core::number::Fence;
use agatemill_core::number::Position;
use agatemill_engine::Client;
use agatemill_engine::Error;
use agatemill_engine::Input;
use agatemill_engine::Order;
use agatemill_engine::Output;
use agatemill_engine::Step;
use agatemill_engine::failure::Code;
use agatemill_engine::order::Action;
use agatemill_engine::transfer::Name;
use agatemill_fake::engine::Engine;
use agatemill_fake::engine::Settings;
use agatemill_fake::model;

const TIMEOUT: Duration = Duration::from_secs(5);

fn settings(layers: &str) -> Settings {
    let layers = layers.parse().expect("a range");
    let id = "m".parse().expect("an id");
    let version = "1".parse().expect("an id");
    Settings::instant("e".parse().expect("an id"), id, version, layers)
}

fn client() -> Client {
    Client::new(agatemill_http::Client::new(TIMEOUT))
}

fn step(session: &str, position: u32, input: Input) -> Step {
    Step {
        session: session.parse().expect("an id"),
        attempt: Attempt(1),
        model: "m".parse().expect("an id"),
        version: "1".parse().expect("an id"),
        layers: "0..4".parse().expect("a range"),
        position: Position(position),
        input,
        last: true,
        priority: Priority::Normal,
        deadline_ms: 5_000,
        temperature: 0.0,
        seed: None,
    }
}

fn prompt(text: &str) -> Input {
    Input::Prompt {
        text: text.into(),
        generated: Vec::new(),
    }
}

/// Guards against a fake that hides faults of the driver, because it accepts skipped or repeated positions or because
/// its model ignores earlier positions.
#[test]
fn returns_the_tokens_of_the_model_and_rejects_wrong_positions() {
    smol::block_on(async {
        let engine = Engine::listen(settings("0..4")).await.expect("listens");
        let client = client();
        let run = |step| {
            let client = client.clone();
            let address = engine.address();
            async move { client.step(address, &step, TIMEOUT).await }
        };
        let expected = model::expected("m", 4, "a b c", 100);
        let mut reply = run(step("s", 0, prompt("a b c"))).await.expect("runs");
        let mut position = 0;
        for (index, (id, text)) in expected.iter().enumerate() {
            let last = index + 1 == expected.len();
            let output = Output::Token {
                id: *id,
                text: text.into(),
                end: last,
            };
            assert_eq!(reply.output, output);
            position += reply.count;
            let again = run(step("s", position - 1, Input::Token { id: *id })).await;
            assert!(
                matches!(again, Err(Error::Refused(failure)) if failure.code == Code::PositionMismatch)
            );
            reply = run(step("s", position, Input::Token { id: *id }))
                .await
                .expect("runs");
        }
        let unknown = run(step("other", 3, Input::Token { id: 1 })).await;
        assert!(
            matches!(unknown, Err(Error::Refused(failure)) if failure.code == Code::SessionUnknown)
        );
        engine.close();
    });
}

/// Guards against stale orders that run on an engine that checks fencing numbers, or that do not run on one that
/// ignores them.
#[test]
fn checks_fencing_numbers_unless_configured_otherwise() {
    smol::block_on(async {
        for ignore_fencing in [false, true] {
            let mut settings = settings("0..4");
            settings.ignore_fencing = ignore_fencing;
            let engine = Engine::listen(settings).await.expect("listens");
            let order = |fence, action| Order {
                fence: Fence(fence),
                action,
            };
            let client = client();
            let address = engine.address();
            let newer = client
                .order(address, &order(5, Action::Drain), TIMEOUT)
                .await;
            newer.expect("runs");
            let stale = client
                .order(address, &order(4, Action::Resume), TIMEOUT)
                .await;
            assert_eq!(stale.is_ok(), ignore_fencing);
            let status = client.status(address, TIMEOUT).await.expect("reports");
            assert_eq!(status.draining, !ignore_fencing);
        }
    });
}

/// Guards against exports that lose state, which would look like a fault of the import in the driver.
#[test]
fn continues_an_imported_session() {
    smol::block_on(async {
        let old = Engine::listen(settings("0..4")).await.expect("listens");
        let new = Engine::listen(settings("0..4")).await.expect("listens");
        let client = client();
        let start = step("s", 0, prompt("a b"));
        let first = client.step(old.address(), &start, TIMEOUT);
        first.await.expect("runs");
        let name = Name {
            session: "s".parse().expect("an id"),
        };
        let cache = client
            .export(old.address(), &name, TIMEOUT)
            .await
            .expect("exports");
        client
            .import(new.address(), &cache, TIMEOUT)
            .await
            .expect("imports");
        let expected = model::expected("m", 4, "a b", 2);
        let input = Input::Token { id: expected[0].0 };
        let reply = client
            .step(new.address(), &step("s", 2, input), TIMEOUT)
            .await;
        assert!(
            matches!(reply.expect("runs").output, Output::Token { id, .. } if id == expected[1].0)
        );
    });
}

/// Guards against a prefix cache that does not count cached positions, or whose events ignore the configured delay and
/// gaps.
#[test]
fn caches_prefixes_and_delays_their_events() {
    smol::block_on(async {
        let mut settings = settings("0..4");
        settings.event_lag = 300;
        settings.event_gap = 2;
        settings.cache = 32;
        let engine = Engine::listen(settings).await.expect("listens");
        let (client, address) = (client(), engine.address());
        let text = "word ".repeat(40);
        let mut cached = Vec::new();
        for session in ["a", "b"] {
            let step = step(session, 0, prompt(&text));
            cached.push(
                client
                    .step(address, &step, TIMEOUT)
                    .await
                    .expect("runs")
                    .cached,
            );
        }
        // Two blocks of 16 positions fit into the cache.
        assert_eq!(cached, [0, 32]);
        assert_eq!(
            client.events(address, 0, TIMEOUT).await.expect("events"),
            []
        );
        agatemill_runtime::sleep(Duration::from_millis(400)).await;
        let events = client.events(address, 0, TIMEOUT).await.expect("events");
        let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
        assert_eq!(numbers, [1]);
    });
}

/// Guards against load reports without the configured delay: routing would be tested with perfect information.
#[test]
fn delays_load_reports() {
    smol::block_on(async {
        let mut settings = settings("0..4");
        settings.report_lag = 300;
        let engine = Engine::listen(settings).await.expect("listens");
        let (client, address) = (client(), engine.address());
        let sessions = || async {
            client
                .status(address, TIMEOUT)
                .await
                .expect("reports")
                .sessions
        };
        assert_eq!(sessions().await, 0);
        let first = step("a", 0, prompt("a"));
        client.step(address, &first, TIMEOUT).await.expect("runs");
        assert_eq!(sessions().await, 0);
        agatemill_runtime::sleep(Duration::from_millis(500)).await;
        assert_eq!(sessions().await, 1);
    });
}

/// Guards against queued steps that run before one of higher priority, and against unlimited throughput.
#[test]
fn runs_higher_priorities_first() {
    smol::block_on(async {
        let mut settings = settings("0..4");
        settings.instant = false;
        settings.batch = 1;
        settings.throughput = "10/s".parse().expect("a rate");
        let engine = Engine::listen(settings).await.expect("listens");
        let (client, address) = (client(), engine.address());
        let start = agatemill_runtime::now();
        let steps = ["a", "b", "c", "d"].map(|session| {
            let mut step = step(session, 0, prompt("a b"));
            if session == "d" {
                step.priority = Priority::Interactive;
            }
            let client = client.clone();
            agatemill_runtime::spawn(async move { client.step(address, &step, TIMEOUT).await })
        });
        for step in steps {
            step.await.expect("runs");
        }
        // Four steps of two positions at 10 positions per second.
        let time = agatemill_runtime::now().saturating_sub(start);
        assert!(time >= Duration::from_millis(780), "{time:?}");
        let executions = engine.executions();
        let order = executions
            .iter()
            .position(|one| one.session.as_str() == "d");
        assert!(order.is_some_and(|order| order <= 1), "{executions:?}");
    });
}
