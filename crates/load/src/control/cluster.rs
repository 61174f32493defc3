//! Entry hosts on loopback: real processes, and a fake platform in this process.

use core::net::SocketAddr;
use core::time::Duration;
use std::path::PathBuf;

use async_compat::CompatExt;
use tarpc::client::Config;
use tarpc::client::NewClient;
use tempfile::TempDir;

use crate::control::Error;
use crate::control::addresses::Addresses;
use crate::control::document::ZONES;
use crate::control::process::Process;
use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;
use agatemill_fake::platform::Platform;
use agatemill_platform::Swap;
use agatemill_wire::Overview;
use agatemill_wire::local::LocalClient;
use agatemill_wire::operator::OperatorClient;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

/// Environment of all measurements.
const ENVIRONMENT: &str = "measured";

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of starting and joining.
pub const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Entry hosts on loopback.
#[derive(Debug)]
pub struct Cluster {
    /// Addresses of all processes.
    pub addresses: Addresses,
    /// Fake platform.
    pub platform: Platform,
    /// Control processes; `None` while a host is down.
    pub controls: Vec<Option<Process>>,
    /// Entry processes; empty without entries.
    pub entries: Vec<Option<Process>>,
    binaries: PathBuf,
    directory: TempDir,
    generation: u64,
    revision: Revision,
}

impl Cluster {
    /// Starts `count` control processes, and an entry beside each if `entries`.
    ///
    /// # Errors
    ///
    /// Any error of starting the platform or a process.
    pub async fn start(binaries: PathBuf, count: usize, entries: bool) -> Result<Self, Error> {
        let addresses = Addresses::allocate();
        let mut cluster = Self {
            addresses,
            platform: Platform::listen(addresses.platform()).await?,
            controls: Vec::new(),
            entries: Vec::new(),
            binaries,
            directory: TempDir::new()?,
            generation: 0,
            revision: Revision(0),
        };
        for index in 0..count {
            let control = cluster.start_control(index)?;
            cluster.controls.push(Some(control));
            if entries {
                let entry = cluster.start_entry(index)?;
                cluster.entries.push(Some(entry));
            }
        }
        Ok(cluster)
    }

    /// Starts the control process of a host.
    ///
    /// # Errors
    ///
    /// Any error of starting the process.
    pub fn start_control(&self, index: usize) -> Result<Process, Error> {
        let addresses = self.addresses;
        let peers: Vec<_> = (0..3)
            .filter(|peer| *peer != index)
            .map(|peer| format!("\"{}\"", addresses.control(peer)))
            .collect();
        let settings = format!(
            "{}listen = \"{}\"\ngossip = \"{}\"\nplatform = [\"{}\"]\npeers = [{}]\n",
            common_settings(index),
            addresses.control(index),
            addresses.gossip(index),
            addresses.platform(),
            peers.join(", ")
        );
        self.start_process("agatemill-control", &format!("c{index}"), &settings)
    }

    /// Starts the entry process of a host.
    ///
    /// # Errors
    ///
    /// Any error of starting the process.
    pub fn start_entry(&self, index: usize) -> Result<Process, Error> {
        let addresses = self.addresses;
        let settings = format!(
            "{}listen = \"{}\"\ncontrol = \"{}\"\nplatform = [\"{}\"]\nthreads = 2\n",
            common_settings(index),
            addresses.entry(index),
            addresses.control(index),
            addresses.platform(),
        );
        self.start_process("agatemill-entry", &format!("h{index}"), &settings)
    }

    fn start_process(&self, program: &str, name: &str, settings: &str) -> Result<Process, Error> {
        let program = self.binaries.join(program);
        Process::start(&program, self.directory.path(), name, settings)
    }

    /// Writes the next generation of the configuration to the platform, as an operator does.
    ///
    /// # Errors
    ///
    /// When the write fails or the platform stores another revision.
    pub async fn apply(&mut self, text: String) -> Result<u64, Error> {
        let generation = self.generation + 1;
        let write = format!("write-{generation}");
        let author = "measurement".into();
        let envelope = Envelope::new(Generation(generation), write.into(), author, text);
        let value = serde_json::to_vec(&envelope)?;
        let key = format!("/agatemill/{ENVIRONMENT}/configuration");
        let client = self.platform.client(PLATFORM_TIMEOUT);
        match client.swap(&key, &value, self.revision, None).await? {
            Swap::Done(revision) => self.revision = revision,
            Swap::Conflict(_) => return Err("the platform stores another configuration".into()),
        }
        self.generation = generation;
        Ok(generation)
    }

    /// Waits until every running control process knows all others as alive and has `generation`.
    ///
    /// # Errors
    ///
    /// When that takes longer than [`START_TIMEOUT`].
    pub async fn wait_until_converged(&self, generation: u64) -> Result<(), Error> {
        let running: Vec<_> = self.running_hosts().collect();
        let has_converged = async || {
            for index in &running {
                let Ok(overview) = fetch_overview(self.addresses.control(*index)).await else {
                    return false;
                };
                if count_alive(&overview) != running.len() || overview.generation != generation {
                    return false;
                }
            }
            true
        };
        match wait_until(START_TIMEOUT, has_converged).await {
            Some(_) => Ok(()),
            None => Err(format!(
                "{} control processes did not converge in time",
                running.len()
            )
            .into()),
        }
    }

    /// Indices of the hosts whose control process runs.
    pub fn running_hosts(&self) -> impl Iterator<Item = usize> {
        let is_running = |index: &usize| self.controls[*index].is_some();
        (0..self.controls.len()).filter(is_running)
    }
}

/// Settings that the control and the entry of a host share.
fn common_settings(index: usize) -> String {
    let zone = ZONES[index % ZONES.len()];
    format!("host = \"host-{index:03}\"\nzone = \"{zone}\"\nenvironment = \"{ENVIRONMENT}\"\n")
}

/// Counts the members that are alive in an overview.
#[must_use]
pub fn count_alive(overview: &Overview) -> usize {
    let is_alive =
        |member: &&agatemill_wire::Member| member.state == agatemill_wire::member::State::Alive;
    overview.members.iter().filter(is_alive).count()
}

/// Waits until a condition holds and returns the time that it took; `None` after the timeout.
pub async fn wait_until(timeout: Duration, condition: impl AsyncFn() -> bool) -> Option<Duration> {
    let start = agatemill_runtime::now();
    loop {
        if condition().await {
            return Some(agatemill_runtime::now().saturating_sub(start));
        }
        if agatemill_runtime::now().saturating_sub(start) > timeout {
            return None;
        }
        agatemill_runtime::sleep(POLL_INTERVAL).await;
    }
}

/// Fetches the overview of a control process.
///
/// # Errors
///
/// Any error of the call.
pub async fn fetch_overview(address: SocketAddr) -> Result<Overview, Error> {
    let transport = transport::connect(address, Service::Operator).await?;
    let NewClient { client, dispatch } = OperatorClient::new(Config::default(), transport);
    let task = agatemill_runtime::spawn(dispatch.compat());
    let overview = client.overview(tarpc::context::current()).await?;
    drop(task);
    Ok(overview)
}

/// Connects to the service of a control process for its entry.
///
/// # Errors
///
/// Any error of the connection.
pub async fn connect_local(address: SocketAddr) -> Result<LocalClient, Error> {
    let transport = transport::connect(address, Service::Local).await?;
    let NewClient { client, dispatch } = LocalClient::new(Config::default(), transport);
    agatemill_runtime::spawn(dispatch.compat()).detach();
    Ok(client)
}
