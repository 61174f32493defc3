//! Continuous batching of a stand-in engine.

use core::time::Duration;

use smol::channel::Receiver;

use crate::engine::Shared;
use crate::engine::lock;

/// Runs batches until the task is dropped. `work` has an item when steps wait.
pub async fn run(state: Shared, work: Receiver<()>) {
    while work.recv().await.is_ok() {
        while batch(&state).await {}
    }
}

/// Runs the next batch; false when no step waits.
async fn batch(state: &Shared) -> bool {
    let mut results = Vec::new();
    let mut time = Duration::ZERO;
    {
        let mut state = lock(state);
        let now = agatemill_runtime::now();
        let size = state.settings.batch;
        for waiting in state.queue.take(size) {
            let outcome = state.run(&waiting.step, now);
            let delivery = outcome.map(|outcome| {
                time += outcome.time;
                outcome.delivery
            });
            results.push((waiting.result, delivery));
        }
        state.queue.running = u32::try_from(results.len()).unwrap_or(u32::MAX);
        state.sample(now);
    }
    if results.is_empty() {
        return false;
    }
    if !time.is_zero() {
        agatemill_runtime::sleep(time).await;
    }
    for (sender, result) in results {
        // The caller may have left.
        let _ = sender.try_send(result);
    }
    let mut state = lock(state);
    state.queue.running = 0;
    state.sample(agatemill_runtime::now());
    true
}
