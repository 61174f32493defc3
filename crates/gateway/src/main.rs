//! The gateway process of an entry host: serves callers and places model layers on engines.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_gateway::command::main()
}
