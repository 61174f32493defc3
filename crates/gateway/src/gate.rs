//! Wait of requests for the first view of a host that starts.

use core::time::Duration;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use event_listener::Event;

use agatemill_fleet::Startup;

/// Keeps requests that arrive while a host starts until it is ready, within the limits of [`Startup::wait`].
#[derive(Debug)]
pub struct Gate {
    startup: Mutex<Startup>,
    /// Notified when the progress of the startup changes.
    changes: Event,
}

impl Gate {
    /// Creates the gate of a host that begins to read the store.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            startup: Mutex::new(Startup::begin(now)),
            changes: Event::new(),
        }
    }

    /// Records progress of the startup.
    pub fn update(&self, update: impl FnOnce(&mut Startup)) {
        let mut startup = self.lock();
        let before = *startup;
        update(&mut startup);
        let is_changed = *startup != before;
        drop(startup);
        if is_changed {
            self.changes.notify(usize::MAX);
        }
    }

    /// Waits until a request that arrived at a time is to be served or refused. `left` is the time that its caller had left
    /// then, and `is_serving` tells whether the host does not stop. Returns whether it waited.
    pub async fn pass(
        &self,
        arrived: Duration,
        left: Option<Duration>,
        is_serving: impl Fn() -> bool,
    ) -> bool {
        let wait = || {
            if is_serving() {
                self.lock().wait(arrived, left, agatemill_runtime::now())
            } else {
                Duration::ZERO
            }
        };
        let mut has_waited = false;
        while !wait().is_zero() {
            let change = self.changes.listen();
            // Computed again, since a change before the listener was created is not notified.
            agatemill_runtime::timeout(wait(), change).await;
            has_waited = true;
        }
        has_waited
    }

    fn lock(&self) -> MutexGuard<'_, Startup> {
        self.startup.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
