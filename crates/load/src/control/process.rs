//! Child processes of a measurement and their resource usage.

use core::time::Duration;
use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;

use crate::control::Error;

/// Ticks per second of the CPU times in `/proc`; a constant of the kernel interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Log filter of the processes: warnings, the traffic of a control process and the state changes of members.
const LOG_FILTER: &str = "warn,agatemill_control::traffic=debug,agatemill_membership=info";

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time since the start, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub memory_bytes: f64,
    /// Bytes sent since the start, as logged by the process.
    pub sent_bytes: f64,
    /// Bytes received since the start, as logged by the process.
    pub received_bytes: f64,
}

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program with a settings file; writes the file and the log to `directory`.
    ///
    /// # Errors
    ///
    /// Any error of writing the files or of starting the program.
    pub fn start(
        program: &Path,
        directory: &Path,
        name: &str,
        settings: &str,
    ) -> Result<Self, Error> {
        let path = directory.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = directory.join(format!("{name}.log"));
        let file = File::create(&log)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .env("RUST_LOG", LOG_FILTER)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(|error| format!("{} cannot be started: {error}", program.display()))?;
        Ok(Self { child, log })
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Any error of the operating system, such as when the process has exited.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        rustix::process::kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // Fails only when the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Counts the lines of the log that contain both texts.
    #[must_use]
    pub fn count_log_lines(&self, first: &str, second: &str) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let has_both = |line: &&str| line.contains(first) && line.contains(second);
        log.lines().filter(has_both).count()
    }

    /// Reads the resource usage of the process.
    ///
    /// # Errors
    ///
    /// Any error of reading `/proc` or the log, such as when the process has exited.
    pub fn usage(&self) -> Result<Usage, Error> {
        let log = fs::read_to_string(&self.log)?;
        let traffic = log.lines().rfind(|line| line.contains("members: traffic"));
        let traffic = traffic.unwrap_or_default();
        Ok(Usage {
            cpu_seconds: cpu_time(self.child.id())?.as_secs_f64(),
            memory_bytes: resident_memory(self.child.id())?,
            sent_bytes: parse_field(traffic, "sent="),
            received_bytes: parse_field(traffic, "received="),
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the user and system CPU time of a process.
///
/// # Errors
///
/// Any error of reading `/proc/PID/stat`.
pub fn cpu_time(id: u32) -> Result<Duration, Error> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The command name in parentheses may contain spaces. The times are fields 14 and 15 of the line.
    let (_, rest) = stat.rsplit_once(')').ok_or("malformed /proc/PID/stat")?;
    let times = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|text| text.parse::<f64>().ok()).sum();
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Reads the resident memory of a process, in bytes.
///
/// # Errors
///
/// Any error of reading `/proc/PID/status`.
pub fn resident_memory(id: u32) -> Result<f64, Error> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|text| text.split_whitespace().next());
    let kibibytes: f64 = size.ok_or("no VmRSS in /proc/PID/status")?.parse()?;
    Ok(kibibytes * 1024.0)
}

/// Parses the value after `key` in a log line; 0 if there is none.
fn parse_field(line: &str, key: &str) -> f64 {
    let value = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix(key));
    value.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
