//! Generation drivers, one for each half.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;

use agatemill_config::Document;
use agatemill_core::id;
use agatemill_engine::Client;
use agatemill_limits::Budget;
use agatemill_metrics::Registry;
use agatemill_pipeline::Generation;
use agatemill_pipeline::Settings;
use agatemill_routing::Table;

/// Share of a retry, in thousandths, that each success adds to the retry budget.
const RETRY_PER_MILLE: u32 = 100;

/// Generation drivers, one for each half, so that the retries of one half do not use up the retry budget of
/// the other.
#[derive(Debug)]
pub struct Generators {
    table: Arc<Table>,
    /// Client for engines.
    pub client: Client,
    metrics: Registry,
    halves: RwLock<HashMap<id::Half, Half>>,
}

#[derive(Clone, Debug)]
struct Half {
    settings: Settings,
    budget: Arc<Mutex<Budget>>,
    generation: Generation,
}

impl Generators {
    /// Creates the state of an entry without a configuration.
    #[must_use]
    pub fn new(table: Arc<Table>, client: Client, metrics: Registry) -> Self {
        Self {
            table,
            client,
            metrics,
            halves: RwLock::default(),
        }
    }

    /// Applies a new document; halves that remain keep their retry budget.
    pub fn apply(&self, document: &Document) {
        let settings = Settings {
            step_timeout: document.settings.step_timeout.to_duration(),
            ..Settings::default()
        };
        let mut halves = self.halves.write().unwrap_or_else(PoisonError::into_inner);
        let mut next = HashMap::new();
        for half in &document.halves {
            let current = halves.remove(half);
            next.insert(half.clone(), self.update_half(current, settings));
        }
        *halves = next;
    }

    fn update_half(&self, current: Option<Half>, settings: Settings) -> Half {
        let budget = match current {
            Some(half) if half.settings == settings => return half,
            Some(half) => half.budget,
            None => Arc::new(Mutex::new(Budget::new(RETRY_PER_MILLE))),
        };
        let generation = Generation::new(
            Arc::clone(&self.table),
            self.client.clone(),
            self.metrics.clone(),
            Arc::clone(&budget),
            settings,
        );
        Half {
            settings,
            budget,
            generation,
        }
    }

    /// Generation driver of a half.
    #[must_use]
    pub fn get(&self, half: &id::Half) -> Option<Generation> {
        let halves = self.halves.read().unwrap_or_else(PoisonError::into_inner);
        halves.get(half).map(|half| half.generation.clone())
    }
}
