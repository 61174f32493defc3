//! The program `agatemill-gateway`.

use core::time::Duration;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use log::LevelFilter;
use signal_hook::consts::SIGHUP;
use smol::channel::Receiver;

use crate::Error;
use crate::Process;
use crate::Settings;
use crate::State;
use crate::log_output;
use crate::log_output::Writer;
use crate::supervise::Failure;
use agatemill_runtime::signal;
use agatemill_runtime::signal::Signal;

/// Interval at which the settings file is polled, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The process of an entry host: serves callers and places model layers on engines.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-gateway", version)]
pub struct Options {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE", env = "AGATEMILL_CONFIG")]
    pub settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
    /// Minimum level of log lines: error, warn, info or debug.
    #[arg(long, default_value = "info")]
    pub log: LevelFilter,
}

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let options = Options::parse();
    exit(run(&options))
}

/// Reports how the program ended. Returns a failure for any error, so that the supervisor of the process starts it again.
#[must_use]
pub fn exit(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_output::flush();
            eprintln!("agatemill-gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), Error> {
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{}: settings are valid", options.settings.display());
        return Ok(());
    }
    let log_writer = Writer::open().map_err(Error::Signals)?;
    env_logger::Builder::new()
        .filter_level(options.log)
        // tarpc logs every call at the level "info".
        .filter_module("tarpc", options.log.min(LevelFilter::Warn))
        .target(env_logger::Target::Pipe(Box::new(log_writer)))
        .init();
    let signals = signal::termination_and_reload().map_err(Error::Signals)?;
    agatemill_runtime::run_on_current_thread(serve(options, settings, signals))
}

/// Events of the main loop: a signal, the next poll of the settings file, or the end of a required task.
enum Event {
    Signal(Signal),
    Poll,
    Failed(Failure),
}

/// Serves until a signal ends the process. Reloads the settings at SIGHUP and when polling finds that the text
/// of the file has changed.
///
/// # Errors
///
/// As [`Process::start`], and [`Error::Task`] when a task ends without which the process must not go on.
pub async fn serve(
    options: &Options,
    settings: Settings,
    signals: Receiver<Signal>,
) -> Result<(), Error> {
    let process = Process::start(settings).await?;
    let failures = process.failures();
    let mut known = read_settings(options);
    let terminated = loop {
        let signal = async {
            let signal = signals.recv().await;
            // Without its thread, the process would not notice that it should end.
            signal.map_or_else(
                |_| Event::Failed(Failure::returned("signals")),
                Event::Signal,
            )
        };
        let poll = async {
            agatemill_runtime::sleep(SETTINGS_POLL_INTERVAL).await;
            Event::Poll
        };
        let failure = async { Event::Failed(next_failure(&failures).await) };
        match smol::future::or(failure, smol::future::or(signal, poll)).await {
            Event::Signal(signal) if signal.number == SIGHUP => reload(options, process.state()),
            Event::Signal(signal) => break signal.received,
            Event::Failed(failure) => return Err(Error::Task(failure)),
            Event::Poll => {
                let now = read_settings(options);
                if now == known {
                    continue;
                }
                reload(options, process.state());
            }
        }
        known = read_settings(options);
    };
    let close = async {
        process.close_since(terminated).await;
        Ok(())
    };
    let failure = async { Err(Error::Task(next_failure(&failures).await)) };
    smol::future::or(close, failure).await
}

/// Waits for the end of a required task.
async fn next_failure(failures: &Receiver<Failure>) -> Failure {
    match failures.recv().await {
        Ok(failure) => failure,
        // All tasks were stopped.
        Err(_) => core::future::pending().await,
    }
}

/// Reads the settings file; `None` if that fails, for example while the file is being replaced.
fn read_settings(options: &Options) -> Option<Vec<u8>> {
    std::fs::read(&options.settings).ok()
}

/// Reloads the settings. An unreadable file leaves the current settings in force; changed listen addresses take
/// effect at the next start.
fn reload(options: &Options, state: &State) {
    match Settings::load(&options.settings) {
        Ok(settings) => {
            log::info!(host:% = settings.host; "gateway: settings reloaded");
            state.set_settings(settings);
        }
        Err(error) => {
            log::error!(error:%; "gateway: cannot reload the settings, keeping the current ones");
        }
    }
}
