//! Handling of received membership records.

use core::time::Duration;

use super::Entry;
use super::Machine;
use crate::Member;
use agatemill_core::id;
use agatemill_core::number::Incarnation;

impl Machine {
    pub(super) fn learn(&mut self, now: Duration, member: Member) {
        if member.host == self.own.host {
            self.handle_own_record(&member);
            return;
        }
        let Some(known) = self.others.get_mut(&member.host) else {
            self.insert_member(now, member);
            return;
        };
        let merged = known.member.merge(&member);
        if merged == known.member {
            return;
        }
        let old = core::mem::replace(&mut known.member, merged.clone());
        if old.state != merged.state {
            known.since = now;
            log::info!(host:% = merged.host, state:? = merged.state; "members: state changed");
        }
        let service_changed = old.profile.service != merged.profile.service;
        let minor =
            old.run == merged.run && old.standing() == merged.standing() && !service_changed;
        self.urgent |= old.state != merged.state || service_changed;
        if merged.state.is_present() && !old.state.is_present() {
            self.enqueue(merged.host.clone());
        }
        if !merged.state.is_present() {
            self.probes.retain(|probe| probe.target != merged.host);
        }
        if minor {
            self.updates.add_minor(merged.host);
        } else {
            self.updates.add(merged.host);
        }
    }

    /// Adds an unknown member, unless a tombstone shows that the record is not newer.
    fn insert_member(&mut self, now: Duration, member: Member) {
        if let Some(old) = self.tombstones.get(&member.host) {
            if old.member.merge(&member).standing() == old.member.standing()
                && old.member.run >= member.run
            {
                return;
            }
            self.tombstones.remove(&member.host);
        }
        log::info!(host:% = member.host, state:? = member.state; "members: new member");
        if member.state.is_present() {
            self.enqueue(member.host.clone());
            self.urgent = true;
        }
        self.updates.add(member.host.clone());
        let known = Entry { member, since: now };
        self.others.insert(known.member.host.clone(), known);
    }

    /// Inserts a member at a random position of the probe order, so that members that join together are not
    /// probed together.
    fn enqueue(&mut self, host: id::Host) {
        if !self.order.contains(&host) {
            let index = self.random.usize(..=self.order.len());
            self.order.insert(index, host);
        }
    }

    /// Handles a record of this host sent by another member, and refutes it if it is wrong.
    fn handle_own_record(&mut self, received: &Member) {
        if received.run < self.own.run
            || (received.run == self.own.run && self.is_consistent_with(received))
        {
            if (received.run, received.standing()) < (self.own.run, self.own.standing()) {
                // The sender has not received the refutation yet.
                self.updates.add(self.own.host.clone());
            }
            return;
        }
        if received.run > self.own.run {
            // Run ids come from the wall clock, which was set back since the last run.
            self.own.run = received.run.saturating_add(1);
        }
        self.own.incarnation = next_incarnation(self.own.incarnation.max(received.incarnation));
        self.own.revision = self.own.revision.max(received.revision).saturating_add(1);
        self.updates.add(self.own.host.clone());
        self.urgent = true;
        log::warn!(state:? = received.state, incarnation:% = self.own.incarnation;
            "members: refuted a record of this host");
    }

    fn is_consistent_with(&self, received: &Member) -> bool {
        let standing = received.standing() <= self.own.standing();
        let described = received.revision < self.own.revision
            || (received.revision == self.own.revision && received.profile == self.own.profile);
        standing && described
    }
}

/// Returns the next incarnation. Saturates, because a malformed datagram must not cause an overflow panic.
pub(super) fn next_incarnation(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0.saturating_add(1))
}
