//! Processes that a measurement starts, and what the operating system says of them.

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

/// Ticks a second of the processor times in `/proc`; a constant of the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Log filter that shows the traffic of a control and nothing else below warnings.
const LOG_FILTER: &str = "warn,agatemill_control::traffic=debug,agatemill_membership=info";

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub memory_bytes: f64,
    /// Bytes sent, by its own count.
    pub sent_bytes: f64,
    /// Bytes received, by its own count.
    pub received_bytes: f64,
}

/// A child process; killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program with a settings file; both the file and the log go to `directory`.
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
    /// Any error of the operating system, such as that the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        rustix::process::kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only when the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Lines of the log that contain both texts.
    #[must_use]
    pub fn count_log_lines(&self, first: &str, second: &str) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let has_both = |line: &&str| line.contains(first) && line.contains(second);
        log.lines().filter(has_both).count()
    }

    /// What the process has used so far.
    ///
    /// # Errors
    ///
    /// Any error of reading `/proc` or the log, such as that the process has ended.
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

/// User and system time of a process.
///
/// # Errors
///
/// Any error of reading `/proc/PID/stat`.
pub fn cpu_time(id: u32) -> Result<Duration, Error> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name in parentheses may contain spaces; the two times are fields 14 and 15 of the line.
    let (_, rest) = stat.rsplit_once(')').ok_or("malformed /proc/PID/stat")?;
    let times = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|text| text.parse::<f64>().ok()).sum();
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Resident memory of a process in bytes.
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

fn parse_field(line: &str, key: &str) -> f64 {
    let value = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix(key));
    value.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
