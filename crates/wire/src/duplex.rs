//! Transport with a limit of its own for each direction.

use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use std::io;

use futures::Sink;
use futures::Stream;
use serde::Deserialize;
use serde::Serialize;

use crate::transport::Tcp;

/// TCP transport whose two directions have different limits on the size of a message.
pub struct Duplex<Item, SinkItem> {
    /// Is only read from.
    pub(crate) incoming: Tcp<Item, SinkItem>,
    /// Is only written to.
    pub(crate) outgoing: Tcp<Item, SinkItem>,
}

impl<Item, SinkItem> Stream for Duplex<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de> + Unpin,
    SinkItem: Unpin,
{
    type Item = io::Result<Item>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Item>>> {
        Pin::new(&mut self.incoming).poll_next(cx)
    }
}

impl<Item, SinkItem> Sink<SinkItem> for Duplex<Item, SinkItem>
where
    Item: Unpin,
    SinkItem: Serialize + Unpin,
{
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.outgoing).poll_ready(cx)
    }

    fn start_send(mut self: Pin<&mut Self>, item: SinkItem) -> io::Result<()> {
        Pin::new(&mut self.outgoing).start_send(item)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.outgoing).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.outgoing).poll_close(cx)
    }
}
