//! Command line of the program `agatemill-entry`.

use core::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use smol::channel::Receiver;

use crate::Error;
use crate::Settings;
use agatemill_core::id;
use agatemill_runtime::signal;
use agatemill_runtime::signal::Signal;

/// Log filter unless `RUST_LOG` is set. `tarpc` logs each call at the level "info".
const LOG_FILTER: &str = "info,tarpc=warn";

/// Entry of agatemill: accepts requests of callers and forwards them to model engines and services.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-entry", version)]
pub struct Options {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
    /// Name of this host; overrides the settings file.
    #[arg(long)]
    pub host: Option<id::Host>,
    /// Zone of this host; overrides the settings file.
    #[arg(long)]
    pub zone: Option<id::Zone>,
    /// Environment; overrides the settings file.
    #[arg(long)]
    pub environment: Option<id::Environment>,
    /// Address to listen on; overrides the settings file.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// Address advertised to callers; overrides the settings file.
    #[arg(long)]
    pub advertise: Option<SocketAddr>,
    /// Address of the control; overrides the settings file.
    #[arg(long)]
    pub control: Option<SocketAddr>,
    /// Address of the platform; overrides those in the settings file; may be repeated.
    #[arg(long)]
    pub platform: Vec<SocketAddr>,
    /// Number of threads that run requests; overrides the settings file.
    #[arg(long)]
    pub threads: Option<usize>,
}

impl Options {
    /// Loads the settings file, applies the options that override it, and checks the result.
    ///
    /// # Errors
    ///
    /// [`Error::File`] or [`Error::Setting`].
    pub fn load(&self) -> Result<Settings, Error> {
        let file: Settings = agatemill_config::settings::load(&self.settings)?;
        let options = self.clone();
        let platform = if options.platform.is_empty() {
            file.platform
        } else {
            options.platform
        };
        let settings = Settings {
            host: options.host.unwrap_or(file.host),
            zone: options.zone.unwrap_or(file.zone),
            environment: options.environment.unwrap_or(file.environment),
            listen: options.listen.unwrap_or(file.listen),
            advertise: options.advertise.or(file.advertise),
            control: options.control.or(file.control),
            threads: options.threads.unwrap_or(file.threads),
            platform,
            ..file
        };
        settings.check()?;
        Ok(settings)
    }
}

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let default = env_logger::Env::default().default_filter_or(LOG_FILTER);
    env_logger::Builder::from_env(default).init();
    let options = Options::parse();
    match start(&options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("agatemill-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options) -> Result<ExitCode, Error> {
    let settings = options.load()?;
    if options.check {
        println!("{}: settings are valid", options.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    let signals = signal::termination().map_err(Error::Signals)?;
    smol::block_on(serve(settings, signals))
}

/// Serves until a termination signal arrives or the control requests a drain, then shuts down gracefully. A
/// second signal aborts the shutdown.
async fn serve(settings: Settings, signals: Receiver<Signal>) -> Result<ExitCode, Error> {
    let handle = crate::run(settings).await?;
    let signalled = async {
        // The channel closes only when the process ends.
        let _ = signals.recv().await;
    };
    smol::future::or(signalled, handle.wait_for_drain()).await;
    let interrupted = async {
        let _ = signals.recv().await;
        log::error!("entry: shutdown aborted by a second signal");
        false
    };
    if smol::future::or(handle.close(), interrupted).await {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}
