//! One play of a seed.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::io;
use std::path::Path;

use rustix::process::Signal;

use crate::Fault;
use crate::Host;
use crate::Proxy;
use crate::caller::Callers;
use crate::plan;
use crate::plan::Kind;
use crate::proxy::Mode;
use crate::verdict;
use crate::verdict::Change;
use crate::verdict::Disturbance;
use crate::verdict::Events;
use agatemill_standin::Engine;
use agatemill_standin::Store;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;
use agatemill_standin::store;

/// Callers at the same time.
const CALLERS: u64 = 8;

/// Time until every host serves after the last fault; the platform's pages ask for it from their own systems.
const RECOVERY: Duration = Duration::from_secs(12);

/// Longest time from SIGTERM to the end: the grace of the settings and a second.
const GRACE: Duration = Duration::from_secs(4);

/// Pause between looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// What a play gave.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that were sent.
    pub sent: usize,
    /// Requests that were served whole.
    pub served: usize,
    /// Faults that were played.
    pub faults: usize,
    /// Promises that were broken, one line each.
    pub broken: Vec<String>,
}

struct Play {
    store: Store,
    servers: Vec<Engine>,
    store_links: Vec<Proxy>,
    server_links: Vec<Proxy>,
    hosts: Vec<Host>,
    callers: Callers,
    events: Events,
    broken: Vec<String>,
}

/// Plays the faults of a seed with `program` as the gateway; settings and logs go to `folder`.
///
/// # Errors
///
/// Any error of the files or of the processes.
pub async fn run(program: &Path, folder: &Path, seed: u64, over: Duration) -> io::Result<Report> {
    std::fs::create_dir_all(folder)?;
    let faults = plan::faults(seed, over);
    let mut play = Play::start(program, folder)?;
    play.recover("the start").await?;
    let addresses: Vec<SocketAddrV4> = play.hosts.iter().map(|host| host.callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| play.callers.clone().run(addresses.clone(), seed ^ number))
        .map(agatemill_runtime::spawn)
        .collect();
    play.disturb(&faults).await?;
    play.recover("the faults").await?;
    play.callers.end();
    for caller in callers {
        caller.await;
    }
    let sent = play.callers.sent();
    let arrivals: Vec<_> = play.servers.iter().flat_map(Engine::arrivals).collect();
    let mut broken = verdict::broken(&sent, &arrivals, &play.events);
    broken.append(&mut play.broken);
    let is_served = |answer: &crate::caller::Answer| answer.status.is_success() && answer.is_whole;
    Ok(Report {
        served: sent
            .iter()
            .filter(|sent| sent.answer.as_ref().is_some_and(is_served))
            .count(),
        sent: sent.len(),
        faults: faults.len(),
        broken,
    })
}

impl Play {
    fn start(program: &Path, folder: &Path) -> io::Result<Self> {
        let (store, address) = Store::listen();
        store.put(document::KEY, &document::routes(1, r#""k1","k2""#));
        let engines = (0..plan::ENGINES)
            .map(|number| Engine::start(&store, &format!("e{number}"), "model", Some("card")));
        let services = (0..plan::SERVICES)
            .map(|number| Engine::start(&store, &format!("s{number}"), "plain", None));
        let servers: Vec<Engine> = engines.chain(services).collect();
        let server_links: Vec<Proxy> = servers
            .iter()
            .map(|server| Proxy::open(server.address))
            .collect();
        for (server, link) in servers.iter().zip(&server_links) {
            server.set_entry("address", link.address.to_string().into());
        }
        let store_links: Vec<Proxy> = (0..plan::HOSTS).map(|_| Proxy::open(address)).collect();
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
            events: Events {
                changes: vec![Change {
                    at: agatemill_runtime::now(),
                    has_second_key: true,
                }],
                disturbances: Vec::new(),
            },
            broken: Vec::new(),
        })
    }

    /// Plays faults until the last has ended.
    async fn disturb(&mut self, faults: &[Fault]) -> io::Result<()> {
        let start = agatemill_runtime::now();
        let mut waiting: Vec<&Fault> = faults.iter().collect();
        let mut lasting: Vec<&Fault> = Vec::new();
        while !(waiting.is_empty() && lasting.is_empty()) {
            let time = agatemill_runtime::now().saturating_sub(start);
            for fault in extract(&mut waiting, |fault| fault.at <= time) {
                self.begin(&fault.kind)?;
                self.note(fault);
                lasting.push(fault);
            }
            for fault in extract(&mut lasting, |fault| fault.at + fault.lasts <= time) {
                self.end(&fault.kind)?;
            }
            self.look()?;
            agatemill_runtime::sleep(TICK).await;
        }
        Ok(())
    }

