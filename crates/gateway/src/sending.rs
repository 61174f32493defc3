//! A request to a backend server whose response has not arrived.

use core::future::Future;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::task::ready;
use core::time::Duration;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Response;

use crate::State;
use crate::backoff;
use crate::supervise;
use agatemill_fleet::Server;

/// Time for which the connection of a dropped request stays open.
const LINGER_TIME: Duration = Duration::from_millis(100);

type Head = Result<Response<agatemill_http::Body>, agatemill_http::Error>;

/// A request to a backend server, until the head of its response arrives.
///
/// A dropped request is still answered for `LINGER_TIME`: the server may have rejected it and asked for no requests, in a
/// response that is on its way.
pub struct Sending {
    state: Arc<State>,
    server: Arc<Server>,
    /// `None` once the head has arrived.
    head: Option<BoxFuture<'static, Head>>,
}

impl Sending {
    /// Waits for a response of `server`.
    #[must_use]
    pub fn new(
        state: &Arc<State>,
        server: &Arc<Server>,
        head: impl Future<Output = Head> + Send + 'static,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            server: Arc::clone(server),
            head: Some(head.boxed()),
        }
    }
}

impl Future for Sending {
    type Output = Head;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Head> {
        let Some(head) = &mut self.head else {
            return Poll::Pending;
        };
        let result = ready!(head.poll_unpin(cx));
        self.head = None;
        Poll::Ready(result)
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        let Some(head) = self.head.take() else {
            return;
        };
        let (state, server) = (Arc::clone(&self.state), Arc::clone(&self.server));
        let task = async move {
            let linger = async {
                // Other responses, and errors, no longer matter.
                if let Some(Ok(response)) = agatemill_runtime::timeout(LINGER_TIME, head).await {
                    backoff::observe(&state, &server, response.status(), response.headers());
                }
            };
            supervise::contain(&state.metrics, "sending", linger).await;
        };
        agatemill_runtime::spawn(task).detach();
    }
}
