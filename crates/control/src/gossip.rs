//! Transport of the membership protocol and of queries for generations over UDP.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use crate::count;
use crate::count::Response;
use crate::record;
use crate::shared::Shared;
use crate::spread::Source;
use agatemill_core::Digest;
use agatemill_core::id;
use agatemill_core::number::Generation;
use agatemill_membership::Kind;
use agatemill_membership::Message;
use agatemill_membership::Outgoing;
use agatemill_runtime::traffic;
use agatemill_wire::Datagram;
use agatemill_wire::datagram;

/// Time between two ticks of the failure detector.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Pause after a socket error; prevents a busy loop if the error repeats.
const ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// Runs the failure detector periodically.
pub(crate) async fn tick(shared: Arc<Shared>) {
    loop {
        let now = agatemill_runtime::now();
        shared.update_profile(now);
        let out = shared.machine().tick(now);
        send(&shared, out).await;
        agatemill_runtime::sleep(TICK_INTERVAL).await;
    }
}

/// Receives and handles datagrams.
pub(crate) async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; 2 * datagram::MAX_BYTES];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((length, address)) => {
                traffic::record_received(length);
                handle(&shared, &buffer[..length], address).await;
                // Receiving does not wait while datagrams are at hand.
                smol::future::yield_now().await;
            }
            Err(error) => {
                log::warn!(error:%; "members: cannot receive datagrams");
                agatemill_runtime::sleep(ERROR_BACKOFF).await;
            }
        }
    }
}

/// Sends messages; a send failure counts as packet loss.
pub(crate) async fn send(shared: &Shared, out: Vec<Outgoing>) {
    for outgoing in out {
        let Some(bytes) = encode(shared, outgoing.message) else {
            continue;
        };
        match shared.socket.send_to(&bytes, outgoing.address).await {
            Ok(length) => traffic::record_sent(length),
            Err(error) => {
                log::debug!(address:% = outgoing.address, error:%; "members: cannot send a datagram");
            }
        }
    }
}

async fn handle(shared: &Arc<Shared>, bytes: &[u8], address: SocketAddr) {
    let datagram = match Datagram::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!(address:%, error:%; "members: dropped a datagram that cannot be decoded");
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
    let sequence = datagram.sequence;
    let out = match decode(datagram) {
        Ok(message) => shared.machine().receive(now, address, message),
        Err(kind) => {
            handle_count(shared, address, from.clone(), kind, sequence).await;
            Vec::new()
        }
    };
    let newer_hosts = hosts > shared.hosts.revision();
    if newer_hosts || generation > shared.configuration.generation() {
        let machine = shared.machine();
        let sender = machine.others().find(|member| member.host == from);
        if let Some(member) = sender {
            // If the queue is full, enough pulls are already pending.
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

/// Responds to a query for a generation or a count, or delivers a response to the query that waits for it.
async fn handle_count(
    shared: &Arc<Shared>,
    address: SocketAddr,
    from: id::Host,
    kind: datagram::Kind,
    sequence: u64,
) {
    match kind {
        datagram::Kind::Ask => {
            let generation = shared.in_force(agatemill_runtime::now()).0;
            let response = datagram::Kind::Held { generation };
            send_kind(shared, address, response, sequence).await;
        }
        datagram::Kind::Count { generation } => {
            let owned = Arc::clone(shared);
            shared.tasks.spawn(async move {
                let count = count::own_zone(&owned, generation).await;
                let response = datagram::Kind::Counted(count);
                send_kind(&owned, address, response, sequence).await;
            });
        }
        kind => shared.queries.deliver(sequence, Response { from, kind }),
    }
}

/// Sends a datagram without membership updates.
pub(crate) async fn send_kind(
    shared: &Shared,
    address: SocketAddr,
    kind: datagram::Kind,
    sequence: u64,
) {
    let sent = match compose(shared, kind, sequence).encode() {
        Ok(bytes) => shared.socket.send_to(&bytes, address).await.map(|_| ()),
        Err(error) => Err(io::Error::other(error)),
    };
    if let Err(error) = sent {
        log::debug!(address:%, error:%; "members: cannot send a datagram");
    }
}

/// Extracts the membership message of a datagram; returns its kind if it belongs to a count.
fn decode(datagram: Datagram) -> Result<Message, datagram::Kind> {
    let kind = match datagram.kind {
        datagram::Kind::Ping => Kind::Ping,
        datagram::Kind::Ack => Kind::Ack,
        datagram::Kind::PingRequest { target } => Kind::PingRequest { target },
        other => return Err(other),
    };
    Ok(Message {
        from: datagram.from,
        kind,
        sequence: datagram.sequence,
        members: record::from_wire(datagram.members),
    })
}

/// Encodes a message, and drops membership updates until it fits into a datagram.
fn encode(shared: &Shared, message: Message) -> Option<Vec<u8>> {
    let kind = match message.kind {
        Kind::Ping => datagram::Kind::Ping,
        Kind::Ack => datagram::Kind::Ack,
        Kind::PingRequest { target } => datagram::Kind::PingRequest { target },
    };
    let mut datagram = compose(shared, kind, message.sequence);
    datagram.members = record::to_wire(message.members.iter());
    loop {
        match datagram.encode() {
            Ok(bytes) => return Some(bytes),
            Err(error) => {
                log::debug!(error:%; "members: dropped an update that does not fit into a datagram");
                datagram.members.pop()?;
            }
        }
    }
}

/// Builds a datagram from this host without membership updates.
fn compose(shared: &Shared, kind: datagram::Kind, sequence: u64) -> Datagram {
    let age = shared
        .configuration
        .confirmation_age(agatemill_runtime::now());
    Datagram {
        environment: environment(shared),
        from: shared.settings.host.clone(),
        kind,
        sequence,
        generation: shared.configuration.generation().0,
        confirmed_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        hosts: shared.hosts.revision(),
        members: Vec::new(),
    }
}
