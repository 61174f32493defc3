//! Execution of one seed.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::io;
use std::path::Path;

use rustix::process::Signal;

use crate::Backoff;
use crate::Departure;
use crate::Fault;
use crate::Host;
use crate::Proxy;
use crate::Restore;
use crate::Schedule;
use crate::Silence;
use crate::caller::Callers;
use crate::plan;
use crate::plan::Kind;
use crate::plan::Scope;
use crate::proxy::Mode;
use crate::routing::Record;
use crate::verdict;
use crate::verdict::Change;
use crate::verdict::Disturbance;
use crate::verdict::Events;
use crate::verdict::Target;
use agatemill_standin::Engine;
use agatemill_standin::Store;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;
use agatemill_standin::store;

/// Number of concurrent callers.
const CALLERS: u64 = 8;

/// Time after the last fault within which every host must serve; the documentation of the platform requires the same
/// of its own systems.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time from SIGTERM to exit: the grace period of the settings plus one second.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which due faults and exited hosts are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of requests.
    pub sent: usize,
    /// Number of requests with a complete success response.
    pub served: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of responses that said that their server leaves and that a host passed on.
    pub departures: usize,
    /// Number of rejections with which servers asked hosts for no requests.
    pub backoffs: usize,
    /// Violated invariants, one line each.
    pub violations: Vec<String>,
}

struct Run {
    store: Store,
    servers: Vec<Engine>,
    store_links: Vec<Proxy>,
    server_links: Vec<Proxy>,
    hosts: Vec<Host>,
    callers: Callers,
    /// Servers that are down, and since when.
    restarting: Vec<(usize, Duration)>,
    events: Events,
    violations: Vec<String>,
}

/// Runs the faults of a seed against `hosts` processes of `program`, the gateway binary; settings and logs go to
/// `folder`.
///
/// # Errors
///
/// I/O errors of the files or the processes.
pub async fn execute(
    program: &Path,
    folder: &Path,
    seed: u64,
    over: Duration,
    hosts: u32,
) -> io::Result<Report> {
    std::fs::create_dir_all(folder)?;
    let schedule = Schedule::new(seed, over, hosts);
    let mut run = Run::start(program, folder, hosts)?;
    run.recover("the start").await?;
    let addresses: Vec<SocketAddrV4> = run.hosts.iter().map(|host| host.callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| run.callers.clone().run(addresses.clone(), seed ^ number))
        .map(agatemill_runtime::spawn)
        .collect();
    run.inject(&schedule).await?;
    run.recover("the faults").await?;
    run.callers.stop();
    for caller in callers {
        caller.await;
    }
    let record = Record {
        exchanges: run.callers.exchanges(),
        arrivals: run.servers.iter().flat_map(Engine::arrivals).collect(),
        answers: run.servers.iter().flat_map(Engine::answers).collect(),
        disturbances: run.events.disturbances.clone(),
    };
    let exchanges = &record.exchanges;
    let mut violations = verdict::violations(exchanges, &record.arrivals, &run.events);
    violations.append(&mut record.violations());
    violations.append(&mut run.violations);
    let is_served =
        |response: &crate::caller::Response| response.status.is_success() && response.is_complete;
    Ok(Report {
        served: exchanges
            .iter()
            .filter(|exchange| exchange.response.as_ref().is_some_and(is_served))
            .count(),
        sent: exchanges.len(),
        faults: schedule.fault_count(),
        departures: record.departures().len(),
        backoffs: record.backoffs().len(),
        violations,
    })
}

