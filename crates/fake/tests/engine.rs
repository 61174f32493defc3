//! Guards the stand-in engine against giving the right token for a wrong execution.

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

const LIMIT: Duration = Duration::from_secs(5);

fn settings(layers: &str) -> Settings {
    let layers = layers.parse().expect("a range");
    let id = "m".parse().expect("an id");
    let version = "1".parse().expect("an id");
    Settings::instant("e".parse().expect("an id"), id, version, layers)
}

fn client() -> Client {
    Client::new(agatemill_http::Client::new(LIMIT))
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

/// A stand-in that accepts a skipped or repeated position, or whose model forgets earlier ones, would hide
/// faults of the driver.
#[test]
fn answers_as_the_model_and_refuses_wrong_positions() {
    smol::block_on(async {
        let engine = Engine::listen(settings("0..4")).await.expect("listens");
        let client = client();
        let run = |step| {
            let client = client.clone();
            let address = engine.address();
            async move { client.step(address, &step, LIMIT).await }
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

/// Orders with an old fencing number must not run on an engine that checks them, and must on others.
#[test]
fn checks_fencing_numbers_unless_told_otherwise() {
    smol::block_on(async {
        for ignores in [false, true] {
            let mut settings = settings("0..4");
            settings.ignore_fencing = ignores;
            let engine = Engine::listen(settings).await.expect("listens");
            let order = |fence, action| Order {
                fence: Fence(fence),
                action,
            };
            let client = client();
            let address = engine.address();
            let newer = client.order(address, &order(5, Action::Drain), LIMIT).await;
            newer.expect("runs");
            let stale = client
                .order(address, &order(4, Action::Resume), LIMIT)
                .await;
            assert_eq!(stale.is_ok(), ignores);
            let status = client.status(address, LIMIT).await.expect("reports");
            assert_eq!(status.draining, !ignores);
        }
    });
}

/// An export that loses state would make an import look wrong in the driver.
#[test]
fn continues_an_imported_session() {
    smol::block_on(async {
        let old = Engine::listen(settings("0..4")).await.expect("listens");
        let new = Engine::listen(settings("0..4")).await.expect("listens");
        let client = client();
        let start = step("s", 0, prompt("a b"));
        let first = client.step(old.address(), &start, LIMIT);
        first.await.expect("runs");
        let name = Name {
            session: "s".parse().expect("an id"),
        };
        let cache = client
            .export(old.address(), &name, LIMIT)
            .await
            .expect("exports");
        client
            .import(new.address(), &cache, LIMIT)
            .await
            .expect("imports");
        let expected = model::expected("m", 4, "a b", 2);
        let input = Input::Token { id: expected[0].0 };
        let reply = client
            .step(new.address(), &step("s", 2, input), LIMIT)
            .await;
        assert!(
            matches!(reply.expect("runs").output, Output::Token { id, .. } if id == expected[1].0)
        );
    });
}
