//! The running system of one scenario.

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

/// How long a condition may take; generous, because CI machines are busy.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Size and parameters of a scenario's system.
#[derive(Clone, Debug)]
pub struct Size {
    /// Entry hosts.
    pub hosts: u8,
    /// Halves with engines.
    pub halves: usize,
    /// Stages of each chain.
    pub stages: u32,
    /// Engines of each stage.
    pub replicas: u8,
    /// Servers of the service `payments`.
    pub servers: u8,
    /// Token positions that each engine runs in a second.
    pub throughput: u32,
    /// Further arguments for all engines.
    pub engine_arguments: Vec<String>,
    /// Lines of `[settings]` in the document.
    pub settings: String,
    /// Lines of `[limits]` in the settings of each entry.
    pub limits: String,
}

/// The running system of one scenario.
pub struct World {
    /// Addresses.
    pub network: Network,
    /// Engines, services and document.
    pub plan: Plan,
    /// Hosts.
    pub hosts: u8,
    /// Lines of `[limits]` in the settings of each entry.
    limits: String,
    directory: TempDir,
    processes: BTreeMap<String, Process>,
    /// How each process is started, by name.
    commands: HashMap<String, (PathBuf, Vec<String>)>,
}

impl World {
    /// Starts a system and waits until every entry serves.
    pub fn start(size: &Size) -> Self {
        let network = Network::take();
        let mut plan = Plan::new(
            network,
            size.halves,
            size.stages,
            size.replicas,
            size.servers,
        );
        plan.settings.clone_from(&size.settings);
        plan.throughput = size.throughput;
        let mut world = Self {
            network,
            plan,
            hosts: size.hosts,
            limits: size.limits.clone(),
            directory: TempDir::new().expect("temporary directory"),
            processes: BTreeMap::new(),
            commands: HashMap::new(),
        };
        world.start_fakes(&size.engine_arguments);
        for index in 0..size.hosts {
            world.start_host(index);
        }
        let controls: Vec<_> = (0..size.hosts)
            .map(|index| network.control(index))
            .collect();
        let listening =
            |control: &std::net::SocketAddr| std::net::TcpStream::connect(control).is_ok();
        assert!(
            world.until(|_| controls.iter().all(listening)),
            "a control does not listen\n{}",
            world.logs()
        );
        let applied = world.apply(&[]);
        assert_eq!(
            applied.0,
            0,
            "the first document was not accepted: {}\n{}",
            applied.1,
            world.logs()
        );
        for index in 0..size.hosts {
            let ready = world.until(|world| world.is_ready(index));
            assert!(ready, "entry h{index} is not ready\n{}", world.logs());
        }
        world
    }

    fn start_fakes(&mut self, engine_arguments: &[String]) {
        let fake = std::env::current_exe().expect("own path");
        let platform = format!("fake platform --listen {}", self.network.platform());
        self.launch("platform", &fake, words(&platform));
        let throughput = self.plan.throughput;
        for engine in self.plan.engines.clone() {
            let line = format!(
                "fake engine --listen {} --server {} --model {} --version 1 --layers {} --throughput {throughput}/s",
                engine.address,
                engine.name,
                crate::plan::MODEL,
                engine.layers,
            );
            let mut arguments = words(&line);
            arguments.extend_from_slice(engine_arguments);
            if !engine.fencing {
                arguments.push("--ignore-fencing".to_owned());
            }
            self.launch(&engine.name, &fake, arguments);
        }
        for server in self.plan.servers.clone() {
            let line = format!("fake service --listen {}", server.address);
            self.launch(&server.name, &fake, words(&line));
        }
        for name in self.processes.keys().cloned().collect::<Vec<_>>() {
            self.process(&name).listening();
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
        let path = self.directory.path().join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("settings file");
        let arguments = vec!["--settings".to_owned(), path.display().to_string()];
        self.launch(name, Path::new(program), arguments);
    }

    fn launch(&mut self, name: &str, program: &Path, arguments: Vec<String>) {
        let process = Process::start(name, program, &arguments, self.directory.path());
        self.processes.insert(name.to_owned(), process);
        self.commands
            .insert(name.to_owned(), (program.to_owned(), arguments));
    }

    /// The process with this name: `platform`, `c0` and `h0` for control and entry of host 0, or the name of
    /// a backend server.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let known = self.commands.contains_key(name);
        self.processes
            .get_mut(name)
            .unwrap_or_else(|| panic!("no process {name}; started once: {known}"))
    }

    /// Starts a process again with its first arguments.
    pub fn restart(&mut self, name: &str) {
        self.processes.remove(name);
        let (program, arguments) = self.commands[name].clone();
        self.launch(name, &program, arguments);
        if !name.starts_with(['c', 'h']) {
            self.process(name).listening();
        }
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, name: &str, signal: Signal) {
        self.process(name).signal(signal);
    }

    /// Applies the plan's document without some backend servers; returns the exit code and the output.
    pub fn apply(&self, without: &[String]) -> (i32, String) {
        self.apply_over(without, None)
    }

