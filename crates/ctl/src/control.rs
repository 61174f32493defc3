//! RPC client of a control.

use core::fmt::Display;
use core::net::SocketAddr;
use core::time::Duration;

use async_compat::CompatExt;
use tarpc::client;
use tarpc::context;

use crate::error::Error;
use agatemill_core::id;
use agatemill_core::number::Generation;
use agatemill_wire::Count;
use agatemill_wire::Overview;
use agatemill_wire::operator::OperatorClient;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

/// Timeout of a connection attempt; calls have the default deadline of tarpc, 10 s.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection to a control.
#[derive(Debug)]
pub struct Control {
    address: SocketAddr,
    client: OperatorClient,
}

impl Control {
    /// Connects to the control at `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Control`].
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let connecting = transport::connect(address, Service::Operator);
        let connected = agatemill_runtime::timeout(CONNECT_TIMEOUT, connecting).await;
        let connected =
            connected.ok_or_else(|| control_error(address, &"the connection attempt timed out"))?;
        let transport = connected.map_err(|error| control_error(address, &error))?;
        let new = OperatorClient::new(client::Config::default(), transport);
        let dispatch = new.dispatch;
        let run = async move {
            // Connection errors surface as errors of the calls.
            let _ = dispatch.await;
        };
        agatemill_runtime::spawn(run.compat()).detach();
        let client = new.client;
        Ok(Self { address, client })
    }

    /// State of the system as known to this control.
    ///
    /// # Errors
    ///
    /// [`Error::Control`].
    pub async fn overview(&self) -> Result<Overview, Error> {
        let call = self.client.overview(context::current());
        let answer = call.compat().await;
        answer.map_err(|error| control_error(self.address, &error))
    }

    /// Counts the members that have a generation in force.
    ///
    /// # Errors
    ///
    /// [`Error::Control`].
    pub async fn count(&self, generation: Generation) -> Result<Count, Error> {
        let call = self.client.count(context::current(), generation.0);
        let answer = call.compat().await;
        answer.map_err(|error| control_error(self.address, &error))
    }

    /// Drains a host; returns false if the control does not know it.
    ///
    /// # Errors
    ///
    /// [`Error::Control`].
    pub async fn drain(&self, host: id::Host) -> Result<bool, Error> {
        let call = self.client.drain(context::current(), host);
        let answer = call.compat().await;
        answer.map_err(|error| control_error(self.address, &error))
    }
}

fn control_error(address: SocketAddr, reason: &dyn Display) -> Error {
    Error::Control {
        address,
        reason: reason.to_string(),
    }
}
