//! The gateway process: the tasks of one host.

use std::sync::Arc;

use smol::Task;

use crate::Error;
use crate::Settings;
use crate::State;
use crate::feed;
use crate::gossip;
use crate::planner;
use crate::quarantine;
use crate::registration::Registration;
use crate::server;
use crate::shutdown;
use crate::stall;
use crate::supervise;
use crate::sync;
use crate::throttle;
use agatemill_metrics::Registry;

/// The tasks of one host. Dropping it stops them at once, as a crash does; [`Process::close`] stops them
/// gracefully.
#[derive(Debug)]
pub struct Process {
    state: Arc<State>,
    registration: Arc<Registration>,
    tasks: Vec<Task<()>>,
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
        let tasks = vec![
            agatemill_runtime::spawn(sync::run(share())),
            agatemill_runtime::spawn(Arc::clone(&registration).run(share())),
            agatemill_runtime::spawn(supervise::run(share(), "planner", {
                let (state, registration) = (share(), Arc::clone(&registration));
                move || planner::run(Arc::clone(&state), Arc::clone(&registration))
            })),
            agatemill_runtime::spawn(server::serve_callers(share(), callers)),
            agatemill_runtime::spawn(server::serve_ready(share(), ready)),
            agatemill_runtime::spawn(server::serve_directory(share(), directory)),
            agatemill_runtime::spawn(server::serve_metrics(share(), metrics)),
            agatemill_runtime::spawn(quarantine::run(share())),
            agatemill_runtime::spawn(stall::recheck(share())),
            agatemill_runtime::spawn(gossip::send(share(), exchange.clone())),
            agatemill_runtime::spawn(throttle::run(
                share(),
                Arc::clone(&registration),
                exchange.clone(),
            )),
            agatemill_runtime::spawn(gossip::receive(
                share(),
                Arc::clone(&registration),
                exchange,
            )),
            agatemill_runtime::spawn(feed::serve::run(share(), followers)),
        ];
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

    /// Shuts down gracefully, within the grace period of the settings.
    pub async fn close(self) {
        shutdown::run(&self.state, &self.registration).await;
        for task in self.tasks {
            task.cancel().await;
        }
        log::info!("gateway: stopped");
    }
}