    /// Applies as [`World::apply`] does, for an operator whose document is based on a certain generation.
    pub fn apply_over(&self, without: &[String], base: Option<u64>) -> (i32, String) {
        // Racing operators each have a file of their own.
        let name = format!("document-{}.toml", without.join("-"));
        let path = self.directory.path().join(name);
        std::fs::write(&path, self.plan.document(without)).expect("document file");
        let mut line = format!(
            "config apply {} --environment {ENVIRONMENT} --wait 30",
            path.display()
        );
        if let Some(base) = base {
            write!(line, " --expect {base}").expect("text grows");
        }
        self.ctl(&words(&line))
    }

    /// Runs `agatemillctl` against the platform and the control of host 0.
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

    /// A caller of the organisation of a half.
    pub fn caller(half: usize) -> Caller {
        Caller::new(&Plan::token(half))
    }

    /// Whether an entry says that it is ready.
    pub fn is_ready(&self, index: u8) -> bool {
        Self::caller(0)
            .get(self.network.entry(index), "/readyz")
            .status
            == 200
    }

    /// Names of the hosts in the directory of an entry, sorted.
    pub fn directory(&self, index: u8) -> Vec<String> {
        let answer = Self::caller(0).get(self.network.entry(index), "/v1/entries");
        let value: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let entries = value["entries"].as_array().cloned().unwrap_or_default();
        let host = |entry: &Value| entry["host"].as_str().unwrap_or_default().to_owned();
        let mut hosts: Vec<String> = entries.iter().map(host).collect();
        hosts.sort();
        hosts
    }

    /// Generation that all live members have in force, as the control of host 0 counts them; 0 when they
    /// differ or one does not answer.
    pub fn generation(&self) -> u64 {
        let (code, text) = self.ctl(&words("status --json"));
        let overview: Value = serde_json::from_str(&text).unwrap_or_default();
        let count = &overview["count"];
        // When the counted generation is the highest in force and every member has it, all have the same.
        let all = count["in_force"] == count["members"] && count["highest"] == count["generation"];
        if code == 0 && all {
            count["generation"].as_u64().unwrap_or_default()
        } else {
            0
        }
    }

    /// Whether the platform holds a key below a part of the environment's keys.
    pub fn has_key(&self, part: &str) -> bool {
        let prefix = format!("/agatemill/{ENVIRONMENT}/{part}/");
        let answer = Self::caller(0).get(self.network.platform(), "/fake/keys");
        let keys: Vec<String> = serde_json::from_str(&answer.body).unwrap_or_default();
        keys.iter().any(|key| key.starts_with(&prefix))
    }

    /// Generation that the platform holds; 0 when it does not answer.
    pub fn platform_generation(&self) -> u64 {
        let client = Client::new(&[self.network.platform()], PATIENCE);
        let key = format!("/agatemill/{ENVIRONMENT}/configuration");
        let Ok(Some(entry)) = smol::block_on(client.get(&key)) else {
            return 0;
        };
        let envelope: Value = serde_json::from_slice(&entry.value).unwrap_or_default();
        envelope["generation"].as_u64().unwrap_or_default()
    }

    /// Waits until a condition holds; false when [`PATIENCE`] ends first.
    pub fn until(&self, mut condition: impl FnMut(&Self) -> bool) -> bool {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if condition(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Address of a fake.
    pub fn fake(&self, name: &str) -> std::net::SocketAddr {
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

    /// Sets faults of a fake.
    pub fn fault(&self, name: &str, faults: &str) {
        let body: Value = serde_json::from_str(faults).expect("faults are JSON");
        let answer = Self::caller(0).post(self.fake(name), "/fake/faults", &[], &body);
        assert!(
            (200..300).contains(&answer.status),
            "{name} refused the faults: {answer:?}"
        );
    }

    /// What a fake executed; `None` when it does not answer.
    pub fn executions(&self, name: &str) -> Option<Vec<Value>> {
        let answer = Self::caller(0).get(self.fake(name), "/fake/executions");
        serde_json::from_str(&answer.body).ok()
    }

    /// Writes the platform's list of hosts.
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

    /// Writes a platform key whatever it holds.
    pub fn write_key(&self, key: &str, value: &[u8]) {
        let client = Client::new(&[self.network.platform()], PATIENCE);
        smol::block_on(async {
            let entry = client.get(key).await.expect("the platform answers");
            let revision = entry.map_or(Revision(0), |entry| entry.revision);
            client
                .swap(key, value, revision, None)
                .await
                .expect("the platform answers");
        });
    }

    /// The end of every log, for failures.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for (name, process) in &self.processes {
            let log = process.log_text();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(30)..];
            writeln!(text, "--- {name}\n{}", tail.join("\n")).expect("text grows");
        }
        text
    }
}

/// Splits a line at spaces.
pub fn words(line: &str) -> Vec<String> {
    line.split(' ').map(str::to_owned).collect()
}
