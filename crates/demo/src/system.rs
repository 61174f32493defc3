//! System of the demo: fakes, a control and an entry in this process.

use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::time::Duration;

use crate::document;
use crate::document::STAGE_LAYERS;
use crate::document::STAGES;
use agatemill_config::Envelope;
use agatemill_control::Control;
use agatemill_core::layer;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;
use agatemill_core::quantity::Rate;
use agatemill_entry::Handle;
use agatemill_fake::engine;
use agatemill_fake::platform::Platform;
use agatemill_fake::service;

/// Any free port on loopback.
const LOOPBACK: SocketAddr = SocketAddr::new(core::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Number of engines of each stage.
const REPLICAS_PER_STAGE: u32 = 2;

/// Key of the configuration of the demo environment.
const CONFIGURATION_KEY: &str = "/agatemill/demo/configuration";

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

type Outcome<T> = Result<T, Box<dyn core::error::Error>>;

/// The running system.
pub struct System {
    platform: Platform,
    engines: Vec<engine::Engine>,
    payments: service::Service,
    control: Control,
    entry: Handle,
}

impl System {
    /// Starts all components on ports that the operating system chooses.
    pub async fn start() -> Outcome<Self> {
        agatemill_runtime::start(4);
        let platform = Platform::listen(LOOPBACK).await?;
        let payments = service::Service::listen(&service::Settings { listen: LOOPBACK }).await?;
        let (engines, entries) = start_engines().await?;
        let text = document::write(&entries, payments.address())?;
        apply(&platform, text).await?;
        let control = start_control(platform.address()).await?;
        let entry = start_entry(platform.address(), control.address()).await?;
        Ok(Self {
            platform,
            engines,
            payments,
            control,
            entry,
        })
    }

    /// Address for callers.
    pub fn entry(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Number of payments that the service has executed.
    pub fn payment_count(&self) -> usize {
        self.payments.executions().len()
    }

    /// Shuts everything down, the entry first.
    pub async fn close(self) {
        self.entry.close().await;
        self.control.close().await;
        for engine in self.engines {
            engine.close();
        }
        self.payments.close();
        self.platform.close();
    }
}

async fn start_engines() -> Outcome<(Vec<engine::Engine>, Vec<document::Engine>)> {
    let mut engines = Vec::new();
    let mut entries = Vec::new();
    for stage in 0..STAGES {
        for replica in 0..REPLICAS_PER_STAGE {
            let name = format!("engine-{stage}-{replica}");
            let layers = layer::Range::new(stage * STAGE_LAYERS, (stage + 1) * STAGE_LAYERS)?;
            let settings = engine::Settings {
                throughput: Rate::new(500.0)?,
                instant: false,
                ..engine::Settings::instant(
                    name.parse()?,
                    document::MODEL.parse()?,
                    "1".parse()?,
                    layers,
                )
            };
            let engine = engine::Engine::listen(settings).await?;
            entries.push(document::Engine {
                name,
                address: engine.address(),
                stage,
            });
            engines.push(engine);
        }
    }
    Ok((engines, entries))
}

async fn apply(platform: &Platform, text: String) -> Outcome<()> {
    let envelope = Envelope::new(Generation(1), "demo".into(), "demo".into(), text);
    let value = serde_json::to_vec(&envelope)?;
    platform
        .client(PLATFORM_TIMEOUT)
        .swap(CONFIGURATION_KEY, &value, Revision(0), None)
        .await?;
    Ok(())
}

async fn start_control(platform: SocketAddr) -> Outcome<Control> {
    let text = format!(
        "host = \"demo\"\nzone = \"a\"\nenvironment = \"demo\"\nlisten = \"{LOOPBACK}\"\n\
         gossip = \"{LOOPBACK}\"\nplatform = [\"{platform}\"]\n"
    );
    let settings = agatemill_control::Settings::parse(&text)?;
    Ok(agatemill_control::run(settings).await?)
}

async fn start_entry(platform: SocketAddr, control: SocketAddr) -> Outcome<Handle> {
    let text = format!(
        "host = \"demo\"\nzone = \"a\"\nenvironment = \"demo\"\nlisten = \"{LOOPBACK}\"\n\
         control = \"{control}\"\nplatform = [\"{platform}\"]\n"
    );
    Ok(agatemill_entry::run(toml::from_str(&text)?).await?)
}