    fn begin(&mut self, kind: &Kind) -> io::Result<()> {
        match *kind {
            Kind::Freeze(host) => self.hosts[host].signal(Signal::STOP)?,
            Kind::Kill(host) => self.hosts[host].signal(Signal::KILL)?,
            Kind::Terminate(host) => self.hosts[host].signal(Signal::TERM)?,
            Kind::Reload(host) => self.hosts[host].signal(Signal::HUP)?,
            Kind::StoreLink(host, mode) => self.store_links[host].set(mode),
            Kind::ServerLink(server, mode) => self.server_links[server].set(mode),
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

    fn note(&mut self, fault: &Fault) {
        if let Kind::ServerLink(server, _) | Kind::Server(server, _) = fault.kind {
            let from = agatemill_runtime::now();
            self.events.disturbances.push(Disturbance {
                server: self.servers[server].id.clone(),
                from,
                until: from + fault.lasts + TICK,
            });
        }
    }

    fn end(&mut self, kind: &Kind) -> io::Result<()> {
        match *kind {
            Kind::Freeze(host) => self.hosts[host].signal(Signal::CONT)?,
            Kind::Kill(host) | Kind::Terminate(host) => drop(self.hosts[host].restart()?),
            Kind::StoreLink(host, _) => self.store_links[host].set(Mode::Pass),
            Kind::ServerLink(server, _) => self.server_links[server].set(Mode::Pass),
            Kind::Store(_) => self.store.set_fault(store::Fault::None),
            Kind::Server(server, _) => self.servers[server].set_behaviour(Behaviour::Serve),
            Kind::Reload(_) | Kind::Compact | Kind::Configure { .. } => {}
        }
        Ok(())
    }

    fn look(&mut self) -> io::Result<()> {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if host.ended_by_itself()? {
                let line = format!("host h{number} ended by itself");
                if !self.broken.contains(&line) {
                    self.broken.push(line);
                }
                host.restart()?;
            }
        }
        Ok(())
    }

    /// Ends all faults and waits until every host serves every route.
    async fn recover(&mut self, after: &str) -> io::Result<()> {
        self.store.set_fault(store::Fault::None);
        for link in self.store_links.iter().chain(&self.server_links) {
            link.set(Mode::Pass);
        }
        for server in &self.servers {
            server.set_behaviour(Behaviour::Serve);
        }
        let end = agatemill_runtime::now() + GRACE;
        for number in 0..self.hosts.len() {
            self.hosts[number].signal(Signal::CONT)?;
            while !self.hosts[number].restart()? {
                if agatemill_runtime::now() > end {
                    self.broken
                        .push(format!("host h{number} did not end within its grace"));
                    self.hosts[number].signal(Signal::KILL)?;
                }
                agatemill_runtime::sleep(TICK).await;
            }
        }
        let end = agatemill_runtime::now() + RECOVERY;
        let http = agatemill_http::Client::new(Duration::from_secs(1));
        for (number, host) in self.hosts.iter().enumerate() {
            let mut missing = vec!["draft", "once", "pay", "read"];
            while !missing.is_empty() && agatemill_runtime::now() < end {
                if is_ready(&http, host.ready).await {
                    let mut left = Vec::new();
                    for route in missing {
                        if !self.callers.ask(&http, host.callers, route, "k1").await {
                            left.push(route);
                        }
                    }
                    missing = left;
                }
                agatemill_runtime::sleep(TICK).await;
            }
            if !missing.is_empty() {
                let line =
                    format!("host h{number} did not serve {missing:?} in time after {after}");
                self.broken.push(line);
            }
        }
        self.look()
    }
}

async fn is_ready(http: &agatemill_http::Client, address: SocketAddrV4) -> bool {
    let request = agatemill_standin::caller::ready(address);
    let answer = http.fetch(request, Duration::from_secs(1), 1 << 10).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Takes the items for which a condition holds out of a list.
fn extract<'a, T>(list: &mut Vec<&'a T>, holds: impl Fn(&T) -> bool) -> Vec<&'a T> {
    let (taken, left) = list.iter().copied().partition(|item| holds(item));
    *list = left;
    taken
}
