//! Control process of an entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatemill_control::command::main()
}
