//! Command line of `agatemill-control`.

use core::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::Error;
use crate::Settings;
use agatemill_core::id;
use agatemill_runtime::signal;

/// Runs the control process of an entry host.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-control", version)]
pub struct Command {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
    /// Name of this host; overrides the settings.
    #[arg(long)]
    host: Option<id::Host>,
    /// Zone of this host; overrides the settings.
    #[arg(long)]
    zone: Option<id::Zone>,
    /// TCP address to listen on; overrides the settings.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// UDP address to listen on; overrides the settings.
    #[arg(long)]
    gossip: Option<SocketAddr>,
    /// Address of the platform; overrides those in the settings; may be repeated.
    #[arg(long)]
    platform: Vec<SocketAddr>,
    /// Control address of another host; overrides those in the settings; may be repeated.
    #[arg(long)]
    peer: Vec<SocketAddr>,
}

/// Parses the command line and runs the process until it receives a termination signal.
#[must_use]
pub fn main() -> ExitCode {
    // tarpc logs every call at the level "info".
    let filter = env_logger::Env::default().default_filter_or("info,tarpc=warn");
    env_logger::Builder::from_env(filter).init();
    let command = Command::parse();
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agatemill-control: {error}");
            ExitCode::FAILURE
        }
    }
}

impl Command {
    fn run(self) -> Result<(), Error> {
        let check = self.check;
        let settings = self.settings()?;
        if check {
            println!("the settings are valid");
            return Ok(());
        }
        let signals = signal::termination().map_err(Error::Signals)?;
        agatemill_runtime::start(settings.threads);
        smol::block_on(async {
            let control = crate::run(settings).await?;
            // An error means that the signal thread has ended; the process then stops as well.
            let _ = signals.recv().await;
            control.close().await;
            Ok(())
        })
    }

    /// Loads the settings file and applies the flags that override it.
    fn settings(self) -> Result<Settings, Error> {
        let mut settings = Settings::load(&self.settings).map_err(Error::Settings)?;
        settings.host = self.host.unwrap_or(settings.host);
        settings.zone = self.zone.unwrap_or(settings.zone);
        settings.listen = self.listen.unwrap_or(settings.listen);
        settings.gossip = self.gossip.unwrap_or(settings.gossip);
        if !self.platform.is_empty() {
            settings.platform = self.platform;
        }
        if !self.peer.is_empty() {
            settings.peers = self.peer;
        }
        settings.check().map_err(Error::Settings)?;
        Ok(settings)
    }
}
