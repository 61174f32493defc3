//! An in-process test system: a real entry with a fake platform, fake engines and a fake service.

use core::net::SocketAddr;
use core::time::Duration;

use crate::check;
use crate::scenario::MODEL;
use crate::scenario::Scenario;
use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_core::quantity::Rate;
use agatemill_entry::Handle;
use agatemill_fake::engine;
use agatemill_fake::platform::Platform;
use agatemill_fake::service;
use agatemill_routing::policy;

/// Loopback with a port that the operating system assigns.
const LOOPBACK: SocketAddr =
    SocketAddr::new(core::net::IpAddr::V4(core::net::Ipv4Addr::LOCALHOST), 0);

/// Error of starting a system.
pub type Error = Box<dyn core::error::Error + Send + Sync>;

/// Settings of a system.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Policy by which the entry chooses chains.
    pub policy: policy::Name,
    /// Worker threads of the process.
    pub threads: usize,
    /// Whether engines complete steps without any simulated run time.
    pub instant: bool,
    /// Age of the load that engines report.
    pub report_lag: Duration,
}

/// A running system.
#[derive(Debug)]
pub struct System {
    platform: Platform,
    /// Engines in the order of the scenario.
    pub engines: Vec<engine::Engine>,
    service: service::Service,
    entry: Handle,
}

impl System {
    /// Starts the engines of a scenario, a service, the platform and an entry.
    ///
    /// # Errors
    ///
    /// Any error that prevents a component from starting.
    pub async fn start(mut scenario: Scenario, settings: Settings) -> Result<Self, Error> {
        agatemill_runtime::start(settings.threads);
        let platform = Platform::listen(LOOPBACK).await?;
        let service = service::Service::listen(&service::Settings { listen: LOOPBACK }).await?;
        scenario.service = Some(service.address());
        let mut engines = Vec::new();
        for definition in &mut scenario.engines {
            let fake = engine::Settings {
                throughput: Rate::new(definition.throughput)?,
                instant: settings.instant,
                report_lag: u64::try_from(settings.report_lag.as_millis())?,
                ..engine::Settings::instant(
                    definition.name.parse()?,
                    MODEL.parse()?,
                    "1".parse()?,
                    definition.layers,
                )
            };
            let engine = engine::Engine::listen(fake).await?;
            definition.address = engine.address();
            engines.push(engine);
        }
        let text = format!(
            "host = \"e1\"\nzone = \"a\"\nenvironment = \"load\"\nlisten = \"{LOOPBACK}\"\n\
             platform = [\"{}\"]\nrouting = \"{}\"\nthreads = {}\n",
            platform.address(),
            settings.policy,
            settings.threads
        );
        let entry = agatemill_entry::run(toml::from_str(&text)?).await?;
        let document = scenario.document();
        entry.accept(&Envelope::new(
            Generation(1),
            "load".into(),
            "load".into(),
            document,
        ))?;
        Ok(Self {
            platform,
            engines,
            service,
            entry,
        })
    }

    /// Address of the entry.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Number of repeated executions of calls by the service.
    #[must_use]
    pub fn repeated_calls(&self) -> u64 {
        let executions = self.service.executions();
        let keys = executions.iter().filter_map(|call| call.key.as_deref());
        check::count_repeated(keys)
    }

    /// Shuts everything down, the entry first.
    pub async fn close(self) {
        self.entry.close().await;
        for engine in self.engines {
            engine.close();
        }
        self.service.close();
        self.platform.close();
    }
}
