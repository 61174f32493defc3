//! RPC service for the entry on this host.

use core::time::Duration;
use std::sync::Arc;

use tarpc::context::Context;

use crate::shared::Shared;
use agatemill_core::number::Generation;
use agatemill_wire::Directory;
use agatemill_wire::Envelope;
use agatemill_wire::Instruction;
use agatemill_wire::Report;
use agatemill_wire::local;

/// RPC service for the entry on this host, over one connection.
#[derive(Clone)]
pub(crate) struct Local {
    pub(crate) shared: Arc<Shared>,
    pub(crate) connection: u64,
}

impl local::Local for Local {
    async fn follow(self, _: Context, known: u64, wait: Duration) -> Option<Envelope> {
        let newer = self.shared.configuration.follow(Generation(known), wait);
        newer.await.as_ref().map(Envelope::from)
    }

    async fn report(self, _: Context, report: Report) -> Instruction {
        let now = agatemill_runtime::now();
        self.shared.entry.report(report, now, self.connection);
        self.shared.update_profile(now);
        self.shared.instruction(now)
    }

    async fn directory(self, _: Context) -> Directory {
        self.shared.directory()
    }
}
