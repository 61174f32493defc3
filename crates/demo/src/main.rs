//! Starts the whole system with fake engines and services on loopback in one process and serves one request of each
//! kind.

mod calls;
mod document;
mod system;

use std::process::ExitCode;

use clap::Parser;

use crate::system::System;

/// Starts the whole system on loopback, streams a completion, makes a payment and repeats it.
#[derive(Debug, Parser)]
#[command(name = "agatemill-demo", version)]
struct Arguments {
    /// Exit after the requests instead of continuing to serve.
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
    println!(
        "payments executed by the service: {}",
        system.payment_count()
    );
    if system.payment_count() != 1 {
        return Err("the payment was not executed exactly once".into());
    }
    println!("\ntry it with:\n{}", calls::curl_command(system.entry()));
    if !arguments.once {
        println!("\npress Ctrl-C to stop the demo");
        let signals = agatemill_runtime::signal::termination()?;
        signals.recv_blocking()?;
    }
    smol::block_on(system.close());
    Ok(())
}
