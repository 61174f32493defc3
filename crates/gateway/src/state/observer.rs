//! Observers of the store's responses.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use event_listener::Event;

use agatemill_fleet::LogLimit;
use agatemill_fleet::history::Observation;
use agatemill_metrics::Registry;

/// Logs and counts what the eras of the store's responses show.
pub fn of_store(
    metrics: &Registry,
    restored: &Arc<Event>,
) -> impl Fn(Observation) + Send + Sync + 'static {
    let metrics = metrics.clone();
    let restored = Arc::clone(restored);
    let unnamed_log = Mutex::new(LogLimit::default());
    move |observation| match observation {
        Observation::Current => {}
        Observation::Unnamed => {
            metrics.count_event("store", "era_missing");
            if unnamed_log
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .admits(agatemill_runtime::now())
            {
                log::warn!("store: a response names no era, and counts as one of the known era");
            }
        }
        Observation::Restored { from, to } => {
            metrics.count_event("store", "restored");
            log::warn!(from:%, to:%; "store: restored from an older copy");
            restored.notify(usize::MAX);
        }
        Observation::Late { named, known } => {
            metrics.count_event("store", "era_late");
            log::warn!(named:%, known:%; "store: a response is of an earlier era");
        }
    }
}
