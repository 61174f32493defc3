//! Entry of agatemill: takes callers' requests and passes them to model engines and services.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_entry::command::main()
}
