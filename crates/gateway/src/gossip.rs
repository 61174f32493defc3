//! Exchanges load reports and evidence with other hosts.

use core::net::SocketAddr;
use core::net::SocketAddrV4;
use core::time::Duration;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol::net::UdpSocket;

use crate::Error;
use crate::State;
use crate::clock;
use crate::consult;
use crate::registration::Registration;
use crate::stall;
use agatemill_fleet::Tally;
use agatemill_fleet::census;
use agatemill_fleet::quarantine;
use agatemill_fleet::suspicion;
use agatemill_fleet::throttle;
use agatemill_fleet::throttle::message::Ask;
use agatemill_fleet::throttle::message::Grant;

/// Interval between rounds: a few times the time that a prompt takes, and a small part of the lifetime of a
/// stream.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum datagram size in bytes, enough for some 5,000 servers.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A message to another host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// What a host tells in a round.
    Round(Box<Round>),
    /// Asks the leader for credits.
    Ask(Ask),
    /// The leader's answer.
    Grant(Grant),
}

/// What a host tells another one in a round.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Round {
    census: census::Message,
    quarantine: quarantine::notice::Notice,
    throttle: throttle::message::Notice,
    /// Servers that may be lost.
    suspicion: suspicion::Notice,
    /// Version of the configuration in force.
    configuration: u64,
}

/// Binds the UDP socket.
///
/// # Errors
///
/// [`Error::Listen`].
pub async fn open(address: SocketAddrV4) -> Result<UdpSocket, Error> {
    let socket = UdpSocket::bind(address).await;
    socket.map_err(|source| Error::Listen { address, source })
}

/// Sends a gossip round at each interval, and when there is news, until the process ends.
pub async fn send(state: Arc<State>, socket: UdpSocket) {
    let mut news = state.listen();
    let mut delay = census::news_delay(0);
    loop {
        let interval = ROUND_INTERVAL.mul_f64(0.9 + 0.2 * fastrand::f64());
        if agatemill_runtime::timeout(interval, &mut news)
            .await
            .is_some()
        {
            news = state.listen();
            agatemill_runtime::sleep(delay).await;
        }
        let now = agatemill_runtime::now();
        let mut own = Tally::from(&*state.load());
        own.demand = state.meter().demand(now);
        let members = state.view().members.clone();
        let messages = state.census().round(own, &members, now);
        delay = census::news_delay(messages.len());
        state.turns.wake();
        let quarantine = state.quarantine().notice(now);
        let limits = state.throttle().notice(clock::boot_time());
        let listed = state.view().services.values().map(Vec::len).sum();
        let suspicion = state.suspicion().notice(listed, now);
        let configuration = state.version();
        for (address, census) in messages {
            let round = Round {
                census,
                quarantine: quarantine.clone(),
                throttle: limits.clone(),
                suspicion: suspicion.clone(),
                configuration,
            };
            send_message(&state, &socket, address, &Message::Round(Box::new(round))).await;
        }
    }
}

/// Sends a message to another host. A lost message is made up for by the next one.
pub async fn send_message(
    state: &State,
    socket: &UdpSocket,
    address: SocketAddrV4,
    message: &Message,
) {
    let result = async {
        let bytes = postcard::to_stdvec(message).map_err(std::io::Error::other)?;
        socket.send_to(&bytes, address).await
    };
    if let Err(error) = result.await {
        log::debug!(host:% = address, error:%; "gossip: cannot send a datagram");
        state.metrics.count_event("gossip", "send_failed");
    }
}

/// Receives messages until the process ends.
pub async fn receive(state: Arc<State>, registration: Arc<Registration>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // Receiving does not wait while datagrams are at hand.
        smol::future::yield_now().await;
        let received = socket.recv_from(&mut buffer).await;
        let message = match received {
            Ok((length, SocketAddr::V4(host))) => {
                postcard::from_bytes::<Message>(&buffer[..length])
                    .ok()
                    .map(|message| (message, host))
            }
            // A datagram sent earlier reached a closed port; the socket stays usable. It has an IPv4 address.
            Ok((_, SocketAddr::V6(_))) | Err(_) => None,
        };
        match message {
            Some((Message::Round(round), host)) => {
                consult::observe(&state, round.configuration, host);
                receive_round(&state, *round, host);
            }
            Some((Message::Ask(ask), host)) => {
                crate::throttle::answer(&state, &registration, &socket, ask, host).await;
            }
            Some((Message::Grant(grant), _)) => crate::throttle::accept(&state, grant),
            None => {
                state.metrics.count_event("gossip", "unreadable");
                agatemill_runtime::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

fn receive_round(state: &Arc<State>, round: Round, host: SocketAddrV4) {
    let now = agatemill_runtime::now();
    state.census().receive(round.census, host, now);
    state.turns.wake();
    let has_evidence = state.quarantine().receive(round.quarantine, now);
    let has_limits = state.throttle().receive(round.throttle, clock::boot_time());
    stall::check(state, &round.suspicion.servers);
    if has_evidence || has_limits {
        state.announce();
    }
}
