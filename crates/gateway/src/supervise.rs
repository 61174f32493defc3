//! Restarts tasks that panic.

use core::any::Any;
use core::panic::AssertUnwindSafe;
use core::time::Duration;
use std::sync::Arc;

use futures::FutureExt;

use crate::State;

/// Time after which a task that panicked is started again; bounds the log if it panics each time.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a task, and again after each panic, until it returns. A panic would otherwise end the task without a word while the
/// process goes on, and keeps its leadership.
pub async fn run<F: Future<Output = ()>>(
    state: Arc<State>,
    task: &'static str,
    start: impl Fn() -> F,
) {
    loop {
        let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await else {
            return;
        };
        let reason = message(&*panic);
        log::error!(task, reason; "gateway: a task panicked and is started again");
        state.metrics.count_event("task", "panicked");
        agatemill_runtime::sleep(RESTART_DELAY).await;
    }
}

fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let owned = || panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(owned).unwrap_or("unknown")
}
