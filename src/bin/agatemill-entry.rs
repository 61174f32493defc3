//! Entry process of a host: routes callers' requests to model engines and services.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_entry::command::main()
}
