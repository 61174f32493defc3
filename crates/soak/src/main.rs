//! The `agatemill-soak` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_soak::command::main()
}
