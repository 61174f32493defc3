//! Callers that keep their connections until the process is gone.

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
use hyper::body::Incoming;

use agatemill_standin::caller;
use agatemill_standin::caller::Call;

/// Time that callers give a request, which they also state in it.
pub const DEADLINE: Duration = Duration::from_secs(4);

/// How long a caller waits beyond its deadline before it gives up.
const PATIENCE: Duration = Duration::from_secs(2);

/// A request that a caller sent, with its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its attempt, which no other request has.
    pub attempt: String,
    /// Its route.
    pub route: &'static str,
    /// Its key.
    pub key: &'static str,
    /// Its body.
    pub body: String,
    /// When it was sent.
    pub at: Duration,
    /// The answer, if its head came.
    pub answer: Option<Answer>,
}

/// An answer as a caller saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// The backend server that signed it.
    pub seal: Option<String>,
    /// What came of the body.
    pub body: String,
    /// Whether the body ended as it should.
    pub is_whole: bool,
}

/// The callers of a play and what they have seen. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    sent: Arc<Mutex<Vec<Sent>>>,
    numbers: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl Callers {
    /// One caller: sends requests to hosts at random until [`Callers::end`].
    pub async fn run(self, hosts: Vec<SocketAddrV4>, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let http = agatemill_http::Client::new(Duration::from_secs(1));
        while !self.is_over.load(Ordering::Relaxed) {
            let host = hosts[rng.usize(0..hosts.len())];
            let route = ["draft", "draft", "once", "pay", "read"][rng.usize(0..5)];
            let key = ["k1", "k1", "k2"][rng.usize(0..3)];
            self.ask(&http, host, route, key).await;
            agatemill_runtime::sleep(Duration::from_millis(rng.u64(5..60))).await;
        }
    }

    /// Sends one request; returns whether it was served whole.
    pub async fn ask(
        &self,
        http: &agatemill_http::Client,
        host: SocketAddrV4,
        route: &'static str,
        key: &'static str,
    ) -> bool {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let mut sent = Sent {
            attempt: format!("a{number}"),
            route,
            key,
            body: format!("text of {number}"),
            at: agatemill_runtime::now(),
            answer: None,
        };
        let request = Request::from(Call {
            host,
            route,
            attempt: &sent.attempt,
            key,
            body: &sent.body,
            deadline: DEADLINE,
        });
        // A connection that fails or closes gives no answer, which the verdict allows.
        if let Ok(response) = http.send(request, DEADLINE + PATIENCE).await {
            sent.answer = Some(read(response).await);
        }
        let is_served = sent
            .answer
            .as_ref()
            .is_some_and(|answer| answer.status.is_success() && answer.is_whole);
        self.lock().push(sent);
        is_served
    }

    /// Lets all callers end after the request that they are at.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// What was sent.
    #[must_use]
    pub fn sent(&self) -> Vec<Sent> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Sent>> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read(response: hyper::Response<Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let mut answer = Answer {
        status: head.status,
        seal: caller::seal(&head.headers),
        body: String::new(),
        is_whole: false,
    };
    loop {
        match agatemill_runtime::timeout(DEADLINE + PATIENCE, body.frame()).await {
            Some(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                answer.body.push_str(&String::from_utf8_lossy(&data));
            }
            Some(None) => {
                answer.is_whole = true;
                return answer;
            }
            Some(Some(Err(_))) | None => return answer,
        }
    }
}
