//! Tasks of one control, which end together.

use std::sync::Mutex;
use std::sync::PoisonError;

use smol::Task;

/// Tasks of one control. Clearing them cancels all.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    tasks: Mutex<Option<Vec<Task<()>>>>,
}

impl Tasks {
    pub(crate) fn open() -> Self {
        Self {
            tasks: Mutex::new(Some(Vec::new())),
        }
    }

    /// Runs a future until it ends or the tasks are closed; after that, it is not run at all.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tasks) = tasks.as_mut() {
            tasks.retain(|task| !task.is_finished());
            tasks.push(agatemill_runtime::spawn(future));
        }
    }

    /// Cancels all tasks, also when tasks hold references to this value.
    pub(crate) fn close(&self) {
        let tasks = self
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(tasks);
    }
}
