//! Verdicts on streamed answers.

use core::time::Duration;

use agatemill_fake::model;
use agatemill_load::check;
use agatemill_load::check::Answer;
use agatemill_load::check::Verdict;

const PROMPT: &str = "user: name the lake\nassistant: ";

fn lines() -> Vec<String> {
    let answer = model::expected("drafter", 24, PROMPT, usize::MAX);
    let token = |(index, (_, text)): (usize, (u32, String))| {
        let data = format!(r#"data: {{"choices":[{{"delta":{{"content":"{text}"}}}}]}}"#);
        [format!("id: r:0000000000000000:{index}"), data]
    };
    let mut lines: Vec<String> = answer.into_iter().enumerate().flat_map(token).collect();
    lines.push("data: [DONE]".into());
    lines
}

fn verdict(lines: &[String], is_disconnected: bool) -> Verdict {
    let mut answer = Answer::default();
    for line in lines {
        answer.push_line(line, Duration::ZERO);
    }
    answer.verdict("drafter", 24, PROMPT, is_disconnected)
}

/// Guards against a check that accepts tokens of other answers, missing or repeated tokens, or an answer that
/// ends early without an error.
#[test]
fn only_the_complete_answer_is_correct() {
    let complete = lines();
    assert_eq!(verdict(&complete, false), Verdict::Complete);
    let mut crossed = complete.clone();
    crossed[3] = crossed[5].clone();
    assert_eq!(verdict(&crossed, false), Verdict::Incorrect);
    let mut gap = complete.clone();
    gap.drain(2..4);
    assert_eq!(verdict(&gap, false), Verdict::Incorrect);
    let mut repeat = complete.clone();
    repeat.splice(2..2, complete[0..2].to_vec());
    assert_eq!(verdict(&repeat, false), Verdict::Incorrect);
    let short = &complete[..4];
    assert_eq!(verdict(short, false), Verdict::Incorrect);
    assert_eq!(verdict(short, true), Verdict::Failed);
    let mut error = short.to_vec();
    error.push(r#"data: {"reason":"no_chain"}"#.into());
    assert_eq!(verdict(&error, false), Verdict::Failed);
}

/// Guards against repeated executions of a call that are not counted.
#[test]
fn repeated_calls_are_counted() {
    assert_eq!(check::count_repeated(["a", "b", "c"].into_iter()), 0);
    assert_eq!(check::count_repeated(["a", "b", "a", "a"].into_iter()), 2);
}
