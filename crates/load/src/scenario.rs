//! Model, engines, zones and organisations of the systems under test.

use core::fmt::Write;
use core::net::SocketAddr;
use core::time::Duration;

use agatemill_core::Digest;
use agatemill_core::layer;
use agatemill_routing::flow;
use agatemill_routing::flow::Arc;

/// Model of all scenarios.
pub const MODEL: &str = "drafter";

/// Half of all scenarios.
pub const HALF: &str = "kadunaledger";

/// Availability zones with the one-way latency and the bandwidth of the link from the entries. The latencies
/// differ by a factor of 100.
pub const ZONES: [Zone; 3] = [
    Zone::new("a", 200, 10_000),
    Zone::new("b", 2_000, 1_000),
    Zone::new("c", 20_000, 100),
];

/// An availability zone and the link from the entries to it.
#[derive(Clone, Copy, Debug)]
pub struct Zone {
    /// Name of the zone.
    pub name: &'static str,
    /// One-way latency.
    pub latency: Duration,
    /// Bandwidth in MiB/s.
    pub mebibytes_per_second: u64,
}

impl Zone {
    const fn new(name: &'static str, micros: u64, mebibytes_per_second: u64) -> Self {
        Self {
            name,
            latency: Duration::from_micros(micros),
            mebibytes_per_second,
        }
    }
}

/// An engine of a scenario.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name of the engine.
    pub name: String,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Index of its zone in [`ZONES`].
    pub zone: usize,
    /// Type of its accelerators.
    pub accelerator: &'static str,
    /// Layers that it serves.
    pub layers: layer::Range,
    /// Throughput in token positions per second.
    pub throughput: f64,
}

/// A system under test.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of layers of the model.
    pub layers: u32,
    /// Size of the activation of one token position, in bytes.
    pub activation_bytes: u64,
    /// Engines of the system.
    pub engines: Vec<Engine>,
    /// Number of organisations; the first sends the most load.
    pub organisations: u32,
    /// Rate limit of each organisation in requests per second.
    pub rate: u32,
    /// Concurrency limit of each organisation.
    pub concurrency: u32,
    /// Address of a service with the non-idempotent call `/pay`.
    pub service: Option<SocketAddr>,
    /// Deadline of a request, relative to its arrival.
    pub deadline: Duration,
}

/// Accelerator types with their speed relative to the fastest.
const ACCELERATORS: [(&str, f64); 3] = [("large", 1.0), ("medium", 0.5), ("small", 0.125)];

impl Scenario {
    /// Creates three stages of 8 layers on three types of accelerators in three zones. The stages have 9, 8
    /// and 7 engines; `speed` is the throughput of the fastest engine in token positions per second.
    ///
    /// # Panics
    ///
    /// Never: the ranges of layers are valid.
    #[must_use]
    pub fn mixed(speed: f64) -> Self {
        let mut engines = Vec::new();
        for stage in 0..3_u32 {
            for index in 0..(9 - stage) as usize {
                let (accelerator, share) = ACCELERATORS[index % 3];
                // Spreads each type of accelerator over all zones.
                let zone = (index / 3 + index + stage as usize) % 3;
                // A distinct placeholder until a fake engine has its address; nothing connects to it.
                let port = 1 + u16::try_from(engines.len()).expect("there are few engines");
                engines.push(Engine {
                    name: format!("g{stage}-{index}"),
                    address: SocketAddr::from(([127, 0, 0, 1], port)),
                    zone,
                    accelerator,
                    layers: layer::Range::new(stage * 8, stage * 8 + 8)
                        .expect("the range is valid"),
                    throughput: speed * share,
                });
            }
        }
        Self {
            layers: 24,
            activation_bytes: 8 << 10,
            engines,
            organisations: 4,
            rate: 1_000_000,
            concurrency: 100_000,
            service: None,
            deadline: Duration::from_secs(20),
        }
    }

    /// Upper bound on the token positions per second: the maximum flow through the layers.
    #[must_use]
    pub fn bound(&self) -> f64 {
        let arcs: Vec<Arc> = self
            .engines
            .iter()
            .map(|engine| Arc {
                layers: engine.layers,
                capacity: engine.throughput,
            })
            .collect();
        flow::maximum(&arcs, self.layers).total
    }

    /// Bearer token of an organisation.
    #[must_use]
    pub fn token(organisation: u32) -> String {
        format!("token-{organisation}")
    }

    /// Renders the configuration document in TOML.
    #[must_use]
    pub fn document(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_toml(&mut text);
        text
    }

    fn write_toml(&self, text: &mut String) -> core::fmt::Result {
        let deadline = self.deadline.as_millis();
        writeln!(
            text,
            "halves = [\"{HALF}\"]\n[settings]\nrequest_deadline = \"{deadline}ms\"\naddress_lifetime = \"200ms\""
        )?;
        for zone in &ZONES {
            writeln!(text, "[[zone]]\nname = \"{}\"\nregion = \"r\"", zone.name)?;
        }
        for zone in &ZONES {
            // Latencies in the document are whole milliseconds.
            let (latency, size) = (zone.latency.as_millis(), zone.mebibytes_per_second);
            writeln!(
                text,
                "[[link]]\nfrom = \"a\"\nto = \"{}\"\nlatency = \"{latency}ms\"\nbandwidth = \"{size}MiB\"",
                zone.name
            )?;
        }
        writeln!(
            text,
            "[[model]]\nname = \"{MODEL}\"\nversion = \"1\"\nlayers = {}\nactivation = \"{}B\"",
            self.layers, self.activation_bytes
        )?;
        for engine in &self.engines {
            writeln!(
                text,
                "[[engine]]\nname = \"{}\"\naddress = \"{}\"\nhalf = \"{HALF}\"\nzone = \"{}\"\n\
                 accelerator = \"{}\"\nmodel = \"{MODEL}\"\nversion = \"1\"\nlayers = \"{}\"\n\
                 throughput = \"{}/s\"\nbatch = 16",
                engine.name,
                engine.address,
                ZONES[engine.zone].name,
                engine.accelerator,
                engine.layers,
                engine.throughput
            )?;
        }
        self.write_organisations(text)
    }

    fn write_organisations(&self, text: &mut String) -> core::fmt::Result {
        let services = if let Some(address) = self.service {
            writeln!(
                text,
                "[[service]]\nname = \"payments\"\nhalf = \"{HALF}\"\n\
                 call = [{{ method = \"POST\", path = \"/pay\", idempotent = false }}]\n\
                 [[service.server]]\nname = \"payments-1\"\naddress = \"{address}\"\nzone = \"a\""
            )?;
            "services = [\"payments\"]\n"
        } else {
            ""
        };
        for index in 0..self.organisations {
            let digest = Digest::of(Self::token(index).as_bytes());
            writeln!(
                text,
                "[[organisation]]\nname = \"o{index}\"\nhalf = \"{HALF}\"\ntokens = [\"{digest}\"]\n\
                 models = [\"{MODEL}\"]\n{services}rate = \"{}/s\"\nconcurrency = {}",
                self.rate, self.concurrency
            )?;
        }
        Ok(())
    }
}
