//! The processes of a test: gateways, servers, their settings and the record.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::engine::Engine;
use crate::engine::Options;
use crate::http::Connection;
use crate::http::Message;
use crate::store::Store;

/// Ids of the processes that were started and not reaped.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// What was sent, answered and run, a line each. Several processes append to the same file.
#[derive(Clone)]
pub struct Record {
    pub path: PathBuf,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: PathBuf, is_new: bool) -> Self {
        if is_new {
            let _ = fs::remove_file(&path);
        }
        let file = File::options()
            .create(true)
            .append(true)
            .open(&path)
            .expect("the record can be written");
        Self {
            path,
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let line = format!("{:02}.{:03} {text}\n", now / 1_000 % 1_000, now % 1_000);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A free address, each given once. The ports are below those that the system gives to outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: Mutex<u32> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    loop {
        *next += 1;
        let port = 12_000 + (std::process::id() * 61 + *next) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Sends a signal to a process that this test started.
pub fn signal(pid: u32, name: &str) {
    let text = format!("kill -{name} {pid}");
    let _ = Command::new("bash").args(["-c", &text]).stderr(Stdio::null()).status();
}

/// Ends all processes and the test itself.
pub fn finish(code: i32) -> ! {
    let children = CHILDREN.lock().unwrap().clone();
    for pid in children {
        signal(pid, "KILL");
    }
    std::process::exit(code);
}

pub fn spawn(command: &mut Command) -> Child {
    let child = command
        .stdin(Stdio::null())
        .spawn()
        .expect("the program starts");
    CHILDREN.lock().unwrap().push(child.id());
    child
}

pub fn reaped(pid: u32) {
    CHILDREN.lock().unwrap().retain(|known| *known != pid);
}

/// A gateway, which is started again after it exits, as the platform does.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    is_first: bool,
    /// How often the process ended without a signal of the test.
    pub own_ends: usize,
    /// Whether the test sent a signal that ends the process.
    pub is_stopping: bool,
}

impl Gateway {
    pub fn start(folder: &std::path::Path, name: &str, store: SocketAddr) -> Self {
        let (callers, ready) = (free_address(), free_address());
        let text = format!(
            "host = \"{name}\"\nzone = \"a\"\ncallers = \"{callers}\"\nready = \"{ready}\"\ndirectory = \"{}\"\n\
             metrics = \"{}\"\nexchange = \"{}\"\nstore = \"{store}\"\nfirst_start = true\n\n[bounds]\n\
             retry_ratio = 0.2\nretry_base = 200\nretry_window = \"10s\"\nconfiguration = \"2000ms\"\n\
             revocation = \"5000ms\"\ngrace = \"8s\"\n",
            free_address(),
            free_address(),
            free_address()
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        let mut gateway = Self {
            name: name.to_owned(),
            callers,
            ready,
            settings,
            log,
            child: None,
            is_first: true,
            own_ends: 0,
            is_stopping: false,
        };
        gateway.run();
        gateway
    }

    pub fn run(&mut self) {
        if !self.is_first {
            let text = fs::read_to_string(&self.settings).unwrap();
            fs::write(
                &self.settings,
                text.replace("first_start = true", "first_start = false"),
            )
            .unwrap();
        }
        self.is_first = false;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let mut command = Command::new("target/release/agatemill-gateway");
        command.env_clear().env("AGATEMILL_CONFIG", &self.settings);
        command.stdout(log.try_clone().unwrap()).stderr(log);
        self.child = Some(spawn(&mut command));
        self.is_stopping = false;
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process has ended; counts the ends that no signal of the test caused.
    pub fn has_ended(&mut self, record: &Record) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return false;
        };
        reaped(child.id());
        self.child = None;
        if self.is_stopping {
            record.line(&format!("{} has ended: {status}", self.name));
        } else {
            self.own_ends += 1;
            record.line(&format!("{} has ended by itself: {status}", self.name));
        }
        true
    }

    /// Lines of its output that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.ready) else {
            return false;
        };
        let request = b"GET /agatemill/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        connection.send(request).is_ok()
            && connection
                .response(&mut |_| {})
                .is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
    }
}

/// A folder, a store, and the record of one test.
pub struct World {
    pub folder: PathBuf,
    pub store: Store,
    pub store_address: SocketAddr,
    pub record: Record,
    pub has_trouble: bool,
}

