//! Command line for operators.
//!
//! [`apply`] and [`promote`] contain the logic without I/O; [`command`] runs it against the platform and a control.

pub mod apply;
pub mod arguments;
pub mod command;
pub mod control;
pub mod error;
pub mod exit;
pub mod progress;
pub mod promote;
pub mod store;

use std::process::ExitCode;

use clap::Parser;

pub use apply::Apply;
pub use arguments::Arguments;
pub use error::Error;
pub use exit::Exit;

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    env_logger::init();
    let arguments = Arguments::parse();
    let exit = smol::block_on(command::run(arguments)).unwrap_or_else(|error| {
        eprintln!("agatemillctl: {error}");
        error.exit()
    });
    exit.into()
}
