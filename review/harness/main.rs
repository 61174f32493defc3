//! Runs the cases of the review: stand-ins of clients, servers and the platform around real gateways.

mod cases;
mod engine;
mod http;
mod json;
mod store;
mod world;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let text = |index: usize| arguments.get(index).map(String::as_str).unwrap_or("");
    if text(0) == "engine" {
        cases::serve_engine(&arguments[1..]);
    }
    let record = PathBuf::from(text(1));
    match text(0) {
        "foreign-entry" => cases::foreign_entry(record),
        "unframed-crash" => cases::unframed_crash(record),
        "full-engine" => cases::full_engine(record),
        "crashing-part" => cases::crashing_part(record),
        "grey-server" => cases::grey_server(record),
        other => {
            println!("no case {other:?}");
            std::process::exit(2);
        }
    }
}
