//! Command line of `agatemill-fake`.

use core::future::pending;
use core::net::SocketAddr;
use std::io;

use clap::Parser;
use clap::Subcommand;

use crate::platform::Platform;

/// Stand-ins with fault switches, for tests.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-fake", version)]
pub struct Arguments {
    /// Which stand-in to run.
    #[command(subcommand)]
    pub stand_in: StandIn,
}

/// A stand-in with its settings.
#[derive(Clone, Debug, Subcommand)]
pub enum StandIn {
    /// Serves the key-value service.
    Platform {
        /// Address to listen on; port 0 lets the operating system choose.
        #[arg(long)]
        listen: SocketAddr,
    },
}

/// Runs a stand-in until the process ends. It prints `listening on ADDR` to stdout once it serves.
///
/// # Errors
///
/// Any error of opening the listener.
pub async fn run(arguments: Arguments) -> io::Result<()> {
    match arguments.stand_in {
        StandIn::Platform { listen } => {
            let platform = Platform::listen(listen).await?;
            println!("listening on {}", platform.address());
            pending().await
        }
    }
}
