//! This host's view of the platform.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use crate::registration;
use agatemill_adapter::document;
use agatemill_adapter::entry;
use agatemill_adapter::host;
use agatemill_adapter::quarantine;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Item;
use agatemill_adapter::store::Lease;
use agatemill_core::id;
use agatemill_core::number::Era;
use agatemill_core::number::Revision;
use agatemill_fleet::Configuration;
use agatemill_fleet::Freshness;
use agatemill_fleet::Member;
use agatemill_fleet::Server;
use agatemill_fleet::history::Cursor;
use agatemill_fleet::prompt::Segment;
use agatemill_fleet::server::Instance;
use agatemill_fleet::server::Progress;

/// Time for which entries deleted during an outage are kept after it: live engines write theirs again within
/// about two seconds.
const DELETION_GRACE: Duration = Duration::from_secs(2);

/// Shortest lease of an entry. In a shorter outage none expires that was written just before it.
const SHORTEST_LEASE: Duration = Duration::from_secs(1);

/// Time for which an entry that a restored store has from its copy is ignored while the host knows better: engines that are
/// up write theirs again within about two seconds, and the entries of others expire.
const COPY_DISTRUST: Duration = Duration::from_secs(5);

/// Time for which servers that are no longer listed are remembered, longer than a copy of the store is old.
const GONE_MEMORY: Duration = Duration::from_mins(1);

/// This host's view of the platform.
#[derive(Debug, Default)]
pub struct View {
    /// Era of the store that the view shows.
    pub era: Era,
    /// When this host read the store that was restored last.
    era_began: Option<Duration>,
    /// Current configuration; `None` until the first arrives. Its version never decreases.
    pub configuration: Option<Arc<Configuration>>,
    /// The entry that the configuration was decoded from.
    pub configuration_item: Option<Item>,
    /// Where the store has a configuration that cannot be decoded and is newer than all others.
    unread: Option<Cursor>,
    /// Backend servers of each service, in the order of their ids.
    pub services: HashMap<id::Service, Vec<Arc<Server>>>,
    /// Servers of services that the configuration does not name, with the revisions of their entries. These may come from another
    /// writer, so that they show nothing about other servers.
    unnamed: HashMap<id::Server, (Server, Revision)>,
    /// Serving entry hosts.
    pub members: HashMap<id::Host, Member>,
    /// Host that leads the planning.
    pub planner: Option<Planner>,
    /// Quarantined parts of prompts in the store, with the parts that may be the cause instead.
    pub quarantined: HashMap<Segment, Vec<Segment>>,
    /// Freshness of the view.
    pub freshness: Freshness,
    /// End of the grace period, in which deleted entries are kept.
    deletion_grace_until: Duration,
    /// Keys of entries deleted during the grace period, with the time of their removal.
    pending_removals: HashMap<String, Duration>,
    /// Entries of a restored store that are ignored until a time or until they are written again.
    distrusted: HashMap<String, (Item, Duration)>,
    /// Servers that are no longer listed: how far they had come, and until when they are remembered.
    gone: HashMap<id::Server, (Progress, Duration)>,
}

/// The host that leads the planning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planner {
    /// Name of the planner: its host and a random suffix for the process.
    pub name: String,
    /// State of the store at which its leadership began.
    pub elected: Cursor,
    /// Lease that the leadership is attached to.
    pub lease: Lease,
}

impl Planner {
    /// The host of the planner.
    #[must_use]
    pub fn host(&self) -> Option<id::Host> {
        let (host, _) = self.name.rsplit_once('-')?;
        host.parse().ok()
    }
}

impl View {
    /// Applies a change.
    pub fn apply(&mut self, change: Change, now: Duration) {
        match change {
            Change::Put(item) => {
                self.distrusted.remove(&item.key);
                self.put(&item, now);
            }
            Change::Deleted { key } => {
                self.distrusted.remove(&key);
                self.schedule_removal(key, now);
            }
        }
    }

    /// Applies a difference to the copy from which the store was restored. Entries that may be older than what this host
    /// knows are ignored for some time.
    pub fn apply_restored(&mut self, change: Change, now: Duration) {
        match change {
            Change::Put(item) if self.may_be_older(&item) => {
                log::info!(key = item.key, revision:% = item.revision; "store: ignored an older entry of the copy");
                self.pending_removals.remove(&item.key);
                let until = now + COPY_DISTRUST;
                self.distrusted.insert(item.key.clone(), (item, until));
            }
            change => self.apply(change, now),
        }
    }

    /// Whether an entry of a copy may be older than what this host knows of its server or host.
    fn may_be_older(&self, item: &Item) -> bool {
        if let Ok((member, era)) = host::decode(&item.key, &item.value) {
            return era < self.era && !self.members.contains_key(&member.host);
        }
        let Ok(server) = entry::decode(&item.key, &item.value) else {
            return false;
        };
        let listed = self.server(&server.id);
        let listed = listed.map(|known| Progress::from(&**known));
        let gone = self.gone.get(&server.id).map(|(progress, _)| *progress);
        let known = listed.max(gone);
        known.is_some_and(|known| Progress::from(&server) <= known)
    }

