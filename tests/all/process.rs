//! Processes that a scenario starts.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;

/// A child process; killed when it is dropped.
pub struct Process {
    name: String,
    child: Child,
    /// Where its log lines go.
    log: PathBuf,
    /// Whether it is stopped by SIGSTOP.
    paused: bool,
}

impl Process {
    /// Starts a program; its log lines go to a file in `directory`.
    pub fn start(name: &str, program: &Path, arguments: &[String], directory: &Path) -> Self {
        let log = directory.join(format!("{name}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("log file");
        let child = Command::new(program)
            .args(arguments)
            .env(
                "RUST_LOG",
                std::env::var("RUST_LOG").unwrap_or_else(|_| "info,tarpc=warn".to_owned()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("{} cannot be started: {error}", program.display()));
        Self {
            name: name.to_owned(),
            child,
            log,
            paused: false,
        }
    }

    /// Waits for the line `listening on ADDR` and returns the address.
    pub fn listening(&mut self) -> SocketAddr {
        let stdout = self.child.stdout.take().expect("stdout is read once");
        let mut lines = BufReader::new(stdout).lines();
        let found = lines.find_map(|line| {
            let line = line.ok()?;
            line.strip_prefix("listening on ")
                .and_then(|address| address.trim().parse().ok())
        });
        // The pipe stays open and is drained, so that the process never blocks on it.
        std::thread::spawn(move || lines.for_each(drop));
        found.unwrap_or_else(|| {
            panic!(
                "{} ended before it listened:\n{}",
                self.name,
                self.log_text()
            )
        })
    }

    /// The log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal.
    pub fn signal(&mut self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        self.paused = signal == Signal::STOP;
        // Fails only when the process has ended, which the scenario will notice.
        let _ = rustix::process::kill_process(pid, signal);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end on its own.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
