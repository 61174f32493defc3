//! The cluster of one scenario: its processes, and access to their state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use serde_json::Value;
use tempfile::TempDir;

use crate::caller::Caller;
use crate::network::Network;
use crate::plan::Plan;
use crate::plan::ZONES;
use crate::process::Process;
use agatemill_core::number::Revision;
use agatemill_platform::Client;

/// Environment of every scenario.
pub const ENVIRONMENT: &str = "production";

/// Timeout of a condition; generous, because CI machines are busy.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and configuration of a cluster.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// Number of entry hosts.
    pub hosts: u8,
    /// Number of halves that have engines.
    pub halves: usize,
    /// Number of stages in each chain.
    pub stages: u32,
    /// Number of engines for each stage.
    pub replicas: u8,
    /// Number of servers of the service `payments`.
    pub servers: u8,
    /// Token positions that each engine processes per second.
    pub throughput: u32,
    /// Additional command-line arguments of all engines.
    pub engine_arguments: Vec<String>,
    /// Lines of `[settings]` in the document.
    pub settings: String,
    /// Lines of `[limits]` in the settings file of each entry.
    pub limits: String,
}

/// The running processes of one scenario.
pub struct Cluster {
    /// Addresses of the processes.
    pub network: Network,
    /// Engines, servers and document.
    pub plan: Plan,
    /// Number of entry hosts.
    pub hosts: u8,
    /// Lines of `[limits]` in the settings file of each entry.
    limits: String,
    temporary_directory: TempDir,
    processes: BTreeMap<String, Process>,
    /// Program and arguments of each process, by name.
    commands: HashMap<String, (PathBuf, Vec<String>)>,
}

impl Cluster {
    /// Starts a cluster and waits until every entry is ready.
    pub fn start(parameters: &Parameters) -> Self {
        let network = Network::allocate();
        let mut plan = Plan::new(
            network,
            parameters.halves,
            parameters.stages,
            parameters.replicas,
            parameters.servers,
        );
        plan.settings.clone_from(&parameters.settings);
        plan.throughput = parameters.throughput;
        let mut cluster = Self {
            network,
            plan,
            hosts: parameters.hosts,
            limits: parameters.limits.clone(),
            temporary_directory: TempDir::new().expect("temporary directory"),
            processes: BTreeMap::new(),
            commands: HashMap::new(),
        };
        cluster.start_fakes(&parameters.engine_arguments);
        for index in 0..parameters.hosts {
            cluster.start_host(index);
        }
        let controls: Vec<_> = (0..parameters.hosts)
            .map(|index| network.control(index))
            .collect();
        let listening =
            |control: &std::net::SocketAddr| std::net::TcpStream::connect(control).is_ok();
        assert!(
            cluster.wait_until(|_| controls.iter().all(listening)),
            "a control process does not listen\n{}",
            cluster.logs()
        );
        let applied = cluster.apply(&[]);
        assert_eq!(
            applied.0,
            0,
            "the first document was not accepted: {}\n{}",
            applied.1,
            cluster.logs()
        );
        for index in 0..parameters.hosts {
            let ready = cluster.wait_until(|cluster| cluster.is_ready(index));
            assert!(ready, "entry h{index} is not ready\n{}", cluster.logs());
        }
        cluster
    }

    fn start_fakes(&mut self, engine_arguments: &[String]) {
        let fake = std::env::current_exe().expect("path of the test program");
        let platform = format!("fake platform --listen {}", self.network.platform());
        self.launch("platform", &fake, split_words(&platform));
        let throughput = self.plan.throughput;
        for engine in self.plan.engines.clone() {
            let line = format!(
                "fake engine --listen {} --server {} --model {} --version 1 --layers {} --throughput {throughput}/s",
                engine.address,
                engine.name,
                crate::plan::MODEL,
                engine.layers,
            );
            let mut arguments = split_words(&line);
            arguments.extend_from_slice(engine_arguments);
            if !engine.fencing {
                arguments.push("--ignore-fencing".to_owned());
            }
            self.launch(&engine.name, &fake, arguments);
        }
        for server in self.plan.servers.clone() {
            let line = format!("fake service --listen {}", server.address);
            self.launch(&server.name, &fake, split_words(&line));
        }
        for name in self.processes.keys().cloned().collect::<Vec<_>>() {
            self.process(&name).wait_for_address();
        }
    }

