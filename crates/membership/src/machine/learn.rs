//! What a machine does with records that it receives.

use core::time::Duration;

use super::Known;
use super::Machine;
use crate::Member;
use agatemill_core::id;
use agatemill_core::number::Incarnation;

impl Machine {
    pub(super) fn learn(&mut self, now: Duration, member: Member) {
        if member.host == self.own.host {
            self.defend(&member);
            return;
        }
        let Some(known) = self.others.get_mut(&member.host) else {
            self.welcome(now, member);
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
        let served = old.profile.service != merged.profile.service;
        let minor = old.run == merged.run && old.standing() == merged.standing() && !served;
        self.urgent |= old.state != merged.state || served;
        if merged.state.is_present() && !old.state.is_present() {
            self.enqueue(merged.host.clone());
        }
        if !merged.state.is_present() {
            self.probes.retain(|probe| probe.target != merged.host);
        }
        if minor {
            self.news.add_minor(merged.host);
        } else {
            self.news.add(merged.host);
        }
    }

    /// Adds a member that was not known.
    fn welcome(&mut self, now: Duration, member: Member) {
        if let Some(old) = self.forgotten.get(&member.host) {
            if old.member.merge(&member).standing() == old.member.standing()
                && old.member.run >= member.run
            {
                return;
            }
            self.forgotten.remove(&member.host);
        }
        log::info!(host:% = member.host, state:? = member.state; "members: new member");
        if member.state.is_present() {
            self.enqueue(member.host.clone());
            self.urgent = true;
        }
        self.news.add(member.host.clone());
        let known = Known { member, since: now };
        self.others.insert(known.member.host.clone(), known);
    }

    /// Puts a member at a random place of the probe order, so that members that join together are not
    /// probed together.
    fn enqueue(&mut self, host: id::Host) {
        if !self.order.contains(&host) {
            let index = self.random.usize(..=self.order.len());
            self.order.insert(index, host);
        }
    }

    /// Takes what others say of this host, and refutes what is wrong.
    fn defend(&mut self, said: &Member) {
        if said.run < self.own.run || (said.run == self.own.run && self.agrees(said)) {
            if (said.run, said.standing()) < (self.own.run, self.own.standing()) {
                // The sender has missed the refutation.
                self.news.add(self.own.host.clone());
            }
            return;
        }
        if said.run > self.own.run {
            // The wall clock, which run ids come from, has gone back since the last run.
            self.own.run = said.run.saturating_add(1);
        }
        self.own.incarnation = after(self.own.incarnation.max(said.incarnation));
        self.own.revision = self.own.revision.max(said.revision).saturating_add(1);
        self.news.add(self.own.host.clone());
        self.urgent = true;
        log::warn!(state:? = said.state, incarnation:% = self.own.incarnation;
            "members: refuted a record of this host");
    }

    fn agrees(&self, said: &Member) -> bool {
        let standing = said.standing() <= self.own.standing();
        let described = said.revision < self.own.revision
            || (said.revision == self.own.revision && said.profile == self.own.profile);
        standing && described
    }
}

/// The next incarnation. Saturates, because a malformed datagram must not stop the process.
pub(super) fn after(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0.saturating_add(1))
}
