//! RPC service for other controls.

use std::sync::Arc;

use tarpc::context::Context;

use crate::record;
use crate::shared::Shared;
use crate::spread;
use agatemill_core::number::Generation;
use agatemill_wire::Envelope;
use agatemill_wire::Leaving;
use agatemill_wire::Member;
use agatemill_wire::peer;

/// RPC service for other controls.
#[derive(Clone)]
pub(crate) struct Peer {
    pub(crate) shared: Arc<Shared>,
}

impl peer::Peer for Peer {
    async fn push(self, _: Context, envelope: Envelope) -> u64 {
        spread::accept(&self.shared, envelope);
        self.shared.configuration.generation().0
    }

    async fn pull(self, _: Context, known: u64) -> Option<Envelope> {
        let newer = self.shared.configuration.newer_than(Generation(known));
        newer.as_ref().map(Envelope::from)
    }

    async fn leaving(self, _: Context, known: u64) -> Option<Leaving> {
        self.shared.hosts.newer_than(known)
    }

    async fn sync(self, _: Context, members: Vec<Member>) -> Vec<Member> {
        let mut machine = self.shared.machine();
        machine.merge(agatemill_runtime::now(), record::from_wire(members));
        record::to_wire(machine.members())
    }
}
