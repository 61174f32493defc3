//! Checks of answers.

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

fn verdict(lines: &[String], cut: bool) -> Verdict {
    let mut answer = Answer::default();
    for line in lines {
        answer.line(line, Duration::ZERO);
    }
    answer.verdict("drafter", 24, PROMPT, cut)
}

/// Guards against a check that lets tokens of other answers, gaps, repeats or silent ends pass.
#[test]
fn only_the_whole_answer_is_right() {
    let whole = lines();
    assert_eq!(verdict(&whole, false), Verdict::Whole);
    let mut crossed = whole.clone();
    crossed[3] = crossed[5].clone();
    assert_eq!(verdict(&crossed, false), Verdict::Wrong);
    let mut gap = whole.clone();
    gap.drain(2..4);
    assert_eq!(verdict(&gap, false), Verdict::Wrong);
    let mut repeat = whole.clone();
    repeat.splice(2..2, whole[0..2].to_vec());
    assert_eq!(verdict(&repeat, false), Verdict::Wrong);
    let short = &whole[..4];
    assert_eq!(verdict(short, false), Verdict::Wrong);
    assert_eq!(verdict(short, true), Verdict::Failed);
    let mut error = short.to_vec();
    error.push(r#"data: {"reason":"no_chain"}"#.into());
    assert_eq!(verdict(&error, false), Verdict::Failed);
}

/// Guards against a call that ran twice and is not counted.
#[test]
fn repeated_calls_are_counted() {
    assert_eq!(check::repeated(["a", "b", "c"].into_iter()), 0);
    assert_eq!(check::repeated(["a", "b", "a", "a"].into_iter()), 2);
}
