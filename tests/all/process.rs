//! Child processes of a scenario.

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
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;

/// A child process, killed on drop.
pub struct Process {
    name: String,
    child: Child,
    /// File that receives its log lines.
    log: PathBuf,
    /// Whether SIGSTOP was the last signal sent to it.
    paused: bool,
}

impl Process {
    /// Starts a program. Its standard error is appended to a log file in `directory`.
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
            .unwrap_or_else(|error| panic!("failed to start {}: {error}", program.display()));
        Self {
            name: name.to_owned(),
            child,
            log,
            paused: false,
        }
    }

    /// Waits for the line `listening on ADDR` and returns the address.
    pub fn wait_for_address(&mut self) -> SocketAddr {
        let stdout = self.child.stdout.take().expect("stdout is read once");
        let mut lines = BufReader::new(stdout).lines();
        let found = lines.find_map(|line| {
            let line = line.ok()?;
            line.strip_prefix("listening on ")
                .and_then(|address| address.trim().parse().ok())
        });
        // Keeps the pipe open and drains it, so that the process never blocks on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        found.unwrap_or_else(|| {
            panic!(
                "{} exited before it listened:\n{}",
                self.name,
                self.log_text()
            )
        })
    }

    /// The log written so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal.
    pub fn signal(&mut self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        self.paused = signal == Signal::STOP;
        // Fails only if the process has ended, which the later directives of the scenario detect.
        let _ = rustix::process::kill_process(pid, signal);
    }

    /// Peak of the resident memory in bytes; `None` if the process has ended.
    pub fn peak_bytes(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        Some(kib * 1_024)
    }

    /// Number of open descriptors; `None` if the process has ended.
    pub fn open_descriptors(&self) -> Option<usize> {
        let path = format!("/proc/{}/fd", self.child.id());
        Some(std::fs::read_dir(path).ok()?.count())
    }

    /// Lowers the number of descriptors that the process may open.
    pub fn limit_descriptors(&self, limit: u64) {
        let limit = Rlimit {
            current: Some(limit),
            maximum: Some(limit),
        };
        rustix::process::prlimit(Some(Pid::from_child(&self.child)), Resource::Nofile, limit)
            .expect("the process runs");
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit on its own; `None` if it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
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
