//! Callers that reuse their connections until the process closes them.

use core::net::SocketAddrV4;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::StatusCode;

use agatemill_standin::caller;
use agatemill_standin::caller::Call;

/// Deadline of a request, which its header also carries.
pub const DEADLINE: Duration = Duration::from_secs(4);

/// Time after the deadline before a caller gives up.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// A request with its response.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Attempt id, unique among all requests.
    pub attempt: String,
    /// Address of the host.
    pub host: SocketAddrV4,
    /// Name of the route.
    pub route: &'static str,
    /// API key.
    pub key: &'static str,
    /// Body of the request.
    pub body: String,
    /// Process time at which the request was sent.
    pub sent_at: Duration,
    /// Process time at which the response ended, or the connection failed.
    pub ended_at: Duration,
    /// The response; `None` unless its head arrived.
    pub response: Option<Response>,
}

/// A response as a caller received it.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// The backend server that signed it.
    pub seal: Option<String>,
    /// Whether the response says that the server leaves.
    pub is_leaving: bool,
    /// Process time at which the head arrived.
    pub head_at: Duration,
    /// The part of the body that arrived.
    pub body: String,
    /// Whether the body arrived completely.
    pub is_complete: bool,
}

/// The callers of a run and their exchanges. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    next_number: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
}

impl Callers {
    /// Runs one caller, which sends requests to random hosts until [`Callers::stop`].
    pub async fn run(self, hosts: Vec<SocketAddrV4>, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let http = agatemill_http::Client::new(Duration::from_secs(1));
        while !self.is_stopped.load(Ordering::Relaxed) {
            let host = hosts[rng.usize(0..hosts.len())];
            let route = ["draft", "draft", "once", "pay", "read"][rng.usize(0..5)];
            let key = ["k1", "k1", "k2"][rng.usize(0..3)];
            self.send(&http, host, route, key).await;
            agatemill_runtime::sleep(Duration::from_millis(rng.u64(5..60))).await;
        }
    }

    /// Sends one request; returns whether a complete success response arrived.
    pub async fn send(
        &self,
        http: &agatemill_http::Client,
        host: SocketAddrV4,
        route: &'static str,
        key: &'static str,
    ) -> bool {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mut exchange = Exchange {
            attempt: format!("a{number}"),
            host,
            route,
            key,
            body: format!("text of {number}"),
            sent_at: agatemill_runtime::now(),
            ended_at: Duration::ZERO,
            response: None,
        };
        let request = Request::from(Call {
            host,
            route,
            attempt: &exchange.attempt,
            key,
            prompt: "",
            body: &exchange.body,
            deadline: DEADLINE,
        });
        // A failed or closed connection gives no response, which the verdict allows.
        if let Ok(response) = http.send(request, DEADLINE + RESPONSE_MARGIN).await {
            exchange.response = Some(read(response).await);
        }
        exchange.ended_at = agatemill_runtime::now();
        let is_served = exchange
            .response
            .as_ref()
            .is_some_and(|response| response.status.is_success() && response.is_complete);
        self.lock().push(exchange);
        is_served
    }

    /// Stops all callers after their current requests.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// All exchanges that have ended.
    #[must_use]
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Exchange>> {
        self.exchanges
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read(response: hyper::Response<agatemill_http::Body>) -> Response {
    let (head, mut body) = response.into_parts();
    let mut received = Response {
        status: head.status,
        seal: caller::seal(&head.headers),
        is_leaving: caller::is_leaving(&head.headers),
        head_at: agatemill_runtime::now(),
        body: String::new(),
        is_complete: false,
    };
    loop {
        match agatemill_runtime::timeout(DEADLINE + RESPONSE_MARGIN, body.frame()).await {
            Some(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                received.body.push_str(&String::from_utf8_lossy(&data));
            }
            Some(None) => {
                received.is_complete = true;
                return received;
            }
            Some(Some(Err(_))) | None => return received,
        }
    }
}