    fn start_host(&mut self, index: u8) {
        let network = self.network;
        let zone = ZONES[usize::from(index) % ZONES.len()];
        let (platform, control) = (network.platform(), network.control(index));
        let head =
            format!("host = \"h{index}\"\nzone = \"{zone}\"\nenvironment = \"{ENVIRONMENT}\"\n");
        let peers = (0..self.hosts).filter(|peer| *peer != index).take(3);
        let peers: Vec<String> = peers
            .map(|peer| format!("\"{}\"", network.control(peer)))
            .collect();
        let text = format!(
            "{head}listen = \"{control}\"\ngossip = \"{}\"\nplatform = [\"{platform}\"]\npeers = [{}]\n",
            network.gossip(index),
            peers.join(", ")
        );
        self.launch_with_settings(
            &format!("c{index}"),
            env!("CARGO_BIN_EXE_agatemill-control"),
            &text,
        );
        let text = format!(
            "{head}listen = \"{}\"\ncontrol = \"{control}\"\nplatform = [\"{platform}\"]\nthreads = 2\n[limits]\n{}\n",
            network.entry(index),
            self.limits
        );
        self.launch_with_settings(
            &format!("h{index}"),
            env!("CARGO_BIN_EXE_agatemill-entry"),
            &text,
        );
    }

    fn launch_with_settings(&mut self, name: &str, program: &str, settings: &str) {
        let path = self.temporary_directory.path().join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("settings file");
        let arguments = vec!["--settings".to_owned(), path.display().to_string()];
        self.launch(name, Path::new(program), arguments);
    }

    fn launch(&mut self, name: &str, program: &Path, arguments: Vec<String>) {
        let process = Process::start(name, program, &arguments, self.temporary_directory.path());
        self.processes.insert(name.to_owned(), process);
        self.commands
            .insert(name.to_owned(), (program.to_owned(), arguments));
    }

