//! A gateway in a separate process.

use core::net::SocketAddrV4;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;

use agatemill_standin::document;
use agatemill_standin::port;

/// A gateway in a separate process. Signals go only to a child that has not been reaped, so that its process id cannot
/// belong to another process.
#[derive(Debug)]
pub struct Host {
    /// Address for callers.
    pub callers: SocketAddrV4,
    /// Address of the readiness check.
    pub ready: SocketAddrV4,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether SIGTERM or SIGKILL was sent to the process.
    is_stopping: bool,
}

impl Host {
    /// Writes the settings of the host `name` to `folder` and starts the process.
    ///
    /// # Errors
    ///
    /// I/O errors of the files or the process.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        store: SocketAddrV4,
    ) -> io::Result<Self> {
        let text = document::settings(name, store);
        let address = |key: &str| {
            let line = text.lines().find(|line| line.starts_with(key));
            let value = line.and_then(|line| line.split('"').nth(1));
            value.and_then(|value| value.parse().ok())
        };
        let missing = || io::Error::other("the settings lack an address");
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, &text)?;
        let mut host = Self {
            callers: address("callers").ok_or_else(missing)?,
            ready: address("ready").ok_or_else(missing)?,
            program: program.to_owned(),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            is_stopping: false,
        };
        host.restart()?;
        Ok(host)
    }

    /// Starts the process unless it runs; returns false while it is still stopping.
    ///
    /// # Errors
    ///
    /// I/O errors of the log file or the process.
    pub fn restart(&mut self) -> io::Result<bool> {
        if self.child.is_some() && self.exit_status()?.is_none() {
            return Ok(!self.is_stopping);
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null());
        self.child = Some(port::spawn(&mut command)?);
        self.is_stopping = false;
        Ok(true)
    }

    /// Sends a signal to the process if it runs.
    ///
    /// # Errors
    ///
    /// Any error of the system call.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.exit_status()?.is_some() {
            return Ok(());
        }
        self.is_stopping |= signal == Signal::TERM || signal == Signal::KILL;
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(i32::try_from(child.id()).ok()?));
        match pid {
            Some(pid) => Ok(rustix::process::kill_process(pid, signal)?),
            None => Ok(()),
        }
    }

    /// Whether the process was told to exit and has not been restarted.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Exit status of the process, if it has exited.
    ///
    /// # Errors
    ///
    /// Any error of the system call.
    pub fn exit_status(&mut self) -> io::Result<Option<std::process::ExitStatus>> {
        self.child.as_mut().map_or(Ok(None), Child::try_wait)
    }

    /// Whether the process exited without SIGTERM or SIGKILL.
    ///
    /// # Errors
    ///
    /// Any error of the system call.
    pub fn has_exited_unexpectedly(&mut self) -> io::Result<bool> {
        Ok(!self.is_stopping && self.exit_status()?.is_some())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails only if the process has exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
