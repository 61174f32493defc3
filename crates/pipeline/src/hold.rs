//! Guards that release a chain and cancel its sessions.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use agatemill_core::id;
use agatemill_engine::Client;
use agatemill_engine::transfer;
use agatemill_routing::Chain;
use agatemill_routing::Table;

/// Timeout of one attempt to cancel a session.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay between attempts to cancel a session.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of attempts to cancel a session.
const MAX_CANCEL_ATTEMPTS: u32 = 3;

/// RAII guard for a chain and the sessions of one attempt. Closing or dropping it cancels the sessions and reports
/// them to the table as closed exactly once.
#[derive(Debug)]
pub struct Guard {
    table: Arc<Table>,
    chain: Chain,
    sessions: Sessions,
}

impl Guard {
    /// Takes ownership of a chain that [`Table::choose`] returned.
    pub fn new(table: Arc<Table>, chain: Chain, client: Client, name: id::Session) -> Self {
        let addresses = chain.stages().iter().map(|stage| stage.address);
        let sessions = Sessions {
            addresses: addresses.collect(),
            name,
            client,
        };
        Self {
            table,
            chain,
            sessions,
        }
    }

    /// The chain.
    pub fn chain(&self) -> &Chain {
        &self.chain
    }

    /// The sessions.
    pub fn sessions(&self) -> &Sessions {
        &self.sessions
    }

    /// Releases the chain.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.table
            .record_close(&self.chain, agatemill_runtime::now());
        self.sessions.cancel();
    }
}

/// The sessions of one attempt. They have the same name on every engine of the chain.
#[derive(Clone, Debug)]
pub struct Sessions {
    name: id::Session,
    addresses: Vec<SocketAddr>,
    client: Client,
}

impl Sessions {
    /// Name of the sessions.
    pub fn name(&self) -> &id::Session {
        &self.name
    }

    /// Cancels the sessions in the background.
    pub fn cancel(&self) {
        for address in &self.addresses {
            let cancel = cancel(self.client.clone(), *address, self.name.clone());
            agatemill_runtime::spawn(cancel).detach();
        }
    }
}

async fn cancel(client: Client, address: SocketAddr, session: id::Session) {
    let name = transfer::Name { session };
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        match client.cancel(address, &name, CANCEL_TIMEOUT).await {
            Ok(()) => return,
            Err(error) => {
                log::debug!(session:% = name.session, error:%; "engine: failed to cancel session");
            }
        }
        agatemill_runtime::sleep(CANCEL_RETRY_DELAY).await;
    }
}

/// Sessions of earlier attempts, which are cancelled a second time when the generation ends: a step in flight during
/// the first cancellation may have recreated a session.
#[derive(Debug, Default)]
pub struct Retired(Vec<Sessions>);

impl Retired {
    /// Adds the sessions of an attempt that has ended.
    pub fn push(&mut self, sessions: Sessions) {
        self.0.push(sessions);
    }
}

impl Drop for Retired {
    fn drop(&mut self) {
        self.0.iter().for_each(Sessions::cancel);
    }
}
