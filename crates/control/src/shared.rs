//! State shared by the parts of one control; mutable fields are locked separately.

use core::net::SocketAddr;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol::channel::Sender;
use smol::lock::Semaphore;
use smol::net::UdpSocket;

use crate::Settings;
use crate::configuration::Configuration;
use crate::count::Queries;
use crate::directory;
use crate::entry::Entry;
use crate::hosts::Hosts;
use crate::leases::Leases;
use crate::placement;
use crate::spread::Source;
use crate::tasks::Tasks;
use agatemill_core::id;
use agatemill_core::number::Generation;
use agatemill_membership::Machine;
use agatemill_membership::Member;
use agatemill_membership::Profile;
use agatemill_membership::State;
use agatemill_membership::freshness;
use agatemill_wire::Directory;
use agatemill_wire::Instruction;

/// State shared by the parts of one control.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// Addresses that this host advertises.
    pub(crate) control: SocketAddr,
    pub(crate) gossip: SocketAddr,
    pub(crate) socket: UdpSocket,
    pub(crate) machine: Mutex<Machine>,
    pub(crate) configuration: Configuration,
    pub(crate) entry: Entry,
    pub(crate) hosts: Hosts,
    pub(crate) queries: Queries,
    /// Set when an operator requests a drain of this host; never cleared.
    pub(crate) drain: AtomicBool,
    /// Whether this process holds the planner's lease.
    pub(crate) planner: AtomicBool,
    /// Id of the next accepted connection.
    pub(crate) connections: AtomicU64,
    /// Connections of other controls that are served.
    pub(crate) peers: Semaphore,
    /// Queue of members that advertise a newer generation or list of leaving hosts.
    pub(crate) pulls: Sender<Source>,
    pub(crate) tasks: Tasks,
    /// Tasks that acquire and renew leases at the platform; a planned stop ends them first.
    pub(crate) leasing: Tasks,
    pub(crate) leases: Leases,
}

impl Shared {
    pub(crate) fn machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the profile of this host in the failure detector.
    pub(crate) fn update_profile(&self, now: Duration) {
        let limit = self.settings.timings.report_limit.to_duration();
        let status = self.entry.status(now, limit);
        self.machine().describe(Profile {
            zone: self.settings.zone.clone(),
            control: self.control,
            gossip: self.gossip,
            entry: status.address,
            service: status.service,
        });
    }

    /// Whether this host is one of the watchers of the platform in its zone.
    pub(crate) fn is_watcher(&self) -> bool {
        let machine = self.machine();
        placement::is_watcher(machine.own(), machine.others())
    }

    /// Whether this host is one of the members registered at the platform in its zone.
    pub(crate) fn is_contact(&self) -> bool {
        let machine = self.machine();
        placement::is_contact(machine.own(), machine.others())
    }

    /// Generation in force at the entry or, without an entry, the current one of this control.
    pub(crate) fn in_force(&self, now: Duration) -> Generation {
        let limit = self.settings.timings.report_limit.to_duration();
        let status = self.entry.status(now, limit);
        let current = || self.configuration.generation();
        status.generation.unwrap_or_else(current)
    }

    /// Control addresses of the other members that are alive.
    pub(crate) fn live_controls(&self) -> Vec<SocketAddr> {
        let machine = self.machine();
        let alive = machine
            .others()
            .filter(|member| member.state == State::Alive);
        alive.map(|member| member.profile.control).collect()
    }

    pub(crate) fn directory(&self) -> Directory {
        let leaving = self.hosts.leaving();
        let names: BTreeSet<id::Host> = leaving.iter().map(|host| host.name.clone()).collect();
        Directory {
            places: directory::choose(self.machine().members(), &names),
            leaving: leaving.into_iter().map(|host| host.address).collect(),
        }
    }

    pub(crate) fn instruction(&self, now: Duration) -> Instruction {
        let places = self.directory().places.len();
        let leaving = self.hosts.leaving();
        let listed = leaving.iter().any(|host| host.name == self.settings.host);
        Instruction {
            drain: listed || self.drain.load(Ordering::Relaxed),
            fresh: self.is_fresh(now),
            entries: u32::try_from(places).unwrap_or(u32::MAX).max(1),
        }
    }

    fn is_fresh(&self, now: Duration) -> bool {
        let peer = |member: &Member| freshness::Peer {
            host: member.host.clone(),
            reachable: member.state == State::Alive,
        };
        let peers: Vec<_> = self
            .machine()
            .others()
            .filter(|member| member.state != State::Left)
            .map(peer)
            .collect();
        let age = self.configuration.confirmation_age(now);
        let limit = self.configuration.freshness_limit();
        freshness::decide(&self.settings.host, &peers, age, limit) == freshness::Decision::Serve
    }
}
