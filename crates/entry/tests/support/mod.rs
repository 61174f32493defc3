//! A running entry with fake backends and a fake platform, for the tests of this crate.

#![allow(dead_code, reason = "each test target uses a part of this module")]

use core::net::SocketAddr;
use core::sync::atomic::AtomicU16;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use smol::block_on;

use agatemill_config::Envelope;
use agatemill_core::Digest;
use agatemill_core::number::Generation;
use agatemill_entry::Handle;
use agatemill_entry::Settings;
use agatemill_entry::settings::Limits;
use agatemill_fake::engine;
use agatemill_fake::engine::Engine;
use agatemill_fake::platform::Platform;
use agatemill_fake::service;
use agatemill_fake::service::Service;

pub mod control;

pub const TOKEN: &str = "lagos-token";
pub const CHAT: &str =
    r#"{"model":"drafter","messages":[{"role":"user","content":"Draft a claim"}],"temperature":0"#;

/// Number of services that were started, in the last two bytes of their addresses; 127.1.0.0 is none.
static SERVICES: AtomicU16 = AtomicU16::new(1);

pub struct System {
    pub entry: Handle,
    pub engines: Vec<Engine>,
    pub service: Service,
    pub spare: Service,
    pub platform: Platform,
}

pub fn settings(platform: Vec<SocketAddr>, limits: Limits) -> Settings {
    Settings {
        host: "e1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        environment: "trial".parse().unwrap(),
        listen: loopback(),
        advertise: None,
        control: None,
        platform,
        threads: 4,
        routing: agatemill_routing::policy::Name::Outstanding,
        drain_limit: "3s".parse().unwrap(),
        limits,
    }
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn engine_table(name: &str, layers: &str, address: SocketAddr) -> String {
    format!(
        r#"[[engine]]
name = "{name}"
address = "{address}"
half = "kadunaledger"
zone = "a"
accelerator = "x"
model = "drafter"
version = "1"
layers = "{layers}"
throughput = "1000/s"
batch = 16
"#
    )
}

fn engine(name: &str, layers: &str) -> Engine {
    let settings = engine::Settings::instant(
        name.parse().unwrap(),
        "drafter".parse().unwrap(),
        "1".parse().unwrap(),
        layers.parse().unwrap(),
    );
    block_on(Engine::listen(settings)).unwrap()
}

/// Starts a service on a loopback address of its own: after it has closed, no listener of another test gets its port.
fn service() -> Service {
    let number = SERVICES.fetch_add(1, Ordering::Relaxed);
    let [high, low] = number.to_be_bytes();
    let listen = SocketAddr::from(([127, 1, high, low], 0));
    let settings = service::Settings { listen };
    block_on(Service::listen(&settings)).unwrap()
}

impl System {
    pub fn start() -> Self {
        Self::with(Limits::default(), "")
    }

    /// Starts a system; `extra` is added to the table `[settings]` of the document.
    pub fn with(limits: Limits, extra: &str) -> Self {
        let engines = vec![engine("g1", "0..4"), engine("g2", "4..8")];
        let platform = block_on(Platform::listen(loopback())).unwrap();
        let settings = settings(vec![platform.address()], limits);
        let entry = block_on(agatemill_entry::run(settings)).unwrap();
        let (service, spare) = (service(), service());
        let system = Self {
            entry,
            engines,
            service,
            spare,
            platform,
        };
        system.entry.accept(&system.envelope(1, extra)).unwrap();
        system
    }

    pub fn envelope(&self, generation: u64, extra: &str) -> Envelope {
        let text = self.document(extra);
        let generation = Generation(generation);
        Envelope::new(generation, "w".into(), "test".into(), text)
    }

    fn document(&self, extra: &str) -> String {
        let digest = Digest::of(TOKEN.as_bytes());
        let other = Digest::of(b"other-token");
        let mut text = format!(
            r#"halves = ["kadunaledger"]
[settings]
address_lifetime = "200ms"
{extra}
[[zone]]
name = "a"
region = "r"
[[model]]
name = "drafter"
version = "1"
layers = 8
activation = "8KiB"
[[organisation]]
name = "lagos"
half = "kadunaledger"
tokens = ["{digest}"]
models = ["drafter"]
services = ["filing"]
rate = "100000/s"
concurrency = 100
[[organisation]]
name = "kano"
half = "kadunaledger"
tokens = ["{other}"]
rate = "1/s"
concurrency = 1
[[service]]
name = "filing"
half = "kadunaledger"
call = [
  {{ method = "GET", path = "/cases/*", idempotent = true }},
  {{ method = "POST", path = "/payments", idempotent = false }},
]
[[service.server]]
name = "f1"
address = "{}"
zone = "a"
[[service.server]]
name = "f2"
address = "{}"
zone = "a"
"#,
            self.service.address(),
            self.spare.address(),
        );
        for (engine, (name, layers)) in self.engines.iter().zip([("g1", "0..4"), ("g2", "4..8")]) {
            text += &engine_table(name, layers, engine.address());
        }
        text
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry.address())
    }

    /// Sends bytes on a new connection and reads until the entry closes it.
    pub fn raw(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        // The entry may refuse before it has read everything.
        let _ = stream.write_all(bytes);
        read(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.entry.address()).unwrap();
        let limit = Some(Duration::from_secs(10));
        stream.set_read_timeout(limit).unwrap();
        stream
    }

    pub fn executions(&self) -> usize {
        self.service.executions().len() + self.spare.executions().len()
    }

    pub fn metrics(&self) -> String {
        let mut response = agent().get(self.url("/metrics")).call().unwrap();
        response.body_mut().read_to_string().unwrap()
    }
}

pub fn read(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// HTTP client that returns responses with an error status instead of an error.
pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.build().into()
}

pub fn chat(rest: &str) -> String {
    format!("{CHAT}{rest}}}")
}
