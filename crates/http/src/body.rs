//! Bodies that are received.

use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::task::ready;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::Overhead;

/// A body that is received, within the limit on its framing.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    overhead: Overhead,
}

impl Body {
    /// Begins a body of the connection of `overhead`.
    #[must_use]
    pub fn new(incoming: Incoming, overhead: Overhead) -> Self {
        overhead.begin();
        Self { incoming, overhead }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match &frame {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.overhead.record_data(bytes);
            }
            Some(Err(_)) | None => self.overhead.end(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.overhead.end();
    }
}
