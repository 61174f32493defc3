//! The gateway process: the tasks of one host.

use core::time::Duration;
use std::sync::Arc;

use smol::channel::Receiver;

use crate::Error;
use crate::Settings;
use crate::State;
use crate::feed;
use crate::gossip;
use crate::planner;
use crate::purpose::Purpose;
use crate::quarantine;
use crate::registration::Registration;
use crate::server;
use crate::server::Listener;
use crate::shutdown;
use crate::stall;
use crate::state::Stage;
use crate::supervise::Failure;
use crate::supervise::Supervisor;
use crate::sync;
use crate::throttle;
use agatemill_metrics::Registry;

/// The tasks of one host. Dropping it stops them at once, as a crash does; [`Process::close`] stops them
/// gracefully.
#[derive(Debug)]
pub struct Process {
    state: Arc<State>,
    registration: Arc<Registration>,
    tasks: Supervisor,
}

impl Process {
    /// Binds the listeners and starts all tasks.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when an address cannot be bound, [`Error::Metrics`] when the metrics cannot
    /// be set up.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        log::info!(
            host:% = settings.host, zone:% = settings.zone, callers:% = settings.callers,
            first_start = settings.first_start; "gateway: starting"
        );
        let callers = server::listen(settings.callers).await?;
        let ready = server::listen(settings.ready).await?;
        let directory = server::listen(settings.directory).await?;
        let metrics = server::listen(settings.metrics).await?;
        let exchange = gossip::open(settings.exchange).await?;
        let followers = server::listen(settings.exchange).await?;
        let state = Arc::new(State::new(settings, Registry::new()?));
        let registration = Arc::new(Registration::default());
        let share = || Arc::clone(&state);
        let listener = |socket, purpose| Listener::new(&state, socket, purpose);
        let callers = listener(callers, Purpose::Callers);
        let ready = listener(ready, Purpose::Readiness);
        let directory = listener(directory, Purpose::Directory);
        let metrics = listener(metrics, Purpose::Metrics);
        let followers = listener(followers, Purpose::Hosts);
        let mut tasks = Supervisor::new(share());
        // It records changes for other hosts before it applies them to the view, so that a panic between the two may leave
        // the view without a change, such as a revoked key, that no later snapshot brings.
        tasks.require("sync", sync::run(share()));
        tasks.restart("registration", {
            let (state, registration) = (share(), Arc::clone(&registration));
            move || register(Arc::clone(&state), Arc::clone(&registration))
        });
        tasks.restart("planner", {
            let (state, registration) = (share(), Arc::clone(&registration));
            move || planner::run(Arc::clone(&state), Arc::clone(&registration))
        });
        // Each start gets a clone of the socket, so that the address stays bound meanwhile.
        tasks.restart("callers", {
            let state = share();
            move || server::serve_callers(Arc::clone(&state), callers.clone())
        });
        tasks.restart("ready", {
            let state = share();
            move || server::serve_ready(Arc::clone(&state), ready.clone())
        });
        tasks.restart("directory", {
            let state = share();
            move || server::serve_directory(Arc::clone(&state), directory.clone())
        });
        tasks.restart("metrics", {
            let state = share();
            move || server::serve_metrics(Arc::clone(&state), metrics.clone())
        });
        tasks.restart("followers", {
            let state = share();
            move || feed::serve::run(Arc::clone(&state), followers.clone())
        });
        tasks.restart("quarantine", {
            let state = share();
            move || quarantine::run(Arc::clone(&state))
        });
        tasks.restart("recheck", {
            let state = share();
            move || stall::recheck(Arc::clone(&state))
        });
        tasks.restart("gossip-send", {
            let (state, exchange) = (share(), exchange.clone());
            move || gossip::send(Arc::clone(&state), exchange.clone())
        });
        tasks.restart("throttle", {
            let (state, registration) = (share(), Arc::clone(&registration));
            let exchange = exchange.clone();
            move || {
                let (state, registration) = (Arc::clone(&state), Arc::clone(&registration));
                throttle::run(state, registration, exchange.clone())
            }
        });
        tasks.restart("gossip-receive", {
            let (state, registration) = (share(), Arc::clone(&registration));
            move || {
                let (state, registration) = (Arc::clone(&state), Arc::clone(&registration));
                gossip::receive(state, registration, exchange.clone())
            }
        });
        Ok(Self {
            state,
            registration,
            tasks,
        })
    }

    /// Shared state of the host.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// The tasks that live as long as the process.
    #[must_use]
    pub fn tasks(&self) -> &Supervisor {
        &self.tasks
    }

    /// Yields a task without which the process must not go on.
    #[must_use]
    pub fn failures(&self) -> Receiver<Failure> {
        self.tasks.failures()
    }

    /// Shuts down gracefully, within the grace period of the settings.
    pub async fn close(self) {
        self.close_since(agatemill_runtime::now()).await;
    }

    /// As [`Process::close`], within a grace period that began when the process was signalled to end.
    pub async fn close_since(self, signalled: Duration) {
        shutdown::run(&self.state, &self.registration, signalled).await;
        self.tasks.close().await;
        log::info!("gateway: stopped");
    }
}

/// Keeps this host registered. A host that leaves is registered no longer, which is no unexpected end of the task.
async fn register(state: Arc<State>, registration: Arc<Registration>) {
    registration.run(Arc::clone(&state)).await;
    if state.stage() != Stage::Serving {
        core::future::pending::<()>().await;
    }
}
