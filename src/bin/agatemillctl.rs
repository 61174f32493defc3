//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_ctl::main()
}
