//! Supervises the tasks of the process.
//!
//! A panic in a task would otherwise end the task in silence while the process goes on without it, for example as a host that
//! is listed but accepts no connections. `docs/design/tasks.md` gives the policy of each task.

pub mod failure;

use core::any::Any;
use core::panic::AssertUnwindSafe;
use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use futures::FutureExt;
use smol::Task;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::State;
use agatemill_fleet::LogLimit;
use agatemill_metrics::Registry;

pub use failure::Failure;

/// Time after which a task that ended is started again; bounds the log if it ends each time.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Bounds the log lines of panics in tasks of connections, which callers may cause at any rate.
static CONNECTION_LOG: Mutex<Option<LogLimit>> = Mutex::new(None);

/// What happens when a task ends that should live as long as the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// It is started again after `RESTART_DELAY`. For tasks whose state is consistent after a panic at any point.
    Restart,
    /// The process exits with a failure, so that its supervisor starts it again. For tasks that may leave the state of the
    /// process inconsistent.
    Exit,
}

/// The tasks that live as long as the process. Dropping it stops them.
#[derive(Debug)]
pub struct Supervisor {
    state: Arc<State>,
    tasks: Vec<(&'static str, Policy, Task<()>)>,
    sender: Sender<Failure>,
    failures: Receiver<Failure>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    #[must_use]
    pub fn new(state: Arc<State>) -> Self {
        let (sender, failures) = channel::unbounded();
        Self {
            state,
            tasks: Vec::new(),
            sender,
            failures,
        }
    }

    /// Starts a task with [`Policy::Restart`].
    pub fn restart<F, S>(&mut self, task: &'static str, start: S)
    where
        F: Future<Output = ()> + Send,
        S: Fn() -> F + Send + Sync + 'static,
    {
        let state = Arc::clone(&self.state);
        let spawned = agatemill_runtime::spawn(async move { run(&state, task, start).await });
        self.tasks.push((task, Policy::Restart, spawned));
    }

    /// Starts a task with [`Policy::Exit`].
    pub fn require(&mut self, task: &'static str, run: impl Future<Output = ()> + Send + 'static) {
        let (state, sender) = (Arc::clone(&self.state), self.sender.clone());
        let spawned = agatemill_runtime::spawn(async move {
            let failure = Failure::of(task, run).await;
            log::error!(task, reason = failure.reason; "gateway: a required task ended, the process exits");
            state.metrics.count_event("task", failure.event());
            // The channel is closed only if nobody waits for failures any more.
            let _ = sender.send(failure).await;
        });
        self.tasks.push((task, Policy::Exit, spawned));
    }

    /// Names and policies of the tasks.
    #[must_use]
    pub fn policies(&self) -> Vec<(&'static str, Policy)> {
        let tasks = self.tasks.iter();
        tasks.map(|(task, policy, _)| (*task, *policy)).collect()
    }

    /// Yields each required task that ended.
    #[must_use]
    pub fn failures(&self) -> Receiver<Failure> {
        self.failures.clone()
    }

    /// Stops the tasks.
    pub async fn close(self) {
        for (_, _, task) in self.tasks {
            task.cancel().await;
        }
    }
}

/// Runs a task, and again each time that it ends.
async fn run<F: Future<Output = ()>>(state: &State, task: &'static str, start: impl Fn() -> F) {
    loop {
        let failure = Failure::of(task, start()).await;
        log::error!(task, reason = failure.reason; "gateway: a task ended and is started again");
        state.metrics.count_event("task", failure.event());
        agatemill_runtime::sleep(RESTART_DELAY).await;
    }
}

/// Runs a task that lives as long as a connection or a request. A panic ends only this task.
pub async fn contain(metrics: &Registry, task: &'static str, run: impl Future<Output = ()>) {
    let Err(panic) = AssertUnwindSafe(run).catch_unwind().await else {
        return;
    };
    metrics.count_event("connection", "panicked");
    let mut limit = CONNECTION_LOG
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let limit = limit.get_or_insert_default();
    if limit.admits(agatemill_runtime::now()) {
        let reason = message(&*panic);
        log::error!(task, reason; "gateway: a task of a connection panicked");
    }
}

/// The text of a panic.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let owned = || panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(owned).unwrap_or("unknown")
}
