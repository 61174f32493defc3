//! Entry point for running generations.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol::channel::Sender;

use crate::Event;
use crate::Latency;
use crate::Request;
use crate::Settings;
use crate::run::Run;
use agatemill_core::Outcome;
use agatemill_core::Refusal;
use agatemill_engine::Client;
use agatemill_limits::Budget;
use agatemill_metrics::Registry;
use agatemill_routing::Table;

/// State shared by all generations of an entry. Clones share it too.
#[derive(Clone, Debug)]
pub struct Generation {
    pub(crate) table: Arc<Table>,
    pub(crate) client: Client,
    pub(crate) metrics: Registry,
    pub(crate) settings: Settings,
    budget: Arc<Mutex<Budget>>,
    latency: Arc<Mutex<Latency>>,
}

impl Generation {
    /// Creates the shared state.
    #[must_use]
    pub fn new(
        table: Arc<Table>,
        client: Client,
        metrics: Registry,
        budget: Arc<Mutex<Budget>>,
        settings: Settings,
    ) -> Self {
        Self {
            table,
            client,
            metrics,
            settings,
            budget,
            latency: Arc::default(),
        }
    }

    /// Generates the answer to a request and sends it to the caller, with [`Event::End`] or a refusal as the
    /// last item. Closing the receiver or dropping the future ends the generation.
    pub async fn run(&self, request: &Request, caller: &Sender<Result<Event, Refusal>>) -> Outcome {
        Run::new(self, request, caller).run().await
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn latency(&self) -> MutexGuard<'_, Latency> {
        self.latency.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
