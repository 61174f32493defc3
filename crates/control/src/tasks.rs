//! Task group of one control.

use std::sync::Mutex;
use std::sync::PoisonError;

use smol::Task;

/// Task group of one control. Closing or dropping it cancels all of its tasks.
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

    /// Spawns a task that is cancelled when the group is closed; does nothing if the group is already closed.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tasks) = tasks.as_mut() {
            tasks.retain(|task| !task.is_finished());
            tasks.push(agatemill_runtime::spawn(future));
        }
    }

    /// Cancels all tasks, even if they hold references to this group.
    pub(crate) fn close(&self) {
        let tasks = self
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(tasks);
    }
}
