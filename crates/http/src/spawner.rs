//! Executor for connection tasks.

use core::future::Future;

use hyper::rt::Executor;

/// Runs connection tasks on the executor of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spawner;

impl<F> Executor<F> for Spawner
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        agatemill_runtime::spawn(future).detach();
    }
}
