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
    Whole(Option<Bytes>),
    /// Pieces as they arrive. An error cuts the connection, so that the caller sees a broken answer.
    Stream(Pin<Box<Receiver<io::Result<Bytes>>>>),
}

impl Body {
    /// A body of known bytes.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body of pieces that a task sends.
    #[must_use]
    pub fn stream(receiver: Receiver<io::Result<Bytes>>) -> Self {
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
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(receiver) => {
                let piece = ready!(receiver.as_mut().poll_next(cx));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
