//! Bodies of answers.

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

/// Body of an answer: whole, or a stream whose sender runs as a task.
#[derive(Debug)]
pub enum Body {
    /// Bytes that are known; taken when sent.
    Full(Option<Bytes>),
    /// Pieces as they arrive.
    Stream(Pin<Box<Receiver<Chunk>>>),
}

/// Part of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// Some bytes.
    Data(Bytes),
    /// The body is whole. A stream that ends without it cuts the connection, so that the caller does not
    /// take a part for the whole.
    End,
}

impl Body {
    /// A body of known bytes.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// A body of pieces that a task sends.
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
