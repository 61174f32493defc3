//! Handling of termination and reload signals.

use core::time::Duration;
use std::io;
use std::thread;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use smol::channel::Receiver;

/// A signal that the process received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Signal {
    /// Number of the signal.
    pub number: i32,
    /// When the thread that receives signals got it, as [`now`](crate::now) gives it. Tasks of a busy executor learn of it
    /// later.
    pub received: Duration,
}

/// Returns a channel that yields each SIGTERM or SIGINT that the process receives.
///
/// # Errors
///
/// Any error of installing the handlers.
pub fn termination() -> io::Result<Receiver<Signal>> {
    listen(&[SIGTERM, SIGINT])
}

/// Returns a channel that yields each SIGTERM, SIGINT or SIGHUP that the process receives.
///
/// # Errors
///
/// Any error of installing the handlers.
pub fn termination_and_reload() -> io::Result<Receiver<Signal>> {
    listen(&[SIGTERM, SIGINT, SIGHUP])
}

fn listen(numbers: &[i32]) -> io::Result<Receiver<Signal>> {
    let mut signals = Signals::new(numbers)?;
    let (sender, receiver) = smol::channel::unbounded();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for number in signals.forever() {
                let signal = Signal {
                    number,
                    received: crate::now(),
                };
                if sender.send_blocking(signal).is_err() {
                    return;
                }
            }
        })?;
    Ok(receiver)
}
