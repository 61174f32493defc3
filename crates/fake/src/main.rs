//! The `agatemill-fake` program.

use std::io;

use clap::Parser;

use agatemill_fake::command;

fn main() -> io::Result<()> {
    env_logger::init();
    smol::block_on(command::run(command::Arguments::parse()))
}
