//! The processes of a case: gateways and engines. All that were started are ended when it is dropped.

use std::collections::HashMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;
use crate::store::Store;

pub struct Fleet {
    pub store: Store,
    pub record: Record,
    gateway: String,
    folder: String,
    children: HashMap<String, Child>,
    reserved: Vec<u16>,
    /// What the engines wrote.
    lines: Arc<Mutex<Vec<(String, String)>>>,
}

/// Addresses of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Gateway {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Fleet {
    pub fn new(gateway: &str, folder: &str, record: Record) -> Self {
        Self {
            store: Store::start(),
            record,
            gateway: gateway.to_owned(),
            folder: folder.to_owned(),
            children: HashMap::new(),
            reserved: Vec::new(),
            lines: Arc::default(),
        }
    }

    /// A loopback address below the range of outgoing connections.
    pub fn address(&mut self) -> SocketAddr {
        let first = 20_000 + (std::process::id() % 500) as u16 * 20;
        let mut ports = (first..first + 2_000).filter(|port| !self.reserved.contains(port));
        let port = ports
            .find(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok())
            .unwrap();
        self.reserved.push(port);
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn start_gateway(&mut self, name: &str, zone: &str) -> Gateway {
        self.start_gateway_on(name, zone, self.store.address)
    }

    /// Starts a gateway whose link to the store is `store`.
    pub fn start_gateway_on(&mut self, name: &str, zone: &str, store: SocketAddr) -> Gateway {
        let gateway = Gateway {
            callers: self.address(),
            ready: self.address(),
        };
        let (directory, metrics, exchange) = (self.address(), self.address(), self.address());
        let settings = format!(
            "host = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{}\"\nready = \"{}\"\ndirectory = \"{directory}\"\n\
            metrics = \"{metrics}\"\nexchange = \"{exchange}\"\nstore = \"{}\"\nfirst_start = true\nlink = \"1000.0Mbit/s\"\n\
            processors = 0.25\nmemory = \"260MB\"\ndescriptors = 4100\n\n[bounds]\nretry_ratio = 0.2\nretry_base = 200\n\
            retry_window = \"10s\"\nconfiguration = \"2000ms\"\nrevocation = \"5000ms\"\ngrace = \"8s\"\n",
            gateway.callers, gateway.ready, store
        );
        std::fs::write(format!("{}/{name}.toml", self.folder), settings).unwrap();
        self.restart_gateway(name);
        gateway
    }

    /// Whether this engine has written this line.
    pub fn seen_by(&self, engine: &str, line: &str) -> bool {
        self.lines
            .lock()
            .unwrap()
            .iter()
            .any(|(id, known)| id == engine && known == line)
    }

    pub fn restart_gateway(&mut self, name: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(format!("{}/{name}.log", self.folder))
            .unwrap();
        let child = Command::new(&self.gateway)
            .env("AGATEMILL_CONFIG", format!("{}/{name}.toml", self.folder))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.record.line(&format!("gateway {name} starts"));
        self.children.insert(name.to_owned(), child);
    }

    /// Starts an engine; `options` are pairs of `KEY=VALUE`.
    pub fn start_engine(&mut self, id: &str, options: &str) -> SocketAddr {
        let address = self.address();
        self.start_engine_at(id, address, options);
        address
    }

    pub fn start_engine_at(&mut self, id: &str, address: SocketAddr, options: &str) {
        let program = std::env::current_exe().unwrap();
        let mut child = Command::new(program)
            .arg("engine")
            .args([
                format!("id={id}"),
                format!("address={address}"),
                format!("store={}", self.store.address),
            ])
            .args(options.split_whitespace())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = child.stdout.take().unwrap();
        let (record, id, lines) = (self.record.clone(), id.to_owned(), Arc::clone(&self.lines));
        record.line(&format!("engine {id} starts at {address}"));
        self.children.insert(id.clone(), child);
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("engine {id} {line}"));
                lines.lock().unwrap().push((id.clone(), line));
            }
        });
    }

    /// Sends a signal to a process that this fleet has started and that has not been waited for.
    pub fn signal(&mut self, name: &str, signal: &str) {
        let Some(child) = self.children.get_mut(name) else {
            return;
        };
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        self.record.line(&format!("{name} gets SIG{signal}"));
        // The shell has the command; the program is not on every machine.
        let command = format!("kill -{signal} {}", child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            self.record.line(&format!("{name} gets SIGKILL"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a gateway is ready.
    pub fn wait_until_ready(&self, gateway: Gateway) -> bool {
        wait_for(Duration::from_secs(15), || {
            let answer = http::call(gateway.ready, "GET", "/agatemill/readyz", "");
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// Waits until each of the engines lists layers.
    pub fn wait_until_placed(&self, engines: &[&str]) -> bool {
        wait_for(Duration::from_secs(20), || {
            let mut entries = engines
                .iter()
                .map(|id| self.store.value(&format!("servers/{id}")));
            entries.all(|entry| entry.is_some_and(|entry| entry.contains("\"from\":")))
        })
    }
}

pub fn wait_for(limit: Duration, is_met: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
