//! Lifecycle of a control: start, planned stop and abort.

use core::net::SocketAddr;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::SystemTime;

use smol::lock::Semaphore;
use smol::net::TcpListener;
use smol::net::UdpSocket;

use crate::Error;
use crate::Settings;
use crate::configuration::Configuration;
use crate::count::Queries;
use crate::entry::Entry;
use crate::gossip;
use crate::hosts::Hosts;
use crate::leases::Leases;
use crate::platform;
use crate::serve;
use crate::shared::Shared;
use crate::spread;
use crate::tasks::Tasks;
use crate::traffic;
use agatemill_core::number::Generation;
use agatemill_core::number::Incarnation;
use agatemill_membership::Machine;
use agatemill_membership::Member;
use agatemill_membership::Profile;
use agatemill_membership::Service;
use agatemill_membership::State;

/// Capacity of the queue of pulls. One successful pull suffices, so more sources add nothing.
const PULL_QUEUE: usize = 8;

/// Time between two checks for whether the entry has disconnected.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running control. Dropping it aborts it at once, as a crash would; [`Control::close`] stops it in order.
pub struct Control {
    shared: Arc<Shared>,
}

/// Starts a control within this process.
///
/// # Errors
///
/// [`Error::Settings`] when the settings are not valid, and [`Error::Listen`] when an address cannot be bound.
pub async fn run(settings: Settings) -> Result<Control, Error> {
    settings.check().map_err(Error::Settings)?;
    agatemill_runtime::start(settings.threads);
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(|source| listen_error(settings.listen, source))?;
    let socket = UdpSocket::bind(settings.gossip)
        .await
        .map_err(|source| listen_error(settings.gossip, source))?;
    let control = match settings.advertise_control {
        Some(address) => address,
        None => listener
            .local_addr()
            .map_err(|source| listen_error(settings.listen, source))?,
    };
    let gossip = match settings.advertise_gossip {
        Some(address) => address,
        None => socket
            .local_addr()
            .map_err(|source| listen_error(settings.gossip, source))?,
    };
    let (pulls, sources) = smol::channel::bounded(PULL_QUEUE);
    let machine = new_machine(&settings, control, gossip);
    let shared = Arc::new(Shared {
        control,
        gossip,
        socket,
        machine: Mutex::new(machine),
        configuration: Configuration::default(),
        entry: Entry::default(),
        hosts: Hosts::default(),
        queries: Queries::default(),
        drain: AtomicBool::new(false),
        planner: AtomicBool::new(false),
        connections: AtomicU64::new(0),
        peers: Semaphore::new(serve::MAX_PEERS),
        pulls,
        tasks: Tasks::open(),
        leasing: Tasks::open(),
        leases: Leases::default(),
        settings,
    });
    let tasks = &shared.tasks;
    tasks.spawn(serve::accept(Arc::clone(&shared), listener));
    tasks.spawn(gossip::receive(Arc::clone(&shared)));
    tasks.spawn(gossip::tick(Arc::clone(&shared)));
    tasks.spawn(spread::pull_newer(Arc::clone(&shared), sources));
    tasks.spawn(spread::sync(Arc::clone(&shared)));
    tasks.spawn(traffic::log());
    platform::start(&shared);
    log::info!(host:% = shared.settings.host, control:%, gossip:%; "members: control started");
    Ok(Control { shared })
}

impl Control {
    /// Address on which the entry, operators and other controls connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.control
    }

    /// Address to which other controls send datagrams.
    #[must_use]
    pub fn gossip(&self) -> SocketAddr {
        self.shared.gossip
    }

    /// Current generation; 0 without a configuration.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.shared.configuration.generation()
    }

    /// Number of times that the platform was found with a lower generation.
    #[must_use]
    pub fn rollbacks(&self) -> u64 {
        self.shared.configuration.rollbacks()
    }

    /// Whether this control holds the planner's lease.
    #[must_use]
    pub fn is_planner(&self) -> bool {
        self.shared.planner.load(Ordering::Relaxed)
    }

    /// Stops in order: announces to several members that this host leaves, revokes its leases, serves the entry until
    /// it has disconnected or `stop_limit` has passed, and ends.
    pub async fn close(self) {
        let out = self.shared.machine().leave();
        gossip::send(&self.shared, out).await;
        log::info!("members: this host leaves");
        platform::release_leases(&self.shared).await;
        let timings = &self.shared.settings.timings;
        let report_limit = timings.report_limit.to_duration();
        let start = agatemill_runtime::now();
        let end = start + timings.stop_limit.to_duration();
        loop {
            let now = agatemill_runtime::now();
            let entry = self.shared.entry.status(now, report_limit).address;
            if entry.is_none() || now >= end {
                return;
            }
            agatemill_runtime::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        // The tasks and the shared state refer to each other, so closing the tasks breaks the cycle.
        self.shared.leasing.close();
        self.shared.tasks.close();
    }
}

fn new_machine(settings: &Settings, control: SocketAddr, gossip: SocketAddr) -> Machine {
    let own = Member {
        host: settings.host.clone(),
        run: run_id(),
        incarnation: Incarnation(0),
        state: State::Alive,
        revision: 0,
        profile: Profile {
            zone: settings.zone.clone(),
            control,
            gossip,
            entry: None,
            service: Service::Absent,
        },
    };
    let now = agatemill_runtime::now();
    Machine::new(settings.timings.membership(), own, fastrand::u64(..), now)
}

/// Wall-clock time in microseconds, so that it increases from run to run. If the clock was set back, the membership
/// machine raises the number when it receives a record of an earlier run.
fn run_id() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let elapsed = elapsed.unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

fn listen_error(address: SocketAddr, source: io::Error) -> Error {
    Error::Listen { address, source }
}
