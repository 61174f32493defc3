//! Chains in use.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use agatemill_core::id;
use agatemill_engine::Client;
use agatemill_engine::transfer;
use agatemill_routing::Chain;
use agatemill_routing::Table;

/// Limit of one try to cancel a session.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Wait before the next try to cancel a session.
const CANCEL_PAUSE: Duration = Duration::from_millis(200);

/// Tries to cancel a session.
const CANCEL_TRIES: u32 = 3;

/// A chain with the sessions of one attempt. Closing or dropping it cancels the sessions and tells the table
/// exactly once that they are closed.
#[derive(Debug)]
pub struct Hold {
    table: Arc<Table>,
    chain: Chain,
    sessions: Sessions,
}

impl Hold {
    /// Takes charge of a chain that [`Table::choose`] returned.
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

    /// Ends the use of the chain.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.table.closed(&self.chain, agatemill_runtime::now());
        self.sessions.cancel();
    }
}

/// The sessions of one attempt, of the same name on every engine of its chain.
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

    /// Cancels them in the background.
    pub fn cancel(&self) {
        for address in &self.addresses {
            let cancel = cancel(self.client.clone(), *address, self.name.clone());
            agatemill_runtime::spawn(cancel).detach();
        }
    }
}

async fn cancel(client: Client, address: SocketAddr, session: id::Session) {
    let name = transfer::Name { session };
    for _ in 0..CANCEL_TRIES {
        match client.cancel(address, &name, CANCEL_LIMIT).await {
            Ok(()) => return,
            Err(error) => {
                log::debug!(session:% = name.session, error:%; "engine: session not cancelled");
            }
        }
        agatemill_runtime::sleep(CANCEL_PAUSE).await;
    }
}

/// Sessions of earlier attempts, which are cancelled once more at the end: a step that was on its way at
/// the first cancellation may have created one again.
#[derive(Debug, Default)]
pub struct Past(Vec<Sessions>);

impl Past {
    /// Adds the sessions of an attempt that has ended.
    pub fn push(&mut self, sessions: Sessions) {
        self.0.push(sessions);
    }
}

impl Drop for Past {
    fn drop(&mut self) {
        self.0.iter().for_each(Sessions::cancel);
    }
}
