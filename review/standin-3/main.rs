//! Stand-ins and cases of the third review. Uses the standard library only.
//!
//! `standin CASE FOLDER` plays a case and writes `record.txt` into the folder. It exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. `standin engine ...` is a server in a process of its own, which a case can kill.

mod answer;
mod cases;
mod client;
mod engine;
mod http;
mod json;
mod process;
mod proxy;
mod record;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["engine", rest @ ..] => {
            engine::run(rest);
            ExitCode::SUCCESS
        }
        [case, folder] => cases::run(case, folder),
        _ => {
            eprintln!("usage: standin CASE FOLDER");
            ExitCode::from(2)
        }
    }
}
