//! Systems that experiments measure.

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

/// Availability zones with the latency of the link to the entries one way and its bytes in each second: the
/// latencies differ a hundredfold.
pub const ZONES: [Zone; 3] = [
    Zone::new("a", 200, 10_000),
    Zone::new("b", 2_000, 1_000),
    Zone::new("c", 20_000, 100),
];

/// An availability zone as the entries reach it.
#[derive(Clone, Copy, Debug)]
pub struct Zone {
    /// Its name.
    pub name: &'static str,
    /// Latency one way.
    pub latency: Duration,
    /// MiB that pass in a second.
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
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Index of its zone.
    pub zone: usize,
    /// Kind of its accelerators.
    pub accelerator: &'static str,
    /// Layers that it holds.
    pub layers: layer::Range,
    /// Token positions that it runs in each second.
    pub throughput: f64,
}

/// A system that experiments measure.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Layers of the model.
    pub layers: u32,
    /// Bytes of the activation of one position.
    pub activation_bytes: u64,
    /// The engines.
    pub engines: Vec<Engine>,
    /// Organisations, the first of which is large.
    pub organisations: u32,
    /// Requests of an organisation in each second at most.
    pub rate: u32,
    /// Requests of an organisation in progress at most.
    pub concurrency: u32,
    /// Address of a service with the non-idempotent call `/pay`.
    pub service: Option<SocketAddr>,
    /// How long a request may take in all.
    pub deadline: Duration,
}

/// Accelerators with the share of the fastest one's speed.
const ACCELERATORS: [(&str, f64); 3] = [("large", 1.0), ("medium", 0.5), ("small", 0.125)];

impl Scenario {
    /// Three stages of 8 layers on three kinds of accelerators in three zones; `speed` is the rate of the
    /// fastest engine. The stages have 9, 8 and 7 engines.
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
                // Each kind of accelerator is in each zone.
                let zone = (index / 3 + index + stage as usize) % 3;
                // Only distinct until stand-ins have their addresses: nothing connects to these ports.
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

    /// Bound on the positions in each second: the maximum flow through the layers.
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

    /// The document, in TOML.
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
            // The document states whole milliseconds.
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
