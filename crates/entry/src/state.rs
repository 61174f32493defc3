//! Shared state of an entry.

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
use agatemill_limits::Account;
use agatemill_limits::account::Plan;
use agatemill_metrics::Registry;
use agatemill_routing::Table;
use agatemill_wire::Directory;

/// Timeout for opening a connection to a backend server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Shared state of an entry.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: Settings,
    /// Address advertised to callers.
    pub address: SocketAddr,
    /// The active configuration.
    pub configuration_store: Store,
    /// Freshness of the active configuration.
    pub freshness: Freshness,
    /// Rate limiters and queues.
    pub admission: Admission,
    /// Operations in progress and phases of the shutdown.
    pub progress: Arc<Progress>,
    /// Metrics of the process.
    pub metrics: Registry,
    /// Routing table of the engines.
    pub table: Arc<Table>,
    /// Generation drivers.
    pub generators: Generators,
    /// Backend servers of services.
    pub services: Services,
    /// Memory for the bodies of requests.
    pub account: Account,
    /// Records of non-idempotent calls; `None` without a platform.
    pub ledger: Option<Ledger>,
    /// Directory in the last response of the control.
    directory: RwLock<Directory>,
}

impl State {
    /// Creates the state of an entry without a configuration.
    #[must_use]
    pub fn new(settings: Settings, address: SocketAddr, metrics: Registry) -> Self {
        let table = Table::new(
            settings.host.clone(),
            settings.zone.clone(),
            settings.routing.policy(),
        );
        let table = Arc::new(table);
        let account = Account::new(Plan::from(settings.limits.memory));
        let held = account.clone();
        metrics.observe_held("requests", move || held.held() as u64);
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
            account,
            ledger: new_ledger(&settings),
            directory: RwLock::default(),
            settings,
        }
    }

    /// Makes a configuration the active one and logs the result.
    ///
    /// # Errors
    ///
    /// [`Rejection`] when the configuration is older than the active one, conflicts with it or is not valid.
    pub fn accept(&self, envelope: &Envelope) -> Result<(), Rejection> {
        let generation = envelope.generation;
        match self.configuration_store.accept(envelope) {
            Ok(Some(configuration)) => {
                self.table.apply(&configuration.document);
                self.generators.apply(&configuration.document);
                self.services.apply(&configuration.document);
                self.mark_leaving();
                self.metrics.count_event("configuration", "in_force");
                log::info!(generation:%, digest:% = envelope.digest; "config: applied");
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(refused) => {
                self.metrics.count_event("configuration", "refused");
                log::error!(generation:%, error:% = refused; "config: rejected");
                Err(refused)
            }
        }
    }

    /// Returns the active configuration.
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

    /// Checks that new requests may be accepted under this configuration.
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

    /// Directory in the last response of the control.
    #[must_use]
    pub fn directory(&self) -> Directory {
        let directory = self
            .directory
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        directory.clone()
    }

    /// Replaces the directory and marks the backend servers on leaving hosts.
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

fn new_ledger(settings: &Settings) -> Option<Ledger> {
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