    /// Starts the grace period after an outage of the store, in which entries of live engines may have expired.
    pub fn start_deletion_grace(&mut self, now: Duration) {
        self.deletion_grace_until = now + DELETION_GRACE;
    }

    /// Begins an era of a store that was restored. What the copy lacks is kept for the grace period, and each host has to
    /// register again.
    pub fn begin_era(&mut self, era: Era, now: Duration) {
        self.era = era;
        self.era_began = Some(now);
        self.start_deletion_grace(now);
        let members: Vec<String> = self.members.keys().map(host::key).collect();
        for key in members {
            self.expect_again(key, now);
        }
    }

    /// Whether a leader of the era before may not have noticed the restore and still count on its lease.
    #[must_use]
    pub fn may_have_former_leader(&self, now: Duration) -> bool {
        let began = self.era_began;
        began.is_some_and(|began| now < began + registration::LEASE_TTL)
    }

    /// Removes the entry of a host unless it is written again within the time of its lease, which may be lost.
    fn expect_again(&mut self, key: String, now: Duration) {
        let until = now + registration::LEASE_TTL;
        self.pending_removals.insert(key, until);
    }

    /// Remaining grace period, in which deleted entries are kept.
    #[must_use]
    pub fn deletion_grace(&self, now: Duration) -> Duration {
        self.deletion_grace_until.saturating_sub(now)
    }

    /// Extends the grace period to at least `remaining`, what remains of that of another host. A view whose `age` shows that
    /// the store was there until about the end of the other host's outage has seen no entry expire, so that what is deleted is
    /// gone.
    pub fn follow_deletion_grace(
        &mut self,
        remaining: Duration,
        age: Option<Duration>,
        now: Duration,
    ) {
        let since_outage = DELETION_GRACE.saturating_sub(remaining);
        let has_seen_store = age.is_some_and(|age| age < since_outage + SHORTEST_LEASE);
        if !remaining.is_zero() && !has_seen_store {
            self.deletion_grace_until = self.deletion_grace_until.max(now + remaining);
        }
    }