impl Run {
    fn start(program: &Path, folder: &Path, hosts: u32) -> io::Result<Self> {
        let (store, address) = Store::listen();
        store.put(document::KEY, &document::routes(1, r#""k1","k2""#));
        let engines = (0..plan::ENGINES)
            .map(|number| Engine::start(&store, &format!("e{number}"), "model", Some("card")));
        let services = (0..plan::SERVICES)
            .map(|number| Engine::start(&store, &format!("s{number}"), "plain", None));
        let servers: Vec<Engine> = engines.chain(services).collect();
        let server_links: Vec<Proxy> = servers
            .iter()
            .map(|server| Proxy::start(server.address))
            .collect();
        for (server, link) in servers.iter().zip(&server_links) {
            server.set_entry("address", link.address.to_string().into());
        }
        let store_links: Vec<Proxy> = (0..hosts).map(|_| Proxy::start(address)).collect();
        let hosts = store_links
            .iter()
            .enumerate()
            .map(|(number, link)| Host::start(program, folder, &format!("h{number}"), link.address))
            .collect::<io::Result<Vec<Host>>>()?;
        Ok(Self {
            store,
            servers,
            store_links,
            server_links,
            hosts,
            callers: Callers::default(),
            restarting: Vec::new(),
            events: Events {
                changes: vec![Change {
                    at: agatemill_runtime::now(),
                    has_second_key: true,
                }],
                disturbances: Vec::new(),
            },
            violations: Vec::new(),
        })
    }

    /// Injects a schedule and returns when its last fault has ended. Some servers may still leave.
    async fn inject(&mut self, schedule: &Schedule) -> io::Result<()> {
        let start = agatemill_runtime::now();
        let mut pending: Vec<&Fault> = schedule.faults.iter().collect();
        let mut active: Vec<&Fault> = Vec::new();
        let mut silences: Vec<&Silence> = schedule.silences.iter().collect();
        let mut departures: Vec<&Departure> = schedule.departures.iter().collect();
        let mut leaving = departures.clone();
        leaving.retain(|departure| departure.duration.is_some());
        let mut backoffs: Vec<&Backoff> = schedule.backoffs.iter().collect();
        let mut outages: Vec<&Restore> = schedule.restores.iter().collect();
        let mut restores = outages.clone();
        let end = schedule.end();
        loop {
            let time = agatemill_runtime::now().saturating_sub(start);
            let is_over = pending.is_empty() && active.is_empty() && time >= end;
            if is_over && leaving.is_empty() && self.restarting.is_empty() {
                return Ok(());
            }
            for fault in take_matching(&mut pending, |fault| fault.start <= time) {
                self.begin(&fault.kind)?;
                active.push(fault);
            }
            for fault in take_matching(&mut active, |fault| fault.start + fault.duration <= time) {
                self.end(&fault.kind)?;
                self.record_disturbance(fault, start + fault.start);
            }
            for silence in take_matching(&mut silences, |silence| silence.start <= time) {
                for server in self.members(silence.scope) {
                    server.pause(silence.duration);
                }
            }
            for departure in take_matching(&mut departures, |departure| departure.start <= time) {
                self.servers[departure.server].set_leaving(true);
            }
            for departure in take_matching(&mut leaving, |departure| departure.end() <= time) {
                let crashed_at = agatemill_runtime::now();
                self.servers[departure.server].crash();
                self.restarting.push((departure.server, crashed_at));
            }
            self.record_restarts();
            for backoff in take_matching(&mut backoffs, |backoff| backoff.start <= time) {
                let retry_after = backoff.wait.as_secs_f64().to_string();
                for server in self.members(backoff.scope) {
                    server.turn_away(backoff.duration, &retry_after);
                }
            }
            for _ in take_matching(&mut outages, |restore| restore.start <= time) {
                self.store.set_fault(store::Fault::Busy);
            }
            for restore in take_matching(&mut restores, |one| one.start + one.duration <= time) {
                self.store.set_rewrite_time(restore.rewrite);
                self.store.restore(restore.age, restore.leases);
                self.store.set_fault(store::Fault::None);
            }
            self.detect_crashes()?;
            agatemill_runtime::sleep(POLL_INTERVAL).await;
        }
    }

    fn begin(&mut self, kind: &Kind) -> io::Result<()> {
        match *kind {
            Kind::Freeze(host) => self.hosts[host].signal(Signal::STOP)?,
            Kind::Kill(host) => self.hosts[host].signal(Signal::KILL)?,
            Kind::Terminate(host) => self.hosts[host].signal(Signal::TERM)?,
            Kind::Reload(host) => self.hosts[host].signal(Signal::HUP)?,
            Kind::StoreLink(host, mode) => self.store_links[host].set_mode(mode),
            Kind::ServerLink(server, mode) => self.server_links[server].set_mode(mode),
            Kind::Store(fault) => self.store.set_fault(fault),
            Kind::Compact => self.store.compact(),
            Kind::Server(server, behaviour) => self.servers[server].set_behaviour(behaviour),
            Kind::Configure { has_second_key } => {
                let keys = if has_second_key {
                    r#""k1","k2""#
                } else {
                    r#""k1""#
                };
                let version = 2 + u64::try_from(self.events.changes.len()).unwrap_or(u64::MAX);
                self.store
                    .put(document::KEY, &document::routes(version, keys));
                self.events.changes.push(Change {
                    at: agatemill_runtime::now(),
                    has_second_key,
                });
            }
        }
        Ok(())
    }

    /// The servers that behave alike.
    fn members(&self, scope: Scope) -> impl Iterator<Item = &Engine> {
        let is_member = move |number: usize, server: &Engine| match scope {
            Scope::Server(member) => member == number,
            Scope::Half(member) => {
                layers(server).is_some_and(|held| layers(&self.servers[member]) == Some(held))
            }
            Scope::All => true,
        };
        let numbered = self.servers.iter().enumerate();
        numbered
            .filter(move |(number, server)| is_member(*number, server))
            .map(|(_, server)| server)
    }

    /// Records the times for which servers were down that have been started again.
    fn record_restarts(&mut self) {
        let servers = &self.servers;
        let is_back = |(server, _): &mut (usize, Duration)| !servers[*server].is_down();
        for (server, from) in self.restarting.extract_if(.., is_back) {
            self.events.disturbances.push(Disturbance {
                // Like a cut of the links, it ends requests that the server has not received.
                target: Target::Link(servers[server].id.clone()),
                from,
                until: agatemill_runtime::now() + POLL_INTERVAL,
            });
        }
    }

    /// Records a fault of a server, a link to it or a host that began at `from` and has just ended.
    fn record_disturbance(&mut self, fault: &Fault, from: Duration) {
        let name = |server: usize| self.servers[server].id.clone();
        let mut is_over = true;
        let target = match fault.kind {
            Kind::ServerLink(server, _) => Target::Link(name(server)),
            Kind::Server(server, _) => Target::Server(name(server)),
            Kind::Freeze(host) | Kind::Kill(host) | Kind::Terminate(host) => {
                is_over = !self.hosts[host].is_stopping();
                Target::Host(self.hosts[host].callers)
            }
            Kind::Reload(_)
            | Kind::StoreLink(..)
            | Kind::Store(_)
            | Kind::Compact
            | Kind::Configure { .. } => return,
        };
        // The connections of a link close with a delay.
        let until = agatemill_runtime::now() + POLL_INTERVAL;
        self.events.disturbances.push(Disturbance {
            target,
            from,
            until: if is_over { until } else { Duration::MAX },
        });
    }

    fn end(&mut self, kind: &Kind) -> io::Result<()> {
        match *kind {
            Kind::Freeze(host) => self.hosts[host].signal(Signal::CONT)?,
            Kind::Kill(host) | Kind::Terminate(host) => drop(self.hosts[host].restart()?),
            Kind::StoreLink(host, _) => self.store_links[host].set_mode(Mode::Pass),
            Kind::ServerLink(server, _) => self.server_links[server].set_mode(Mode::Pass),
            Kind::Store(_) => self.store.set_fault(store::Fault::None),
            Kind::Server(server, _) => self.servers[server].set_behaviour(Behaviour::Serve),
            Kind::Reload(_) | Kind::Compact | Kind::Configure { .. } => {}
        }
        Ok(())
    }

    /// Records hosts that exited unexpectedly as violations and restarts them.
    fn detect_crashes(&mut self) -> io::Result<()> {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if host.has_exited_unexpectedly()? {
                let line = format!("host h{number} exited unexpectedly");
                if !self.violations.contains(&line) {
                    self.violations.push(line);
                }
                host.restart()?;
            }
        }
        Ok(())
    }

    /// Ends all faults and waits until every host serves every route; records a violation for each host that does not.
    async fn recover(&mut self, after: &str) -> io::Result<()> {
        self.store.set_fault(store::Fault::None);
        for link in self.store_links.iter().chain(&self.server_links) {
            link.set_mode(Mode::Pass);
        }
        for server in &self.servers {
            server.set_behaviour(Behaviour::Serve);
        }
        let end = agatemill_runtime::now() + STOP_TIMEOUT;
        for number in 0..self.hosts.len() {
            self.hosts[number].signal(Signal::CONT)?;
            while !self.hosts[number].restart()? {
                if agatemill_runtime::now() > end {
                    self.violations.push(format!(
                        "host h{number} did not exit within its grace period"
                    ));
                    self.hosts[number].signal(Signal::KILL)?;
                }
                agatemill_runtime::sleep(POLL_INTERVAL).await;
            }
        }
        let end = agatemill_runtime::now() + RECOVERY_TIMEOUT;
        let http = agatemill_http::Client::new(Duration::from_secs(1));
        for (number, host) in self.hosts.iter().enumerate() {
            let mut missing = vec!["draft", "once", "pay", "read"];
            loop {
                if is_ready(&http, host.ready).await {
                    let mut left = Vec::new();
                    for route in missing {
                        if !self.callers.send(&http, host.callers, route, "k1").await {
                            left.push(route);
                        }
                    }
                    missing = left;
                }
                if missing.is_empty() || agatemill_runtime::now() >= end {
                    break;
                }
                agatemill_runtime::sleep(POLL_INTERVAL).await;
            }
            if !missing.is_empty() {
                let line = format!(
                    "host h{number} did not serve {missing:?} within the recovery time after {after}"
                );
                self.violations.push(line);
            }
        }
        self.detect_crashes()
    }
}

async fn is_ready(http: &agatemill_http::Client, address: SocketAddrV4) -> bool {
    let request = agatemill_standin::caller::ready(address);
    let answer = http.fetch(request, Duration::from_secs(1), 1 << 10).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Numbers of the first layer and of the layer after the last one that an engine was ordered to hold.
fn layers(server: &Engine) -> Option<(u64, u64)> {
    let orders = server.orders();
    let order = orders.iter().rfind(|order| order["op"] == "place")?;
    Some((order["from"].as_u64()?, order["target"].as_u64()?))
}

/// Removes the items that match the predicate from a list and returns them.
fn take_matching<'a, T>(list: &mut Vec<&'a T>, matches: impl Fn(&T) -> bool) -> Vec<&'a T> {
    let (taken, left) = list.iter().copied().partition(|item| matches(item));
    *list = left;
    taken
}
