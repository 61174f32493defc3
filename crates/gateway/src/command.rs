//! The program `agatemill-gateway`.

use core::time::Duration;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use log::LevelFilter;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGTERM;
use smol::channel::Receiver;

use crate::Error;
use crate::Process;
use crate::Settings;
use crate::State;
use crate::journal::Journal;
use agatemill_runtime::signal;

/// Pause between looks at the settings file, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(5);

/// The process of an entry host: answers callers and keeps the engines' layers placed.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-gateway", version)]
pub struct Options {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE", env = "AGATEMILL_CONFIG")]
    pub settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
    /// Least severe log lines that are written: error, warn, info or debug.
    #[arg(long, default_value = "info")]
    pub log: LevelFilter,
}

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let options = Options::parse();
    match start(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agatemill-gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options) -> Result<(), Error> {
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{}: settings are valid", options.settings.display());
        return Ok(());
    }
    let journal = Journal::open().map_err(Error::Signals)?;
    env_logger::Builder::new()
        .filter_level(options.log)
        // tarpc logs every call at the level "info".
        .filter_module("tarpc", options.log.min(LevelFilter::Warn))
        .target(env_logger::Target::Pipe(Box::new(journal)))
        .init();
    let signals = signal::termination_and_reload().map_err(Error::Signals)?;
    agatemill_runtime::run_on_current_thread(serve(options, settings, signals))
}

/// What made the process look at its settings file or its end.
enum Event {
    Signal(i32),
    Look,
}

/// Serves until a signal ends the process. The file is read again at SIGHUP, and when its text has changed
/// without one.
async fn serve(options: &Options, settings: Settings, signals: Receiver<i32>) -> Result<(), Error> {
    let process = Process::start(settings).await?;
    let mut known = text(options);
    loop {
        let signal = async {
            signals
                .recv()
                .await
                .map_or(Event::Signal(SIGTERM), Event::Signal)
        };
        let look = async {
            agatemill_runtime::sleep(SETTINGS_PERIOD).await;
            Event::Look
        };
        match smol::future::or(signal, look).await {
            Event::Signal(SIGHUP) => reload(options, process.state()),
            Event::Signal(_) => break,
            Event::Look => {
                let now = text(options);
                if now == known {
                    continue;
                }
                reload(options, process.state());
            }
        }
        known = text(options);
    }
    process.close().await;
    Ok(())
}

/// The text of the settings file; `None` while it cannot be read, for example while it is replaced.
fn text(options: &Options) -> Option<Vec<u8>> {
    std::fs::read(&options.settings).ok()
}

/// Puts changed settings in force. A file that cannot be read changes nothing; addresses stay as they are
/// until the next start.
fn reload(options: &Options, state: &State) {
    match Settings::load(&options.settings) {
        Ok(settings) => {
            log::info!(host:% = settings.host; "gateway: settings reloaded");
            state.set_settings(settings);
        }
        Err(error) => log::error!(error:%; "gateway: settings not reloaded, the ones before stay"),
    }
}
