//! Property tests of the decisions of a generation.

use std::collections::BTreeSet;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;

use agatemill_core::Phase;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_engine::failure::Code;
use agatemill_pipeline::Progress;
use agatemill_pipeline::progress::Loss;
use agatemill_pipeline::progress::Verdict;

/// Number of stages of the chain.
const STAGES: usize = 3;

/// Number of positions of the prompt.
const PROMPT: u32 = 5;

/// Result of one step.
#[derive(Clone, Copy, Debug)]
enum Event {
    Reply,
    Lost(Loss),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Reply),
        1 => Just(Event::Lost(Loss::ConnectFailed)),
        1 => Just(Event::Lost(Loss::TimedOut)),
        1 => Just(Event::Lost(Loss::ConnectionLost)),
        1 => Just(Event::Lost(Loss::Mismatched)),
        1 => Just(Event::Lost(Loss::Refused(Code::Draining))),
        1 => Just(Event::Lost(Loss::Refused(Code::Overloaded))),
        1 => Just(Event::Lost(Loss::Refused(Code::PositionMismatch))),
    ]
}

proptest! {
    /// No step is sent twice to the same session, no layer is skipped or runs out of order, no token is lost or
    /// repeated by a move, and no request reports "not run" once one of its steps may have run.
    #[test]
    fn each_step_is_sent_once_and_in_order(events in vec(event(), 0..60)) {
        let stages: [layer::Range; STAGES] = ["0..4", "4..8", "8..12"].map(|text| text.parse().expect("a range"));
        let mut progress = Progress::default();
        let mut sent = BTreeSet::new();
        let mut stage = 0;
        let mut tokens: Vec<u32> = Vec::new();
        let mut may_have_run = false;
        for event in events {
            for (index, layers) in stages.iter().enumerate() {
                prop_assert_eq!(progress.check_order(*layers).is_ok(), index == stage);
            }
            let step = (progress.attempt(), progress.position(), stage);
            prop_assert!(sent.insert(step), "sent twice: {:?}", step);
            progress.record_send();
            prop_assert_eq!(progress.phase(), Phase::Sent);
            match event {
                Event::Reply => {
                    may_have_run = true;
                    let first = PROMPT + u32::try_from(tokens.len()).expect("few tokens");
                    let count = if progress.position().0 == 0 { first } else { 1 };
                    progress.record_reply(stages[stage], count);
                    stage = (stage + 1) % STAGES;
                    if stage == 0 {
                        tokens.push(first);
                        progress.record_token(first);
                        prop_assert_eq!(progress.position().0, first);
                    }
                }
                Event::Lost(loss) => {
                    let not_run = match loss {
                        Loss::Refused(code) => code.is_not_run(),
                        other => other == Loss::ConnectFailed,
                    };
                    may_have_run |= !not_run;
                    let before = progress.attempt();
                    let server: id::Server = format!("e{stage}").parse().expect("an id");
                    match progress.handle_loss(&server, loss, u32::MAX) {
                        Verdict::Move { .. } => stage = 0,
                        Verdict::Transfer { .. } => prop_assert!(not_run),
                        Verdict::GiveUp(reason) => prop_assert!(false, "gave up: {:?}", reason),
                    }
                    prop_assert!(progress.attempt() > before);
                }
            }
            prop_assert_eq!(progress.generated(), &tokens[..]);
            prop_assert_eq!(progress.phase() == Phase::Sent, may_have_run);
        }
    }
}
