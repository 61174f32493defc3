//! Multi-threaded executor, monotonic time, signals and traffic counters.
//!
//! The global executor of the `smol` crate runs on one thread unless an environment variable is set; the
//! number of threads of this executor comes from the settings of the process.

pub mod signal;
pub mod traffic;
pub mod turn;

use core::future::Future;
use core::time::Duration;
use std::sync::LazyLock;
use std::sync::Once;
use std::thread;
use std::time::Instant;

use smol::Executor;
use smol::Task;

pub use turn::Turn;

static EXECUTOR: Executor<'static> = Executor::new();
static THREADS: Once = Once::new();
static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Number of worker threads when a program does not call [`start`].
const DEFAULT_THREADS: usize = 4;

/// Starts the worker threads; later calls have no effect.
///
/// # Panics
///
/// Panics when the operating system fails to create a thread.
pub fn start(threads: usize) {
    THREADS.call_once(|| {
        LazyLock::force(&START);
        for index in 0..threads.max(1) {
            thread::Builder::new()
                .name(format!("worker-{index}"))
                .spawn(|| smol::block_on(EXECUTOR.run(core::future::pending::<()>())))
                .expect("the operating system refused a worker thread");
        }
    });
}

/// Runs a future, and the tasks that it spawns, on the calling thread. Intended for hosts with a single small
/// core, where more threads only add context switches. [`start`] has no effect afterwards.
pub fn run_on_current_thread<T>(future: impl Future<Output = T>) -> T {
    THREADS.call_once(|| {
        LazyLock::force(&START);
    });
    smol::block_on(EXECUTOR.run(future))
}

/// Spawns a future on the executor. Dropping the task cancels it; `detach` lets it run to completion.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    start(DEFAULT_THREADS);
    EXECUTOR.spawn(future)
}

/// Returns the monotonic time since this process first used the crate.
#[must_use]
pub fn now() -> Duration {
    START.elapsed()
}

/// Sleeps for `duration`.
pub async fn sleep(duration: Duration) {
    smol::Timer::after(duration).await;
}

/// Runs a future for at most `limit`; `None` when it times out.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        sleep(limit).await;
        None
    };
    smol::future::or(async { Some(future.await) }, expired).await
}
