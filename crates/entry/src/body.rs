//! Response bodies.

use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::task::ready;
use std::io;

use bytes::Bytes;
use futures::Stream;
use hyper::body::Frame;
use hyper::body::SizeHint;
use smol::channel::Receiver;

/// Response body: complete bytes, or a stream of chunks that a task sends.
#[derive(Debug)]
pub enum Body {
    /// Complete body; `None` after it has been sent.
    Full(Option<Bytes>),
    /// Chunks in the order in which they are sent.
    Stream(Pin<Box<Receiver<Chunk>>>),
}

/// Part of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// Next bytes of the body.
    Data(Bytes),
    /// End of a complete body. If the channel closes without it, the connection is aborted, so that the
    /// caller does not mistake a truncated body for a complete one.
    End,
}

impl Body {
    /// Creates a body from complete bytes.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Creates a body from chunks that a task sends.
    #[must_use]
    pub fn stream(receiver: Receiver<Chunk>) -> Self {
        Self::Stream(Box::pin(receiver))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(receiver) => match ready!(receiver.as_mut().poll_next(cx)) {
                Some(Chunk::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Chunk::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
