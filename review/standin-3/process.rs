//! Processes that a case starts: gateways and servers.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;

use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// A gateway. It is killed when the case ends.
pub struct Gateway {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Gateway {
    pub fn start(name: &str, store: &Store, folder: &Path) -> io::Result<Self> {
        let (callers, ready) = (free_address()?, free_address()?);
        let (directory, metrics, exchange) = (free_address()?, free_address()?, free_address()?);
        let settings = format!(
            "host = \"{name}\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             directory = \"{directory}\"\nmetrics = \"{metrics}\"\nexchange = \"{exchange}\"\n\
             store = \"{}\"\nfirst_start = true\nlink = \"1000.0Mbit/s\"\nprocessors = 0.25\n\
             memory = \"260MB\"\ndescriptors = 4100\n\n[bounds]\nretry_ratio = 0.2\nretry_base = 200\n\
             retry_window = \"10s\"\nconfiguration = \"2000ms\"\nrevocation = \"5000ms\"\ngrace = \"8s\"\n",
            store.address
        );
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/agatemill-gateway");
        command.env("AGATEMILL_CONFIG", file).stdin(Stdio::null());
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        Ok(Self {
            callers,
            ready,
            child,
        })
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A server in a process of its own, and its entry in the store.
pub struct Server {
    pub id: String,
    /// Stands before the server if the case has proxies.
    pub proxy: Option<Proxy>,
    entry: Arc<Mutex<Entry>>,
    socket: Option<TcpListener>,
    child: Child,
    arguments: Vec<String>,
    says: Sender<(String, String)>,
    record: Record,
    store: Store,
}

struct Entry {
    service: String,
    address: SocketAddr,
    state: &'static str,
    born: u64,
    kind: String,
    layers: Option<(u64, u64)>,
}

impl Entry {
    fn text(&self) -> String {
        let layers = self.layers.map_or(String::new(), |(from, target)| {
            format!(r#","layers":{{"from":{from},"target":{target},"version":1}}"#)
        });
        let kind = match self.kind.as_str() {
            "-" => String::new(),
            kind => format!(r#","kind":"{kind}""#),
        };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":192,"state":"{}","cold-left-ms":0,"seq":0,"born":{}{kind}{layers}}}"#,
            self.service, self.address, self.state, self.born
        )
    }
}

/// All servers of a case, and what they say.
pub struct Servers {
    pub list: Vec<Server>,
    /// Whether a proxy stands before each server.
    pub has_proxies: bool,
    pub heard: Receiver<(String, String)>,
    says: Sender<(String, String)>,
    store: Store,
    record: Record,
}

impl Servers {
    pub fn new(store: &Store, record: &Record) -> Self {
        let (says, heard) = mpsc::channel();
        Self {
            list: Vec::new(),
            has_proxies: false,
            heard,
            says,
            store: store.clone(),
            record: record.clone(),
        }
    }

    /// Starts servers of a service and registers them.
    pub fn start(
        &mut self,
        service: &str,
        kind: &str,
        answer: &str,
        count: usize,
    ) -> io::Result<()> {
        for number in 1..=count {
            let id = format!("i-{service}-{number}");
            let socket = TcpListener::bind("127.0.0.1:0")?;
            let address = socket.local_addr()?;
            let proxy = self.has_proxies.then(|| Proxy::start(address));
            let proxy = proxy.transpose()?;
            let entry = Entry {
                service: service.to_owned(),
                address: proxy.as_ref().map_or(address, |proxy| proxy.address),
                state: "ready",
                born: 1_780_000_000_000,
                kind: kind.to_owned(),
                layers: None,
            };
            let arguments = [id.as_str(), "1780000000000", kind, answer, "0"];
            let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
            let child = spawn(&arguments, &socket)?;
            let mut server = Server {
                id,
                proxy,
                entry: Arc::new(Mutex::new(entry)),
                socket: Some(socket),
                child,
                arguments,
                says: self.says.clone(),
                record: self.record.clone(),
                store: self.store.clone(),
            };
            server.listen();
            server.register();
            self.list.push(server);
        }
        Ok(())
    }

    pub fn find(&mut self, id: &str) -> &mut Server {
        let found = self.list.iter_mut().find(|server| server.id == id);
        found.expect("a server that speaks was started")
    }
}

fn program() -> io::Result<PathBuf> {
    std::env::current_exe()
}

fn spawn(arguments: &[String], socket: &TcpListener) -> io::Result<Child> {
    let socket = OwnedFd::from(socket.try_clone()?);
    let mut command = Command::new(program()?);
    command.arg("engine").args(arguments).stdin(socket);
    command.stdout(Stdio::piped()).spawn()
}

impl Server {
    /// Passes on what the process says.
    fn listen(&mut self) {
        let Some(output) = self.child.stdout.take() else {
            return;
        };
        let (id, says) = (self.id.clone(), self.says.clone());
        let (entry, store, record) = (
            Arc::clone(&self.entry),
            self.store.clone(),
            self.record.clone(),
        );
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("{id}: {line}"));
                let words: Vec<&str> = line.split(' ').collect();
                if let ["layers", from, target] = words.as_slice() {
                    let mut entry = entry.lock().unwrap();
                    entry.layers = from.parse().ok().zip(target.parse().ok());
                    store.put(&format!("servers/{id}"), &entry.text());
                }
                // The case may have ended.
                let _ = says.send((id.clone(), line));
            }
        });
    }

    fn register(&self) {
        let text = self.entry.lock().unwrap().text();
        self.store.put(&format!("servers/{}", self.id), &text);
    }

    /// Another writer writes an entry with the address of this server. It lacks the fields `kind` and `layers`.
    pub fn write_foreign(&self) {
        let entry = self.entry.lock().unwrap();
        let text = Entry {
            state: "ready",
            service: entry.service.clone(),
            address: entry.address,
            born: entry.born + 60_000,
            kind: "-".to_owned(),
            layers: None,
        };
        let key = format!("servers/foreign-{}", self.id);
        self.record
            .line(&format!("another writer: {key} {}", text.text()));
        self.store.put(&key, &text.text());
    }

    /// Kills the process. Its port refuses connections from then on.
    pub fn crash(&mut self) {
        self.socket = None;
        if let Some(proxy) = &self.proxy {
            proxy.close();
        }
        self.kill();
    }

    /// Lets the open connections go silent for good; new ones work.
    pub fn mute(&self) {
        if let Some(proxy) = &self.proxy {
            self.record
                .line(&format!("{}: its open connections go silent", self.id));
            proxy.mute();
        }
    }

    fn kill(&mut self) {
        self.record.line(&format!("{}: killed", self.id));
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts another one on the same socket, as a supervisor that holds the socket does. It accepts
    /// connections after `cold_ms` milliseconds, and is registered then.
    pub fn crash_and_restart(&mut self, cold_ms: u64) -> io::Result<()> {
        let Some(socket) = &self.socket else {
            return Ok(());
        };
        let socket = socket.try_clone()?;
        self.kill();
        let born = self.entry.lock().unwrap().born + 60_000;
        self.arguments[1] = born.to_string();
        self.arguments[4] = cold_ms.to_string();
        self.child = spawn(&self.arguments, &socket)?;
        self.record.line(&format!("{}: started again", self.id));
        self.listen();
        let mut entry = self.entry.lock().unwrap();
        entry.born = born;
        entry.layers = None;
        drop(entry);
        Ok(())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