impl World {
    /// After `max` the test ends, and all its processes, if it hangs.
    pub fn new(record: PathBuf, max: Duration) -> Self {
        let folder = std::env::temp_dir().join(format!("agatemill-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let (store, store_address) = Store::start();
        thread::spawn(move || {
            thread::sleep(max);
            println!("the test took too long");
            finish(2);
        });
        Self {
            folder,
            store,
            store_address,
            record: Record::open(record, true),
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        }
    }

    pub fn server(&self, id: &str, service: &str, kind: &str, max_connections: usize) -> Options {
        Options {
            id: id.to_owned(),
            service: service.to_owned(),
            kind: kind.to_owned(),
            address: free_address(),
            store: self.store_address,
            record: self.record.clone(),
            max_connections,
            idle: None,
            poison: None,
        }
    }

    /// Starts plain applications and engines within this process.
    pub fn start_servers(&self, plain: usize, engines: usize) {
        for index in 0..plain {
            Engine::start(self.server(&format!("app-{index}"), "filing", "", 110));
        }
        for index in 0..engines {
            Engine::start(self.server(&format!("engine-{index}"), "model", "card", 978));
        }
    }

    pub fn gateways(&self, count: usize) -> Vec<Gateway> {
        (1..=count)
            .map(|index| Gateway::start(&self.folder, &format!("edge-{index}"), self.store_address))
            .collect()
    }

    /// Waits until all gateways are ready and the engines hold layers; ends the test if that fails.
    pub fn wait_until_ready(&self, gateways: &[Gateway]) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if gateways.iter().all(Gateway::is_ready) {
                thread::sleep(Duration::from_secs(4));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        println!("the gateways are not ready");
        finish(2);
    }

    /// Prints the verdict and ends the test.
    pub fn conclude(&self, is_broken: bool, text: &str) -> ! {
        let verdict = if is_broken { "BROKEN" } else { "held" };
        self.record.line(&format!("{verdict}: {text}"));
        println!("{verdict}: {text}");
        let log = std::env::var("KEEP_LOGS").is_ok();
        if log {
            println!("logs in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
        finish(i32::from(is_broken));
    }
}

/// The operator's configuration, of the shape that the platform writes.
pub fn configuration(version: u64, model_connections: usize) -> String {
    let route = |name: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"office.example","path-prefix":"/{name}/","timeout-ms":20000,"target-latency-ms":500,"priority":1,"public":false,{rest}}}"#
        )
    };
    let routes = [
        route("draft", r#""kind":"streaming","service":"model","max-attempts":2,"sticky-sessions":true,"resumable":true,"gap-aim-ms":250"#),
        route("once", r#""kind":"streaming","service":"model","max-attempts":2,"sticky-sessions":true,"resumable":false,"gap-aim-ms":250"#),
        route("submit", r#""kind":"non_idempotent","service":"filing","max-attempts":2"#),
        route("status", r#""kind":"idempotent","service":"filing","max-attempts":2"#),
    ]
    .join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"filing","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}},{{"name":"model","health-path":"/healthz","max-conns":{model_connections},"protocol":"h1","tls":false,"engine":{{"slots":64,"kv-tokens":100000,"kv-bytes":80000,"models":[{{"name":"m","pace":1.0,"load-s":0.2,"warm-s":0.1}}],"step_ms":1.0,"per_seq_ms":0.0,"context_per_k":0.0,"read_per_s":100000.0,"report_lag_ms":200.0,"delays":[],"layers":8,"layer-mb":1000.0,"act-bytes":1000,"pipe-mbps":16000.0,"usual":{{"prompt":100,"answer":50}},"kinds":[{{"name":"card","mb":20000.0,"pace":1.0,"read-x":1.0}}]}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"office","api-keys":["key-1"],"priority":1}}]}}"#
    )
}

/// How a request of a client ended.
#[derive(Debug)]
pub enum Ending {
    Answer(Message),
    /// The connection ended without a byte of an answer.
    NoAnswer,
    /// No connection, or the request could not be sent.
    NotSent,
}

/// A client with one connection that it keeps.
pub struct Client {
    pub name: String,
    address: SocketAddr,
    connection: Option<Connection>,
    sent: usize,
    /// Requests that the current connection has carried.
    pub carried: usize,
    record: Record,
}

impl Client {
    pub fn new(name: &str, address: SocketAddr, record: &Record) -> Self {
        Self {
            name: name.to_owned(),
            address,
            connection: None,
            sent: 0,
            carried: 0,
            record: record.clone(),
        }
    }

    /// Sends a request and waits for its end. Returns its id and how it ended.
    pub fn request(
        &mut self,
        target: &str,
        headers: &str,
        deadline_ms: u64,
        body: &[u8],
        on_data: &mut dyn FnMut(&[u8]),
    ) -> (String, Ending) {
        self.sent += 1;
        let attempt = format!("{}-{}", self.name, self.sent);
        if self.connection.is_none() {
            self.carried = 0;
            match Connection::open(self.address) {
                Ok(connection) => self.connection = Some(connection),
                Err(_) => return (attempt, Ending::NotSent),
            }
        }
        let connection = self.connection.as_mut().unwrap();
        let limit = Duration::from_millis(deadline_ms + 500);
        let _ = connection.stream.set_read_timeout(Some(limit));
        let head = format!(
            "POST {target} HTTP/1.1\r\nHost: office.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             Authorization: Bearer key-1\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.record.line(&format!(
            "send {attempt} POST {target} carried={}",
            self.carried
        ));
        if connection.send(&bytes).is_err() {
            self.connection = None;
            return (attempt, Ending::NotSent);
        }
        self.carried += 1;
        let answer = connection.response(on_data);
        let ending = match answer {
            Ok(Some(answer)) => Ending::Answer(answer),
            Ok(None) | Err(_) => Ending::NoAnswer,
        };
        match &ending {
            Ending::Answer(answer) => {
                self.record.line(&format!(
                    "answer {attempt} status={} complete={} bytes={}",
                    answer.status(),
                    answer.is_complete,
                    answer.body.len()
                ));
                let is_closed = answer
                    .header("connection")
                    .is_some_and(|value| value.contains("close"));
                if !answer.is_complete || is_closed {
                    self.connection = None;
                }
            }
            Ending::NoAnswer | Ending::NotSent => {
                self.record
                    .line(&format!("no answer {attempt}: the connection was closed"));
                self.connection = None;
            }
        }
        (attempt, ending)
    }
}

/// Headers of a request for a model.
pub const PROMPT: &str =
    "X-Model: m\r\nX-Token-Usage: 100,50\r\nX-Prompt-Prefix: 5c1e07a2:80,91bd3f06:20\r\n";
