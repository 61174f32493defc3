//! Tells other hosts of this host's work, and hears of theirs.

use core::time::Duration;
use std::sync::Arc;

use smol::net::UdpSocket;

use crate::Error;
use crate::State;
use agatemill_fleet::Tally;
use agatemill_fleet::census::Message;

/// Pause between rounds: a few times the life of a request's prompt, and a small part of a stream's.
const ROUND: Duration = Duration::from_millis(250);

/// Largest datagram, in bytes: some 5,000 servers.
const MAX_BYTES: usize = 60_000;

/// Opens the socket.
///
/// # Errors
///
/// [`Error::Listen`].
pub async fn open(address: core::net::SocketAddrV4) -> Result<UdpSocket, Error> {
    let socket = UdpSocket::bind(address).await;
    socket.map_err(|source| Error::Listen { address, source })
}

/// Sends one round after the other until the process ends.
pub async fn send(state: Arc<State>, socket: UdpSocket) {
    loop {
        agatemill_runtime::sleep(ROUND.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        let own = Tally::from(&*state.load());
        let members = state.view().members.clone();
        let now = agatemill_runtime::now();
        let messages = state.census().round(own, &members, now);
        for (address, message) in messages {
            if let Err(error) = deliver(&socket, address, &message).await {
                log::debug!(host:% = address, error:%; "gossip: not sent");
                state.metrics.count_event("gossip", "send_failed");
            }
        }
    }
}

async fn deliver(
    socket: &UdpSocket,
    address: core::net::SocketAddrV4,
    message: &Message,
) -> std::io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(std::io::Error::other)?;
    socket.send_to(&bytes, address).await.map(drop)
}

/// Takes messages until the process ends.
pub async fn receive(state: Arc<State>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let message = match received {
            Ok((length, _)) => postcard::from_bytes(&buffer[..length]).ok(),
            // An earlier datagram met a closed port; the socket stays usable.
            Err(_) => None,
        };
        if let Some(message) = message {
            state.census().receive(message, agatemill_runtime::now());
        } else {
            state.metrics.count_event("gossip", "unreadable");
            agatemill_runtime::sleep(Duration::from_millis(1)).await;
        }
    }
}
