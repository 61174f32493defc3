//! Batch scheduler of a fake engine.

use core::time::Duration;

use smol::channel::Receiver;

use crate::engine::Shared;
use crate::engine::lock;

/// Runs batches until the task is dropped. A message on `woken` signals queued steps.
pub async fn run(state: Shared, woken: Receiver<()>) {
    while woken.recv().await.is_ok() {
        while run_batch(&state).await {}
    }
}

/// Runs the next batch; returns false if the queue is empty.
async fn run_batch(state: &Shared) -> bool {
    let mut results = Vec::new();
    let mut duration = Duration::ZERO;
    {
        let mut state = lock(state);
        let now = agatemill_runtime::now();
        let size = state.settings.batch;
        for entry in state.queue.pop_batch(size) {
            let outcome = state.run(&entry.step, now);
            let delivery = outcome.map(|outcome| {
                duration += outcome.duration;
                outcome.delivery
            });
            results.push((entry.result, delivery));
        }
        state.queue.running = u32::try_from(results.len()).unwrap_or(u32::MAX);
        state.record_sample(now);
    }
    if results.is_empty() {
        return false;
    }
    if !duration.is_zero() {
        agatemill_runtime::sleep(duration).await;
    }
    for (sender, result) in results {
        // Fails if the caller has disconnected.
        let _ = sender.try_send(result);
    }
    let mut state = lock(state);
    state.queue.running = 0;
    state.record_sample(agatemill_runtime::now());
    true
}