    /// The process with a name: `platform`, `c0` or `h0` for the control or entry of host 0, or the name of a backend
    /// server.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let was_started = self.commands.contains_key(name);
        self.processes
            .get_mut(name)
            .unwrap_or_else(|| panic!("no process {name}; was started before: {was_started}"))
    }

    /// Restarts a process with its original arguments.
    pub fn restart(&mut self, name: &str) {
        self.processes.remove(name);
        let (program, arguments) = self.commands[name].clone();
        self.launch(name, &program, arguments);
        if !name.starts_with(['c', 'h']) {
            self.process(name).wait_for_address();
        }
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, name: &str, signal: Signal) {
        self.process(name).signal(signal);
    }

    /// Applies the plan's document, omitting some backend servers. Returns the exit code and output of `agatemillctl`.
    pub fn apply(&self, without: &[String]) -> (i32, String) {
        self.apply_on_base(without, None)
    }

    /// Like [`Cluster::apply`], with `base` as the generation that the operator's document is based on.
    pub fn apply_on_base(&self, without: &[String], base: Option<u64>) -> (i32, String) {
        // Concurrent operators need separate files.
        let name = format!("document-{}.toml", without.join("-"));
        let path = self.temporary_directory.path().join(name);
        std::fs::write(&path, self.plan.document(without)).expect("document file");
        let mut line = format!(
            "config apply {} --environment {ENVIRONMENT} --wait 30",
            path.display()
        );
        if let Some(base) = base {
            write!(line, " --expect {base}").expect("writing to a String cannot fail");
        }
        self.ctl(&split_words(&line))
    }

    /// Runs `agatemillctl` with the addresses of the platform and of the control of host 0.
    pub fn ctl(&self, arguments: &[String]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_agatemillctl"));
        command.args(arguments);
        if arguments.first().is_some_and(|word| word == "config") {
            command.args(["--platform".to_owned(), self.network.platform().to_string()]);
        }
        command.args(["--control".to_owned(), self.network.control(0).to_string()]);
        let output = command.output().expect("agatemillctl runs");
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        (output.status.code().unwrap_or(-1), text)
    }

    /// A caller that belongs to the organisation of a half.
    pub fn caller(half: usize) -> Caller {
        Caller::new(&Plan::token(half))
    }

    /// Whether an entry reports that it is ready.
    pub fn is_ready(&self, index: u8) -> bool {
        Self::caller(0)
            .get(self.network.entry(index), "/readyz")
            .status
            == 200
    }

    /// Names of the hosts that the directory of an entry lists, sorted.
    pub fn directory(&self, index: u8) -> Vec<String> {
        let response = Self::caller(0).get(self.network.entry(index), "/v1/entries");
        let value: Value = serde_json::from_str(&response.body).unwrap_or_default();
        let entries = value["entries"].as_array().cloned().unwrap_or_default();
        let host = |entry: &Value| entry["host"].as_str().unwrap_or_default().to_owned();
        let mut hosts: Vec<String> = entries.iter().map(host).collect();
        hosts.sort();
        hosts
    }

    /// Generation that all live members have in force, according to the control of host 0; 0 if they differ or one
    /// does not answer.
    pub fn common_generation(&self) -> u64 {
        let (code, text) = self.ctl(&split_words("status --json"));
        let overview: Value = serde_json::from_str(&text).unwrap_or_default();
        let count = &overview["count"];
        // All members have the same generation if the counted one is the highest and every member has it in force.
        let is_common =
            count["in_force"] == count["members"] && count["highest"] == count["generation"];
        if code == 0 && is_common {
            count["generation"].as_u64().unwrap_or_default()
        } else {
            0
        }
    }

    /// Whether the platform stores a key under the given part of the environment's keys.
    pub fn has_key(&self, part: &str) -> bool {
        let prefix = format!("/agatemill/{ENVIRONMENT}/{part}/");
        let response = Self::caller(0).get(self.network.platform(), "/fake/keys");
        let keys: Vec<String> = serde_json::from_str(&response.body).unwrap_or_default();
        keys.iter().any(|key| key.starts_with(&prefix))
    }

    /// Generation of the configuration that the platform stores; 0 if there is none or the platform does not answer.
    pub fn platform_generation(&self) -> u64 {
        let client = Client::new(&[self.network.platform()], CONDITION_TIMEOUT);
        let key = format!("/agatemill/{ENVIRONMENT}/configuration");
        let Ok(Some(entry)) = smol::block_on(client.get(&key)) else {
            return 0;
        };
        let envelope: Value = serde_json::from_slice(&entry.value).unwrap_or_default();
        envelope["generation"].as_u64().unwrap_or_default()
    }

    /// Waits until a condition holds; false after [`CONDITION_TIMEOUT`].
    pub fn wait_until(&self, mut condition: impl FnMut(&Self) -> bool) -> bool {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while Instant::now() < deadline {
            if condition(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Address of a stand-in: an engine, a server, or else the platform.
    pub fn fake_address(&self, name: &str) -> std::net::SocketAddr {
        let engines = self
            .plan
            .engines
            .iter()
            .map(|engine| (&engine.name, engine.address));
        let servers = self
            .plan
            .servers
            .iter()
            .map(|server| (&server.name, server.address));
        let found = engines.chain(servers).find(|(other, _)| *other == name);
        found.map_or_else(|| self.network.platform(), |(_, address)| address)
    }

    /// Sets the faults of a stand-in, given in JSON.
    pub fn set_faults(&self, name: &str, faults: &str) {
        let body: Value = serde_json::from_str(faults).expect("faults in JSON");
        let response = Self::caller(0).post(self.fake_address(name), "/fake/faults", &[], &body);
        assert!(
            (200..300).contains(&response.status),
            "{name} refused the faults: {response:?}"
        );
    }

    /// The executions that a stand-in recorded; `None` if it does not answer.
    pub fn executions(&self, name: &str) -> Option<Vec<Value>> {
        let response = Self::caller(0).get(self.fake_address(name), "/fake/executions");
        serde_json::from_str(&response.body).ok()
    }

    /// Writes the platform's host list, with the state `leaving` for some hosts.
    pub fn write_hosts(&self, leaving: &[String]) {
        let state = |name: &str| {
            if leaving.iter().any(|other| other == name) {
                "leaving"
            } else {
                "live"
            }
        };
        let mut hosts = Vec::new();
        for index in 0..self.hosts {
            let name = format!("h{index}");
            hosts.push(serde_json::json!({
                "host": name, "address": self.network.host(index), "state": state(&name),
            }));
        }
        for engine in &self.plan.engines {
            hosts.push(serde_json::json!({
                "host": engine.name, "address": engine.address.ip(), "state": state(&engine.name),
            }));
        }
        self.write_key("/platform/hosts", Value::from(hosts).to_string().as_bytes());
    }

    /// Writes a key of the platform, whatever its current value.
    pub fn write_key(&self, key: &str, value: &[u8]) {
        let client = Client::new(&[self.network.platform()], CONDITION_TIMEOUT);
        smol::block_on(async {
            let entry = client.get(key).await.expect("the platform answers");
            let revision = entry.map_or(Revision(0), |entry| entry.revision);
            client
                .swap(key, value, revision, None)
                .await
                .expect("the platform answers");
        });
    }

    /// The last lines of every log, for the report of a failure.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for (name, process) in &self.processes {
            let log = process.log_text();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(30)..];
            writeln!(text, "--- {name}\n{}", tail.join("\n"))
                .expect("writing to a String cannot fail");
        }
        text
    }
}

/// Splits a line at spaces.
pub fn split_words(line: &str) -> Vec<String> {
    line.split(' ').map(str::to_owned).collect()
}
