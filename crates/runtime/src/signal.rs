//! Handling of termination and reload signals.

use std::io;
use std::thread;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use smol::channel::Receiver;

/// Returns a channel that yields each SIGTERM or SIGINT that the process receives.
///
/// # Errors
///
/// Any error of installing the handlers.
pub fn termination() -> io::Result<Receiver<i32>> {
    listen(&[SIGTERM, SIGINT])
}

/// Returns a channel that yields each SIGTERM, SIGINT or SIGHUP that the process receives.
///
/// # Errors
///
/// Any error of installing the handlers.
pub fn termination_and_reload() -> io::Result<Receiver<i32>> {
    listen(&[SIGTERM, SIGINT, SIGHUP])
}

fn listen(numbers: &[i32]) -> io::Result<Receiver<i32>> {
    let mut signals = Signals::new(numbers)?;
    let (sender, receiver) = smol::channel::unbounded();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                if sender.send_blocking(signal).is_err() {
                    return;
                }
            }
        })?;
    Ok(receiver)
}
