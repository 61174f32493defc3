//! Randomized soak of the real programs on one machine.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_soak::command::main()
}
