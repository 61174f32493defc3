//! The end of a task that should live as long as the process.

use core::panic::AssertUnwindSafe;

use derive_more::Display;
use derive_more::Error;
use futures::FutureExt;

/// The end of a task that should live as long as the process.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("task {task} ended: {reason}")]
pub struct Failure {
    /// Name of the task.
    pub task: &'static str,
    /// Why it ended: the text of the panic, or that it returned.
    pub reason: String,
    /// Whether it panicked.
    pub is_panic: bool,
}

impl Failure {
    /// Runs a task until it ends.
    pub async fn of(task: &'static str, run: impl Future<Output = ()>) -> Self {
        match AssertUnwindSafe(run).catch_unwind().await {
            Ok(()) => Self::returned(task),
            Err(panic) => Self {
                task,
                reason: format!("panicked: {}", super::message(&*panic)),
                is_panic: true,
            },
        }
    }

    /// A task that returned without a panic.
    #[must_use]
    pub fn returned(task: &'static str) -> Self {
        Self {
            task,
            reason: "returned unexpectedly".to_owned(),
            is_panic: false,
        }
    }

    /// Name of the event in the metrics.
    #[must_use]
    pub fn event(&self) -> &'static str {
        if self.is_panic {
            "panicked"
        } else {
            "returned"
        }
    }
}
