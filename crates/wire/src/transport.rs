//! TCP transport for the tarpc services.
//!
//! One listener serves [`Local`](crate::local), [`Peer`](crate::peer) and [`Operator`](crate::operator),
//! another [`Feed`](crate::feed). The first byte of a connection identifies the service.

use core::net::SocketAddr;
use std::io;

use async_compat::Compat;
use async_compat::CompatExt;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use serde::Deserialize;
use serde::Serialize;
use smol::net::TcpStream;
use tarpc::serde_transport;
use tarpc::serde_transport::Transport;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio_serde::formats::MessagePack;

use crate::Duplex;
use agatemill_runtime::Turn;
use agatemill_runtime::traffic::Meter;

/// Maximum size of a message in bytes: a configuration of 1 MB with headroom for its framing.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Maximum size in bytes of a request to a service whose arguments take some dozens.
const MAX_SHORT_REQUEST_BYTES: usize = 4 << 10;

/// Service that a connection requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// [`Local`](crate::local).
    Local,
    /// [`Peer`](crate::peer).
    Peer,
    /// [`Operator`](crate::operator).
    Operator,
    /// [`Feed`](crate::feed).
    Feed,
}

impl From<Service> for u8 {
    fn from(service: Service) -> Self {
        match service {
            Service::Local => b'L',
            Service::Peer => b'P',
            Service::Operator => b'O',
            Service::Feed => b'F',
        }
    }
}

impl TryFrom<u8> for Service {
    type Error = io::Error;

    fn try_from(byte: u8) -> Result<Self, io::Error> {
        match byte {
            b'L' => Ok(Self::Local),
            b'P' => Ok(Self::Peer),
            b'O' => Ok(Self::Operator),
            b'F' => Ok(Self::Feed),
            other => {
                let text = format!("connection requested unknown service {other:#04x}");
                Err(io::Error::new(io::ErrorKind::InvalidData, text))
            }
        }
    }
}

/// TCP transport with one item type for each direction.
pub type Tcp<Item, SinkItem> =
    Transport<Compat<Turn<Meter<TcpStream>>>, Item, SinkItem, MessagePack<Item, SinkItem>>;

/// Connects to `address` and requests `service`.
///
/// Pass the returned transport to the `new` function of a tarpc client, and spawn the client's dispatch
/// future with `.compat()`, because tarpc's timers need a tokio context.
///
/// # Errors
///
/// Any error of the connection.
pub async fn connect<Item, SinkItem>(
    address: SocketAddr,
    service: Service,
) -> io::Result<Tcp<Item, SinkItem>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&[service.into()]).await?;
    Ok(frame(stream))
}

/// Reads which service an accepted connection requests.
///
/// # Errors
///
/// Any error of the connection, and `InvalidData` when the service is unknown.
pub async fn accept(stream: &mut TcpStream) -> io::Result<Service> {
    stream.set_nodelay(true)?;
    let mut byte = [0];
    stream.read_exact(&mut byte).await?;
    byte[0].try_into()
}

/// Wraps a connection, after its service byte, in a transport of length-delimited messages.
#[must_use]
pub fn frame<Item, SinkItem>(stream: TcpStream) -> Tcp<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    frame_up_to(MAX_MESSAGE_BYTES, stream)
}

/// As [`frame`], for the servers of [`Feed`](crate::feed), [`Local`](crate::local) and [`Operator`](crate::operator). Their
/// requests are limited to less than their responses, because an incomplete one is buffered for each of many connections.
#[must_use]
pub fn frame_short_requests<Item, SinkItem>(stream: TcpStream) -> Duplex<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    Duplex {
        incoming: frame_up_to(MAX_SHORT_REQUEST_BYTES, stream.clone()),
        outgoing: frame_up_to(MAX_MESSAGE_BYTES, stream),
    }
}

fn frame_up_to<Item, SinkItem>(max_bytes: usize, stream: TcpStream) -> Tcp<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(max_bytes);
    let stream = Turn::new(Meter(stream)).compat();
    let framed = tarpc::tokio_util::codec::Framed::new(stream, codec);
    serde_transport::new(framed, MessagePack::default())
}
