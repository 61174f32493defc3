//! Load and experiment tool of agatemill.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_load::command::main()
}
