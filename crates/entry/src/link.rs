//! Connection to the control process of this host.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use async_compat::CompatExt;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;

use crate::state::State;
use agatemill_config::Envelope;
use agatemill_wire::Report;
use agatemill_wire::local::LocalClient;
use agatemill_wire::transport;

/// Interval of the reports and of the directory queries.
const INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for opening a connection and for a call; `follow` adds [`FOLLOW_WAIT`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the control may wait for a newer configuration before it responds.
const FOLLOW_WAIT: Duration = Duration::from_secs(10);

/// Bounds of the backoff before the next attempt to connect.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Maintains the connection: connects, follows the configuration, sends reports and reads the directory;
/// reconnects when a call fails.
pub async fn run(state: Arc<State>, control: SocketAddr) {
    let mut backoff = MIN_BACKOFF;
    loop {
        match connect(control).await {
            Ok(client) => {
                log::info!(control:%; "control: connected");
                backoff = MIN_BACKOFF;
                let failure = run_connection(&state, &client).await;
                log::warn!(control:%, error:% = failure; "control: connection lost");
            }
            Err(error) => log::warn!(control:%, error:%; "control: connection failed"),
        }
        state.metrics.count_event("control", "failed");
        agatemill_runtime::sleep(backoff.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn connect(control: SocketAddr) -> io::Result<LocalClient> {
    let connect = transport::connect(control, transport::Service::Local);
    let transport = agatemill_runtime::timeout(CALL_TIMEOUT, connect)
        .await
        .ok_or(io::ErrorKind::TimedOut)??;
    let new = LocalClient::new(client::Config::default(), transport);
    agatemill_runtime::spawn(new.dispatch.compat()).detach();
    Ok(new.client)
}

/// Uses a connection until a call fails; returns the error.
async fn run_connection(state: &State, client: &LocalClient) -> RpcError {
    let follow = follow(state, client);
    let report = report(state, client);
    let directory = directory(state, client);
    smol::future::or(follow, smol::future::or(report, directory)).await
}

async fn follow(state: &State, client: &LocalClient) -> RpcError {
    loop {
        let known = state.configuration_store.generation().0;
        let context = context(FOLLOW_WAIT + CALL_TIMEOUT);
        match client.follow(context, known, FOLLOW_WAIT).compat().await {
            Ok(Some(envelope)) => {
                if !accept(state, envelope) {
                    // The control would offer the same document again at once.
                    agatemill_runtime::sleep(INTERVAL).await;
                }
            }
            Ok(None) => {}
            Err(error) => return error,
        }
    }
}

fn accept(state: &State, envelope: agatemill_wire::Envelope) -> bool {
    match Envelope::try_from(envelope) {
        // `State::accept` logs the rejection.
        Ok(envelope) => state.accept(&envelope).is_ok(),
        Err(mismatch) => {
            state.metrics.count_event("configuration", "refused");
            log::error!(error:% = mismatch; "config: rejected");
            false
        }
    }
}

async fn report(state: &State, client: &LocalClient) -> RpcError {
    loop {
        let sent = agatemill_runtime::now();
        let draining = state.progress.is_draining();
        let call = client.report(context(CALL_TIMEOUT), current_report(state, draining));
        match call.compat().await {
            Ok(instruction) => {
                state.freshness.record_instruction(instruction, sent);
                if instruction.drain && state.progress.start_drain() {
                    log::info!("entry: drain requested by the control");
                }
            }
            Err(error) => return error,
        }
        let pause = agatemill_runtime::sleep(INTERVAL);
        if draining {
            pause.await;
        } else {
            // A drain that starts during the pause is reported at once.
            smol::future::or(pause, state.progress.wait_for_drain()).await;
        }
    }
}

fn current_report(state: &State, draining: bool) -> Report {
    Report {
        address: state.address,
        ready: state.configuration_store.current().is_some() && !draining,
        draining,
        in_flight: state.progress.in_flight(),
        generation: state.configuration_store.generation().0,
    }
}

async fn directory(state: &State, client: &LocalClient) -> RpcError {
    loop {
        match client.directory(context(CALL_TIMEOUT)).compat().await {
            Ok(directory) => state.set_directory(directory),
            Err(error) => return error,
        }
        agatemill_runtime::sleep(INTERVAL).await;
    }
}

fn context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}
