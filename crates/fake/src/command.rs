//! Command line of `agatemill-fake`.

use core::future::pending;
use core::net::SocketAddr;
use std::io;

use clap::Parser;
use clap::Subcommand;

use crate::engine;
use crate::engine::Engine;
use crate::platform::Platform;
use crate::service;
use crate::service::Service;

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
    /// Serves a model engine.
    Engine(engine::Settings),
    /// Serves a plain application service.
    Service(service::Settings),
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
        StandIn::Engine(settings) => {
            let engine = Engine::listen(settings).await?;
            println!("listening on {}", engine.address());
            pending().await
        }
        StandIn::Service(settings) => {
            let service = Service::listen(&settings).await?;
            println!("listening on {}", service.address());
            pending().await
        }
    }
}
