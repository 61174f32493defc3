//! Measures membership, recovery and the cost of control.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_load::control::main()
}