    /// Removes the deleted entries that were not written again in time, and uses the older entries of a copy that were not.
    pub fn remove_expired(&mut self, now: Duration) {
        let due: Vec<String> = self
            .pending_removals
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.pending_removals.remove(&key);
            self.remove(&key, now);
        }
        let trusted = self.distrusted.extract_if(|_, (_, until)| *until <= now);
        let trusted: Vec<Item> = trusted.map(|(_, (item, _))| item).collect();
        for item in trusted {
            self.put(&item, now);
        }
        self.gone.retain(|_, (_, until)| *until > now);
    }

    /// Servers of a service.
    #[must_use]
    pub fn servers(&self, service: &id::Service) -> &[Arc<Server>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether another instance is listed at the address of an instance and it is not, which shows that it has ended.
    #[must_use]
    pub fn is_replaced(&self, instance: &Instance, address: SocketAddrV4) -> bool {
        let servers = self.services.values().flatten();
        let mut at_address = servers
            .filter(|server| server.address == address)
            .peekable();
        at_address.peek().is_some() && at_address.all(|server| instance.is_followed_by(server))
    }

    /// The server with a name.
    #[must_use]
    pub fn server(&self, id: &id::Server) -> Option<&Arc<Server>> {
        self.services.values().find_map(|servers| {
            let position = servers.binary_search_by(|server| server.id.cmp(id));
            position.ok().map(|position| &servers[position])
        })
    }

    fn put(&mut self, item: &Item, now: Duration) {
        self.pending_removals.remove(&item.key);
        if item.key == document::KEY {
            self.put_configuration(item);
        } else if item.key == host::PLANNER {
            self.planner = Some(Planner {
                name: String::from_utf8_lossy(&item.value).into_owned(),
                elected: Cursor {
                    era: self.era,
                    revision: item.created,
                },
                lease: Lease {
                    id: item.lease,
                    era: self.era,
                },
            });
            log::info!(
                planner:% = String::from_utf8_lossy(&item.value), era:% = self.era, revision:% = item.created;
                "planner: current leader"
            );
        } else if item.key.starts_with(host::PREFIX) {
            match host::decode(&item.key, &item.value) {
                Ok((member, era)) => {
                    if era < self.era {
                        self.expect_again(item.key.clone(), now);
                    }
                    let (host, revision) = (member.host.clone(), item.revision);
                    let known = self.members.insert(host.clone(), member.clone());
                    if known.as_ref() != Some(&member) {
                        log::info!(host:%, revision:%; "members: host registered");
                    }
                }
                Err(error) => {
                    log::warn!(key = item.key, error; "members: ignored an invalid entry");
                }
            }
        } else if item.key.starts_with(entry::PREFIX) {
            self.put_server(item, now);
        } else if item.key.starts_with(quarantine::PREFIX) {
            match quarantine::decode(&item.key, &item.value) {
                Ok((segment, partners)) => {
                    self.quarantined.insert(segment, partners);
                }
                Err(error) => {
                    log::warn!(key = item.key, error; "quarantine: ignored an invalid entry");
                }
            }
        }
    }

    fn put_configuration(&mut self, item: &Item) {
        let current = self
            .configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version);
        let at = Cursor {
            era: self.era,
            revision: item.revision,
        };
        let decoded = document::decode(&item.value);
        if decoded.is_ok() {
            self.unread = self.unread.filter(|unread| *unread > at);
        }
        match decoded {
            Ok(new) if new.version > current => {
                log::info!(version = new.version, revision:% = item.revision; "config: applied");
                self.configuration = Some(Arc::new(new));
                self.configuration_item = Some(item.clone());
                self.list_named();
            }
            Ok(new) if new.version < current => {
                log::warn!(version = new.version, held = current; "config: ignored an older version");
            }
            Ok(_) => {}
            Err(error) => {
                log::error!(error, held = current; "config: cannot decode the document, keeping the current version");
                self.unread = self.unread.max(Some(at));
            }
        }
    }

    /// Records that a call which began at `started` brought the view up to date. It did not if the store has a configuration
    /// that cannot be decoded, which may revoke keys.
    pub fn confirm(&mut self, started: Duration) {
        if self.unread.is_none() {
            self.freshness.confirm(started);
        }
    }

    fn put_server(&mut self, item: &Item, now: Duration) {
        match entry::decode(&item.key, &item.value) {
            Ok(server) => {
                self.remove_server(&server.id);
                if self.is_named(&server.service) {
                    self.list(server, item.revision);
                } else {
                    log::info!(server:% = server.id, service:% = server.service; "servers: ignored the entry of an unknown service");
                    self.unnamed
                        .insert(server.id.clone(), (server, item.revision));
                }
            }
            Err(error) => {
                log::warn!(key = item.key, error; "servers: ignored an invalid entry");
                self.remove(&item.key, now);
            }
        }
    }

    /// Whether the configuration names a service. Before the first one, every service counts as named.
    fn is_named(&self, service: &id::Service) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_none_or(|configuration| configuration.services.contains_key(service))
    }

    /// Lists the servers of services that the configuration has come to name.
    fn list_named(&mut self) {
        for (id, (server, revision)) in core::mem::take(&mut self.unnamed) {
            if self.is_named(&server.service) {
                self.list(server, revision);
            } else {
                self.unnamed.insert(id, (server, revision));
            }
        }
    }

    /// Lists a server, unless another one was started later at its address, in place of those that were started earlier there.
    fn list(&mut self, server: Server, revision: Revision) {
        log::info!(
            server:% = server.id, service:% = server.service, zone:% = server.zone, address:% = server.address,
            state:? = server.state, kind = server.accelerator.as_deref().unwrap_or("-"),
            layers:% = server.layers.map_or_else(|| "none".to_owned(), |layers| layers.to_string()),
            revision:%; "servers: listed"
        );
        if self
            .servers_where(|other| other.replaces(&server))
            .next()
            .is_some()
        {
            log::info!(server:% = server.id; "servers: ignored the entry of a replaced server");
            return;
        }
        let replaced: Vec<id::Server> = self
            .servers_where(|other| server.replaces(other))
            .map(|other| other.id.clone())
            .collect();
        for id in replaced {
            log::info!(server:% = id, by:% = server.id; "servers: replaced by another at its address");
            self.remove_server(&id);
        }
        let servers = self.services.entry(server.service.clone()).or_default();
        let position = servers.partition_point(|other| other.id < server.id);
        servers.insert(position, Arc::new(server));
    }

    fn servers_where(&self, matches: impl Fn(&Server) -> bool) -> impl Iterator<Item = &Server> {
        let servers = self.services.values().flatten().map(AsRef::as_ref);
        servers.filter(move |server| matches(server))
    }

    fn remove_server(&mut self, id: &id::Server) {
        self.unnamed.remove(id);
        for servers in self.services.values_mut() {
            servers.retain(|server| &server.id != id);
        }
    }

    fn schedule_removal(&mut self, key: String, now: Duration) {
        if now < self.deletion_grace_until && key != host::PLANNER {
            let until = self.deletion_grace_until;
            self.pending_removals.entry(key).or_insert(until);
        } else {
            self.remove(&key, now);
        }
    }

    fn remove(&mut self, key: &str, now: Duration) {
        if key == host::PLANNER {
            self.planner = None;
        } else if let Some(name) = key.strip_prefix(host::PREFIX) {
            log::info!(host = name; "members: host removed");
            self.members.retain(|host, _| host.as_str() != name);
        } else if let Some(segment) = key.strip_prefix(quarantine::PREFIX) {
            self.quarantined
                .retain(|known, _| known.to_string() != segment);
        } else if let Some(name) = key.strip_prefix(entry::PREFIX) {
            log::info!(server = name; "servers: server removed");
            if let Ok(id) = name.parse() {
                if let Some(server) = self.server(&id) {
                    let progress = Progress::from(&**server);
                    self.gone.insert(id.clone(), (progress, now + GONE_MEMORY));
                }
                self.remove_server(&id);
            }
        }
    }
}
