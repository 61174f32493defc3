//! Scenarios: each file in `tests/scripts` starts real processes with fakes, brings failures about, and
//! states what must be seen.
//!
//! With `fake` as its first argument, this program runs one of the fakes.

mod caller;
mod condition;
mod network;
mod plan;
mod process;
mod script;
mod verdict;
mod world;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use libtest_mimic::Arguments;
use libtest_mimic::Failed;
use libtest_mimic::Trial;

use agatemill_fake::command;

/// Scenarios that run at once; each starts about ten to thirty processes.
const PARALLEL: usize = 4;

fn main() -> ExitCode {
    let mut arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|first| first == "fake") {
        arguments.remove(1);
        return run_fake(arguments);
    }
    let mut arguments = Arguments::from_args();
    arguments.test_threads.get_or_insert(PARALLEL);
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
        .expect("the scripts' directory")
        .map(|entry| entry.expect("a directory entry").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "scn"))
        .collect();
    paths.sort();
    paths.into_iter().map(trial).collect()
}

fn trial(path: PathBuf) -> Trial {
    let name = path
        .file_stem()
        .expect("a file name")
        .to_string_lossy()
        .into_owned();
    Trial::test(name, move || run(&path))
}

fn run(path: &Path) -> Result<(), Failed> {
    let path = path.to_str().expect("a UTF-8 path");
    let mut script = script::Script::default();
    let result = catch_unwind(AssertUnwindSafe(|| {
        datadriven::walk(path, |file| file.run(|case| script.run(case)));
    }));
    result.map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        Failed::from(format!("{}\n{}", text.unwrap_or_default(), script.logs()))
    })
}
