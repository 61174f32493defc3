//! Keeps the requests to a server within the rate that it names for all hosts together.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashSet;
use std::sync::Arc;

use hyper::HeaderMap;
use smol::net::UdpSocket;

use crate::State;
use crate::backoff;
use crate::clock;
use crate::gossip;
use crate::gossip::Message;
use crate::registration::Registration;
use agatemill_adapter::header;
use agatemill_core::id;
use agatemill_fleet::tally::Key;
use agatemill_fleet::throttle::message::Ask;
use agatemill_fleet::throttle::message::Grant;

/// Interval between asks for credits.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between looks for limits while no server has one.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between asks while requests wait for credits.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between asks for each host, which limits the leader to some hundred asks a second.
const ASK_INTERVAL_PER_HOST: Duration = Duration::from_micros(2_500);

/// Records the limit that a server names in a response to a request that was sent at `sent`. Only a response that the
/// server signed shows that it has none.
pub fn observe(state: &State, server: &id::Server, headers: &HeaderMap, sent: Duration) {
    let limit = header::request_limit(headers);
    let mut throttle = state.throttle();
    if limit.is_none() && (throttle.is_idle() || !header::is_sealed(headers)) {
        return;
    }
    let has_changed = throttle.observe(Key::from(server), limit, sent, clock::boot_time());
    drop(throttle);
    if has_changed {
        match limit {
            Some(limit) => log::info!(server:%, limit:%; "servers: request limit named"),
            None => log::info!(server:%; "servers: request limit lifted"),
        }
        state.metrics.count_event("servers", "limit_changed");
        state.announce();
    }
}

/// Records a request for which a server with a limit would be useful, so that the next ask includes it.
pub fn want(state: &State, service: &id::Service) {
    if state.throttle().is_idle() {
        return;
    }
    let servers = state.view().servers(service).to_vec();
    let departures = state.departures();
    let mut throttle = state.throttle();
    let limited = servers.iter().filter(|server| {
        departures.is_staying(server)
            && server.takes_requests()
            && throttle.limit(server.key).is_some()
            && backoff::left(state, server).is_none()
    });
    let limited: Vec<Key> = limited.map(|server| server.key).collect();
    if let Some(server) = fastrand::choice(limited) {
        throttle.want(server);
    }
}

/// Asks the leader for credits until the process ends.
pub async fn run(state: Arc<State>, registration: Arc<Registration>, socket: UdpSocket) {
    loop {
        let wait = state.listen_for_waiting();
        let hosts = u32::try_from(state.host_count()).unwrap_or(u32::MAX);
        let pause = MIN_ASK_INTERVAL.max(ASK_INTERVAL_PER_HOST.saturating_mul(hosts));
        let interval = if state.throttle().is_idle() {
            IDLE_INTERVAL
        } else {
            ASK_INTERVAL
        };
        agatemill_runtime::timeout(interval.max(pause), wait).await;
        let Some(ask) = next_ask(&state) else {
            continue;
        };
        if registration.fence(&state).is_some() {
            if let Some(grant) = grant(&state, &registration, ask) {
                accept(&state, grant);
            }
        } else if let Some(leader) = leader(&state) {
            gossip::send_message(&state, &socket, leader, &Message::Ask(ask)).await;
        }
        agatemill_runtime::sleep(pause).await;
    }
}

fn next_ask(state: &State) -> Option<Ask> {
    if state.throttle().is_idle() {
        return None;
    }
    let view = state.view();
    let servers = view.services.values().flatten();
    let listed: HashSet<Key> = servers.map(|server| server.key).collect();
    drop(view);
    let now = clock::boot_time();
    let mut throttle = state.throttle();
    throttle.retain(|server| listed.contains(&server), now);
    throttle.ask(now)
}

/// Address of the leader, which has the allocator.
fn leader(state: &State) -> Option<SocketAddrV4> {
    let view = state.view();
    let host = view.planner.as_ref()?.host()?;
    view.members.get(&host).map(|member| member.exchange)
}

/// Answers an ask if this host leads.
#[must_use]
pub fn grant(state: &State, registration: &Registration, ask: Ask) -> Option<Grant> {
    let term = registration.fence(state)?;
    if state
        .view()
        .may_have_former_leader(agatemill_runtime::now())
    {
        // Two leaders together would give out more than the limit.
        return None;
    }
    let throttle = state.throttle();
    let limit = |server| throttle.limit(server);
    let grant = state
        .allocator()
        .grant(term, ask, limit, clock::boot_time());
    Some(grant)
}

/// Answers the ask of another host.
pub async fn answer(
    state: &State,
    registration: &Registration,
    socket: &UdpSocket,
    ask: Ask,
    host: SocketAddrV4,
) {
    if let Some(grant) = grant(state, registration, ask) {
        gossip::send_message(state, socket, host, &Message::Grant(grant)).await;
    }
}

/// Adds the credits of an answer.
pub fn accept(state: &State, grant: Grant) {
    state.throttle().accept(grant, clock::boot_time());
}

/// Takes a credit for a request to a server; returns whether the request may be sent.
#[must_use]
pub fn take(state: &State, server: Key) -> bool {
    state.throttle().take(server, clock::boot_time())
}
