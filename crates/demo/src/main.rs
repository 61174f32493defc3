//! Starts the whole system with stand-ins on loopback in one process and serves a request of each kind.

mod calls;
mod document;
mod system;

use std::process::ExitCode;

use clap::Parser;

use crate::system::System;

/// Starts the whole system on loopback, streams an answer, makes a payment and repeats it.
#[derive(Debug, Parser)]
#[command(name = "agatemill-demo", version)]
struct Arguments {
    /// End after the requests instead of serving on.
    #[arg(long)]
    once: bool,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn core::error::Error>> {
    let system = smol::block_on(System::start())?;
    calls::wait_ready(system.entry())?;
    println!("entry: http://{}", system.entry());
    calls::stream(system.entry())?;
    calls::pay_twice(system.entry())?;
    println!("payments executed by the service: {}", system.payments());
    if system.payments() != 1 {
        return Err("the payment was not executed exactly once".into());
    }
    println!("\ngo on with:\n{}", calls::curl_line(system.entry()));
    if !arguments.once {
        println!("\nCtrl-C ends the demo");
        let signals = agatemill_runtime::signal::termination()?;
        signals.recv_blocking()?;
    }
    smol::block_on(system.close());
    Ok(())
}
