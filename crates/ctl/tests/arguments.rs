//! Command line. Guards against contradictory argument definitions, which clap detects only at run time, and against
//! changes of the documented exit codes.

use clap::CommandFactory;
use clap::Parser;

use agatemill_ctl::Arguments;
use agatemill_ctl::Exit;

fn is_accepted(line: &str) -> bool {
    Arguments::try_parse_from(line.split(' ')).is_ok()
}

#[test]
fn definitions_are_consistent() {
    Arguments::command().debug_assert();
}

#[test]
fn documented_commands_are_accepted() {
    assert!(is_accepted("agatemillctl config check new.toml"));
    assert!(is_accepted(
        "agatemillctl config diff new.toml --against old.toml"
    ));
    assert!(is_accepted(
        "agatemillctl config diff new.toml --environment trial --platform 127.0.0.1:1"
    ));
    assert!(is_accepted(
        "agatemillctl config apply new.toml --environment trial --platform 127.0.0.1:1,127.0.0.1:2 --control 127.0.0.1:3 --author me --expect 41 --wait 5"
    ));
    assert!(is_accepted(
        "agatemillctl config promote --from trial --to production --platform 127.0.0.1:1"
    ));
    assert!(is_accepted(
        "agatemillctl config status --environment trial --platform 127.0.0.1:1"
    ));
    assert!(is_accepted(
        "agatemillctl status --control 127.0.0.1:3 --json"
    ));
    assert!(is_accepted("agatemillctl drain h1 --control 127.0.0.1:3"));
}

#[test]
fn incomplete_commands_are_rejected() {
    assert!(!is_accepted(
        "agatemillctl config apply new.toml --environment trial"
    ));
    assert!(!is_accepted("agatemillctl config diff new.toml"));
    assert!(!is_accepted(
        "agatemillctl config diff new.toml --environment trial"
    ));
    assert!(!is_accepted(
        "agatemillctl config apply new.toml --environment /x --platform 127.0.0.1:1"
    ));
}

#[test]
fn exit_codes_match_the_documentation() {
    let codes = [
        Exit::Done,
        Exit::Failed,
        Exit::Conflict,
        Exit::Pending,
        Exit::Faults,
    ];
    assert_eq!(codes.map(|exit| exit as u8), [0, 1, 3, 4, 5]);
}
