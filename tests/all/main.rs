//! Runs the scenarios in `tests/scripts`. Each starts real processes and stand-ins, injects failures and states the
//! expected results.
//!
//! The same program serves as the stand-ins: with `fake` as its first argument it runs one of them.

mod caller;
mod condition;
mod crowd;
mod network;
mod plan;
mod process;
mod script;
mod verdict;
mod world;

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::PoisonError;

use clap::Parser;
use libtest_mimic::Arguments;
use libtest_mimic::Failed;
use libtest_mimic::Trial;

use agatemill_fake::command;

/// Maximum number of scenarios that run in parallel; each starts about ten to thirty processes.
const MAX_PARALLEL_SCENARIOS: usize = 4;

fn main() -> ExitCode {
    let mut arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|first| first == "fake") {
        arguments.remove(1);
        return run_fake(arguments);
    }
    let mut arguments = Arguments::from_args();
    arguments.test_threads.get_or_insert(MAX_PARALLEL_SCENARIOS);
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scripts");
    libtest_mimic::run(&arguments, trials(&directory)).exit_code()
}

fn run_fake(arguments: Vec<String>) -> ExitCode {
    env_logger::init();
    match smol::block_on(command::run(command::Arguments::parse_from(arguments))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn trials(directory: &Path) -> Vec<Trial> {
    let mut paths: Vec<PathBuf> = std::fs::read_dir(directory)
        .expect("readable scripts directory")
        .map(|entry| entry.expect("a directory entry").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "scn"))
        .collect();
    paths.sort();
    let crowds = crowd::CROWDS.into_iter().map(|crowd| {
        Trial::test(crowd.0, move || {
            let result = catch_unwind(|| crowd::run(crowd));
            result.map_err(|panic| Failed::from(message(panic)))
        })
    });
    paths.into_iter().map(trial).chain(crowds).collect()
}

fn trial(path: PathBuf) -> Trial {
    let name = path
        .file_stem()
        .expect("a file name")
        .to_string_lossy()
        .into_owned();
    Trial::test(name, move || run_scenario(&path))
}

fn run_scenario(path: &Path) -> Result<(), Failed> {
    let _turn = crowd::TURN.read().unwrap_or_else(PoisonError::into_inner);
    let path = path.to_str().expect("a UTF-8 path");
    let mut script = script::Script::default();
    let result = catch_unwind(AssertUnwindSafe(|| {
        datadriven::walk(path, |file| file.run(|case| script.run_directive(case)));
    }));
    result.map_err(|panic| Failed::from(format!("{}\n{}", message(panic), script.logs())))
}

fn message(panic: Box<dyn Any + Send>) -> String {
    let text = panic.downcast::<String>().map(|text| *text);
    let text = text.or_else(|panic| panic.downcast::<&str>().map(|text| (*text).to_owned()));
    text.unwrap_or_default()
}
