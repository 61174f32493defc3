//! State that the parts of an entry share.

use core::net::IpAddr;
use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use crate::admission::Admission;
use crate::configuration::Configuration;
use crate::configuration::Rejection;
use crate::configuration::Store;
use crate::freshness::Freshness;
use crate::generators::Generators;
use crate::progress::Progress;
use crate::services::Services;
use crate::settings::Settings;
use agatemill_config::Envelope;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_ledger::Ledger;
use agatemill_metrics::Registry;
use agatemill_routing::Table;
use agatemill_wire::Directory;

/// How long opening a connection to a backend server may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long one call of the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// State that the parts of an entry share.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: Settings,
    /// Address that callers are told to use.
    pub address: SocketAddr,
    /// The configuration in force.
    pub configuration_store: Store,
    /// Whether it may still be served.
    pub freshness: Freshness,
    /// Rates and queues.
    pub admission: Admission,
    /// Work in progress.
    pub progress: Arc<Progress>,
    /// Metrics of the process.
    pub metrics: Registry,
    /// Engines.
    pub table: Arc<Table>,
    /// Drivers of generations.
    pub generators: Generators,
    /// Backend servers of services.
    pub services: Services,
    /// Records of non-idempotent calls; `None` without a platform.
    pub ledger: Option<Ledger>,
    /// Entry hosts, by the last answer of the control.
    directory: RwLock<Directory>,
}

impl State {
    /// State of an entry that has no configuration yet.
    #[must_use]
    pub fn new(settings: Settings, address: SocketAddr, metrics: Registry) -> Self {
        let table = Table::new(
            settings.host.clone(),
            settings.zone.clone(),
            settings.routing.policy(),
        );
        let table = Arc::new(table);
        let client = agatemill_engine::Client::new(agatemill_http::Client::new(CONNECT_TIMEOUT));
        Self {
            generators: Generators::new(Arc::clone(&table), client, metrics.clone()),
            address,
            configuration_store: Store::default(),
            freshness: Freshness::new(settings.control.is_some()),
            admission: Admission::new(&settings.limits),
            progress: Arc::default(),
            metrics,
            table,
            services: Services::new(&settings),
            ledger: ledger(&settings),
            directory: RwLock::default(),
            settings,
        }
    }

    /// Takes over a configuration; logs what became of it.
    ///
    /// # Errors
    ///
    /// [`Rejection`] when it is older than the one in force or does not parse.
    pub fn accept(&self, envelope: &Envelope) -> Result<(), Rejection> {
        let generation = envelope.generation;
        match self.configuration_store.accept(envelope) {
            Ok(Some(configuration)) => {
                self.table.apply(&configuration.document);
                self.generators.apply(&configuration.document);
                self.services.apply(&configuration.document);
                self.mark_leaving();
                self.metrics.count_event("configuration", "in_force");
                log::info!(generation:%, digest:% = envelope.digest; "config: in force");
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(refused) => {
                self.metrics.count_event("configuration", "refused");
                log::error!(generation:%, error:% = refused; "config: refused");
                Err(refused)
            }
        }
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// [`Reason::NotReady`] when there is none yet.
    pub fn configuration(&self) -> Result<Arc<Configuration>, Refusal> {
        self.configuration_store.current().ok_or_else(|| {
            let detail = "the entry has no configuration yet";
            Refusal::not_run(Reason::NotReady, detail).retry_after(Duration::from_secs(1))
        })
    }

    /// Checks that new work may be taken under this configuration.
    ///
    /// # Errors
    ///
    /// [`Reason::Draining`] or [`Reason::StaleConfiguration`].
    pub fn check_accepting(&self, configuration: &Configuration) -> Result<(), Refusal> {
        if self.progress.is_stopped() {
            let detail = "the entry is stopping; use another address";
            return Err(Refusal::not_run(Reason::Draining, detail));
        }
        let limit = configuration.document.settings.freshness_limit;
        if !self
            .freshness
            .is_fresh(agatemill_runtime::now(), limit.to_duration())
        {
            let detail = "the entry cannot tell whether its configuration is the newest";
            return Err(Refusal::not_run(Reason::StaleConfiguration, detail)
                .retry_after(Duration::from_secs(1)));
        }
        Ok(())
    }

    /// Entry hosts, by the last answer of the control.
    #[must_use]
    pub fn directory(&self) -> Directory {
        let directory = self
            .directory
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        directory.clone()
    }

    /// Takes over the entry hosts and the hosts that are leaving.
    pub fn set_directory(&self, directory: Directory) {
        let mut current = self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = directory;
        drop(current);
        self.mark_leaving();
    }

    fn mark_leaving(&self) {
        let leaving: Vec<IpAddr> = self.directory().leaving;
        self.table.set_leaving(&leaving);
        self.services.set_leaving(&leaving);
    }
}

fn ledger(settings: &Settings) -> Option<Ledger> {
    if settings.platform.is_empty() {
        return None;
    }
    let client = agatemill_platform::Client::new(&settings.platform, PLATFORM_TIMEOUT);
    Some(Ledger::new(
        client,
        settings.environment.clone(),
        settings.host.clone(),
    ))
}
