//! Stand-ins of the platform for the cases in `review/6` and later: the store, engines, callers, and the driver of each case.
//!
//! They use the standard library only. Engines run as separate processes, so that a case can stop them with signals.

mod base64;
mod caller;
mod cases;
mod engine;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["engine", options @ ..] => engine::run(options),
        ["case", name, gateway, folder, record] => cases::run(name, gateway, folder, record),
        _ => {
            eprintln!("usage: standin case NAME GATEWAY FOLDER RECORD");
            ExitCode::from(2)
        }
    }
}
