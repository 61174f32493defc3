//! Gossip over UDP.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use crate::record;
use crate::shared::Shared;
use crate::spread::Source;
use agatemill_core::Digest;
use agatemill_core::number::Generation;
use agatemill_membership::Kind;
use agatemill_membership::Message;
use agatemill_membership::Outgoing;
use agatemill_runtime::traffic;
use agatemill_wire::Datagram;
use agatemill_wire::datagram;

/// Time between two ticks of the failure detector.
const TICK: Duration = Duration::from_millis(50);

/// How long to wait after an error of the socket, which may repeat at once.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Ticks the failure detector.
pub(crate) async fn tick(shared: Arc<Shared>) {
    loop {
        let now = agatemill_runtime::now();
        shared.refresh(now);
        let out = shared.machine().tick(now);
        send(&shared, out).await;
        agatemill_runtime::sleep(TICK).await;
    }
}

/// Receives datagrams.
pub(crate) async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; 2 * datagram::MAX_BYTES];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((length, address)) => {
                traffic::received(length);
                take(&shared, &buffer[..length], address).await;
            }
            Err(error) => {
                log::warn!(error:%; "members: cannot receive datagrams");
                agatemill_runtime::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

/// Sends messages; a datagram that cannot be sent counts as lost.
pub(crate) async fn send(shared: &Shared, out: Vec<Outgoing>) {
    for outgoing in out {
        let Some(bytes) = encode(shared, outgoing.message) else {
            continue;
        };
        match shared.socket.send_to(&bytes, outgoing.address).await {
            Ok(length) => traffic::sent(length),
            Err(error) => {
                log::debug!(address:% = outgoing.address, error:%; "members: cannot send a datagram");
            }
        }
    }
}

async fn take(shared: &Shared, bytes: &[u8], address: SocketAddr) {
    let datagram = match Datagram::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!(address:%, error:%; "members: dropped a datagram");
            return;
        }
    };
    if datagram.environment != environment(shared) || datagram.from == shared.settings.host {
        return;
    }
    let now = agatemill_runtime::now();
    let generation = Generation(datagram.generation);
    let hosts = datagram.hosts;
    if let Some(age) = datagram.confirmed_ms {
        let at = now.saturating_sub(Duration::from_millis(age));
        shared.configuration.confirm(generation, at);
    }
    let from = datagram.from.clone();
    let message = decode(datagram);
    let out = shared.machine().receive(now, address, message);
    let newer_hosts = hosts > shared.hosts.revision();
    if newer_hosts || generation > shared.configuration.generation() {
        let machine = shared.machine();
        let found = machine.others().find(|member| member.host == from);
        if let Some(member) = found {
            // When the queue is full, pulls are already under way.
            let _ = shared.pulls.try_send(Source {
                control: member.profile.control,
                generation,
                hosts,
            });
        }
    }
    send(shared, out).await;
}

fn environment(shared: &Shared) -> u64 {
    Digest::of(shared.settings.environment.as_str().as_bytes()).prefix()
}

fn decode(datagram: Datagram) -> Message {
    Message {
        from: datagram.from,
        kind: match datagram.kind {
            datagram::Kind::Ping => Kind::Ping,
            datagram::Kind::Ack => Kind::Ack,
            datagram::Kind::PingRequest { target } => Kind::PingRequest { target },
        },
        sequence: datagram.sequence,
        members: record::from_wire(datagram.members),
    }
}

/// Encodes a message, without some of its updates if it does not fit otherwise.
fn encode(shared: &Shared, message: Message) -> Option<Vec<u8>> {
    let age = shared.configuration.age(agatemill_runtime::now());
    let mut datagram = Datagram {
        environment: environment(shared),
        from: message.from,
        kind: match message.kind {
            Kind::Ping => datagram::Kind::Ping,
            Kind::Ack => datagram::Kind::Ack,
            Kind::PingRequest { target } => datagram::Kind::PingRequest { target },
        },
        sequence: message.sequence,
        generation: shared.configuration.generation().0,
        confirmed_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        hosts: shared.hosts.revision(),
        members: record::to_wire(message.members.iter()),
    };
    loop {
        match datagram.encode() {
            Ok(bytes) => return Some(bytes),
            Err(error) => {
                log::debug!(error:%; "members: left an update out of a datagram");
                datagram.members.pop()?;
            }
        }
    }
}
