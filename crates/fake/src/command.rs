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

/// Fake services with fault injection, for tests.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-fake", version)]
pub struct Arguments {
    /// The service to fake.
    #[command(subcommand)]
    pub stand_in: StandIn,
}

/// A fake with its settings.
#[derive(Clone, Debug, Subcommand)]
pub enum StandIn {
    /// Serves a fake of the key-value service of the platform.
    Platform {
        /// Address to listen on; port 0 lets the operating system choose.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// Serves a fake model engine.
    Engine(engine::Settings),
    /// Serves a fake application service.
    Service(service::Settings),
}

/// Runs a fake until the process exits. Prints `listening on ADDR` to stdout once it accepts connections.
///
/// # Errors
///
/// I/O errors of opening the listener.
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
