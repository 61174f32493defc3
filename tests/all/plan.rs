//! Backend servers of a scenario and the document that describes them.

use std::fmt::Write;
use std::net::SocketAddr;

use crate::network::Network;
use agatemill_core::Digest;

/// Halves of every document.
pub const HALVES: [&str; 2] = ["kadunaledger", "toponymie"];
/// Zones of every document.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Model of both halves.
pub const MODEL: &str = "draft";
/// Number of layers in each stage.
pub const STAGE_LAYERS: u32 = 4;

/// A model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name: `e` (first half) or `t` (second half), the index of the stage and a letter for the replica.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Range of layers that it serves, as written in the document.
    pub layers: String,
    /// Index of its half.
    pub half: usize,
    /// Zone.
    pub zone: &'static str,
    /// Whether it rejects orders with outdated fencing numbers.
    pub fencing: bool,
}

/// A server of the service `payments` of the first half.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name: `p` and an index.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// The engines and servers of a scenario, with the parameters of its document.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Engines.
    pub engines: Vec<Engine>,
    /// Servers of the service.
    pub servers: Vec<Server>,
    /// Number of stages in each chain.
    pub stages: u32,
    /// Lines of `[settings]` in the document.
    pub settings: String,
    /// Limits of each organisation: `rate`, `concurrency`.
    pub limits: (String, u32),
    /// Token positions that each engine processes per second.
    pub throughput: u32,
}

impl Plan {
    /// Plans the engines of the first `halves` halves and the servers of the service, which belongs to the first half.
    pub fn new(network: Network, halves: usize, stages: u32, replicas: u8, servers: u8) -> Self {
        let mut engines = Vec::new();
        let mut index = 0;
        for half in 0..halves {
            for stage in 0..stages {
                for replica in 0..replicas {
                    engines.push(Engine {
                        name: format!("{}{stage}{}", ["e", "t"][half], char::from(b'a' + replica)),
                        address: network.backend(index),
                        layers: format!("{}..{}", stage * STAGE_LAYERS, (stage + 1) * STAGE_LAYERS),
                        half,
                        zone: ZONES[usize::from(replica) % ZONES.len()],
                        fencing: replica % 2 == 0,
                    });
                    index += 1;
                }
            }
        }
        let server = |number| Server {
            name: format!("p{number}"),
            address: network.backend(100 + number),
        };
        Self {
            engines,
            servers: (0..servers).map(server).collect(),
            stages,
            settings: String::new(),
            limits: ("1000/s".to_owned(), 500),
            throughput: 2_000,
        }
    }

    /// Number of layers of the model.
    pub fn layers(&self) -> u32 {
        self.stages * STAGE_LAYERS
    }

    /// Bearer token of the organisation of a half.
    pub fn token(half: usize) -> String {
        format!("token-of-{}", HALVES[half])
    }

    /// Renders the document in TOML, omitting the engines and servers named in `without`.
    pub fn document(&self, without: &[String]) -> String {
        let mut text = format!(
            "halves = [\"{}\", \"{}\"]\n\n[settings]\n{}\n",
            HALVES[0], HALVES[1], self.settings
        );
        for zone in ZONES {
            writeln!(text, "[[zone]]\nname = \"{zone}\"\nregion = \"r\"\n")
                .expect("writing to a String cannot fail");
        }
        let layers = self.layers();
        writeln!(
            text,
            "[[model]]\nname = \"{MODEL}\"\nversion = \"1\"\nlayers = {layers}\nactivation = \"8KiB\"\n"
        )
        .expect("writing to a String cannot fail");
        for engine in self
            .engines
            .iter()
            .filter(|engine| !without.contains(&engine.name))
        {
            self.write_engine(&mut text, engine);
        }
        self.write_service(&mut text, without);
        self.write_organisations(&mut text);
        text
    }

    fn write_engine(&self, text: &mut String, engine: &Engine) {
        let Engine {
            name,
            address,
            layers,
            half,
            zone,
            fencing,
        } = engine;
        let throughput = self.throughput;
        writeln!(
            text,
            "[[engine]]\nname = \"{name}\"\naddress = \"{address}\"\nhalf = \"{}\"\nzone = \"{zone}\"\n\
             accelerator = \"x1\"\nmodel = \"{MODEL}\"\nversion = \"1\"\nlayers = \"{layers}\"\n\
             throughput = \"{throughput}/s\"\nbatch = 16\nfencing = {fencing}\n",
            HALVES[*half]
        )
        .expect("writing to a String cannot fail");
    }

    fn write_service(&self, text: &mut String, without: &[String]) {
        if self.servers.is_empty() {
            return;
        }
        writeln!(
            text,
            "[[service]]\nname = \"payments\"\nhalf = \"{}\"\n",
            HALVES[0]
        )
        .expect("writing to a String cannot fail");
        for server in self
            .servers
            .iter()
            .filter(|server| !without.contains(&server.name))
        {
            let Server { name, address } = server;
            writeln!(
                text,
                "[[service.server]]\nname = \"{name}\"\naddress = \"{address}\"\nzone = \"a\"\n"
            )
            .expect("writing to a String cannot fail");
        }
        for (method, path, idempotent) in [("POST", "/pay", false), ("GET", "/*", true)] {
            writeln!(
                text,
                "[[service.call]]\nmethod = \"{method}\"\npath = \"{path}\"\nidempotent = {idempotent}\n"
            )
            .expect("writing to a String cannot fail");
        }
    }

    fn write_organisations(&self, text: &mut String) {
        let halves = 1 + self
            .engines
            .iter()
            .map(|engine| engine.half)
            .max()
            .unwrap_or(0);
        let (rate, concurrency) = &self.limits;
        for (index, half) in HALVES.iter().enumerate().take(halves) {
            let digest = Digest::of(Self::token(index).as_bytes());
            let services = if index == 0 && !self.servers.is_empty() {
                "\"payments\""
            } else {
                ""
            };
            writeln!(
                text,
                "[[organisation]]\nname = \"org-{half}\"\nhalf = \"{half}\"\ntokens = [\"{digest}\"]\n\
                 models = [\"{MODEL}\"]\nservices = [{services}]\nrate = \"{rate}\"\nconcurrency = {concurrency}\n"
            )
            .expect("writing to a String cannot fail");
        }
    }
}
