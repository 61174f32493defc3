//! The program `agatemill-entry`.

use core::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use smol::channel::Receiver;

use crate::Error;
use crate::Settings;
use agatemill_core::id;
use agatemill_runtime::signal;

/// Log filter unless `RUST_LOG` is set. `tarpc` logs each call at the level "info".
const LOG_FILTER: &str = "info,tarpc=warn";

/// Entry of agatemill: takes callers' requests and passes them to model engines and services.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-entry", version)]
pub struct Options {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
    /// Name of this host, in place of the settings file's.
    #[arg(long)]
    pub host: Option<id::Host>,
    /// Zone of this host, in place of the settings file's.
    #[arg(long)]
    pub zone: Option<id::Zone>,
    /// Environment, in place of the settings file's.
    #[arg(long)]
    pub environment: Option<id::Environment>,
    /// Where to listen, in place of the settings file's.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// Address for callers, in place of the settings file's.
    #[arg(long)]
    pub advertise: Option<SocketAddr>,
    /// Where the control listens, in place of the settings file's.
    #[arg(long)]
    pub control: Option<SocketAddr>,
    /// Address of the platform, in place of the settings file's; may be given several times.
    #[arg(long)]
    pub platform: Vec<SocketAddr>,
    /// Threads that run requests, in place of the settings file's.
    #[arg(long)]
    pub threads: Option<usize>,
}

impl Options {
    /// Reads the settings file, overrides it with the options, and checks the result.
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

/// Serves until a signal or the control says to leave. A second signal ends the shutdown.
async fn serve(settings: Settings, signals: Receiver<i32>) -> Result<ExitCode, Error> {
    let handle = crate::run(settings).await?;
    let signalled = async {
        // The channel ends only with the process.
        let _ = signals.recv().await;
    };
    smol::future::or(signalled, handle.wait_for_drain()).await;
    let interrupted = async {
        let _ = signals.recv().await;
        log::error!("entry: stopped by a second signal");
        false
    };
    if smol::future::or(handle.close(), interrupted).await {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}
