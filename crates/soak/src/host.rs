//! A gateway as a process of its own.

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

/// A gateway as a process of its own. Its id is that of a child which has not been waited for, so that signals
/// reach no other process.
#[derive(Debug)]
pub struct Host {
    /// Where callers connect.
    pub callers: SocketAddrV4,
    /// Where readiness is checked.
    pub ready: SocketAddrV4,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether the process was told to end, or killed.
    is_ending: bool,
}

impl Host {
    /// Writes the settings of the host `name` into a folder, and starts it.
    ///
    /// # Errors
    ///
    /// Any error of the files or of the process.
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
            is_ending: false,
        };
        host.restart()?;
        Ok(host)
    }

    /// Starts the process unless it runs; false when it still has to end.
    ///
    /// # Errors
    ///
    /// Any error of the log file or of the process.
    pub fn restart(&mut self) -> io::Result<bool> {
        if self.child.is_some() && self.exited()?.is_none() {
            return Ok(!self.is_ending);
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        self.is_ending = false;
        Ok(true)
    }

    /// Sends a signal to the process, if it runs.
    ///
    /// # Errors
    ///
    /// Any error of the system call.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.exited()?.is_some() {
            return Ok(());
        }
        self.is_ending |= signal == Signal::TERM || signal == Signal::KILL;
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(i32::try_from(child.id()).ok()?));
        match pid {
            Some(pid) => Ok(rustix::process::kill_process(pid, signal)?),
            None => Ok(()),
        }
    }

    /// How the process ended, if it has.
    ///
    /// # Errors
    ///
    /// Any error of the system call.
    pub fn exited(&mut self) -> io::Result<Option<std::process::ExitStatus>> {
        self.child.as_mut().map_or(Ok(None), Child::try_wait)
    }

    /// Whether the process ended although nobody told it to.
    ///
    /// # Errors
    ///
    /// Any error of the system call.
    pub fn ended_by_itself(&mut self) -> io::Result<bool> {
        Ok(!self.is_ending && self.exited()?.is_some())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails only when the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
