//! A gateway host with stand-ins of the platform, and its callers.

use core::net::SocketAddrV4;
use core::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use serde_json::json;

use agatemill_core::id;
use agatemill_gateway::Process;
use agatemill_gateway::Settings;
use agatemill_standin::Engine;
use agatemill_standin::Store;
use agatemill_standin::caller;
use agatemill_standin::caller::Call;
use agatemill_standin::document;

/// Timeout for a response; far above what it takes on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which an expected state is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of checks for an expected state; far more than it takes on a busy machine. Unlike a timeout it does not include
/// time in which the process does not run.
const MAX_CHECKS: u32 = 2_000;

/// Number of requests that are sent to reach a server.
const MAX_REQUESTS: u32 = 200;

/// One host, a model on engines that hold half of its layers each, and a service without a model.
pub struct System {
    pub store: Store,
    pub store_address: SocketAddrV4,
    pub engines: Vec<Engine>,
    pub services: Vec<Engine>,
    pub process: Process,
    /// Settings of the first process.
    pub settings: Settings,
    http: agatemill_http::Client,
    callers: SocketAddrV4,
    ready: SocketAddrV4,
    pub directory: SocketAddrV4,
}

/// A response that a caller received.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body ended without an error.
    pub is_complete: bool,
}

/// Settings of a host that listens on free ports.
pub fn settings(host: &str, store: SocketAddrV4) -> Settings {
    let file = tempfile::NamedTempFile::new().unwrap();
    let text = format!("first_start = true\n{}", document::settings(host, store));
    std::fs::write(file.path(), text).unwrap();
    Settings::load(file.path()).unwrap()
}

impl System {
    /// Starts a system and waits until streams are served.
    pub async fn start(engines: usize) -> Self {
        // Another test of this process may have initialised the logger.
        let _ = env_logger::builder().is_test(true).try_init();
        let (store, address) = Store::listen();
        store.put("op/config", &document::routes(3, r#""k1","k2""#));
        let start = |number| Engine::start(&store, &format!("e{number}"), "model", Some("card"));
        let engines = (0..engines).map(start).collect();
        let services = (0..2)
            .map(|number| Engine::start(&store, &format!("s{number}"), "plain", None))
            .collect();
        let settings = settings("h1", address);
        let (callers, ready, directory) = (settings.callers, settings.ready, settings.directory);
        let process = Process::start(settings.clone()).await.unwrap();
        let system = Self {
            store,
            store_address: address,
            engines,
            services,
            process,
            settings,
            http: agatemill_http::Client::new(Duration::from_secs(1)),
            callers,
            ready,
            directory,
        };
        system
            .wait_until("all engines hold layers", || {
                system
                    .engines
                    .iter()
                    .all(|engine| !engine.orders().is_empty())
            })
            .await;
        system.wait_for_layers().await;
        system
    }

    /// Waits until this host's view lists layers for every engine.
    pub async fn wait_for_layers(&self) {
        let name: id::Service = "model".parse().unwrap();
        self.wait_until("the view lists the layers", || {
            let view = self.process.state().view();
            let servers = view.servers(&name);
            servers.len() == self.engines.len()
                && servers.iter().all(|server| server.layers.is_some())
        })
        .await;
    }

    /// Ends the host, as a crash does, and starts another one.
    pub async fn replace_host(&mut self) {
        let settings = settings("h2", self.store_address);
        (self.callers, self.ready, self.directory) =
            (settings.callers, settings.ready, settings.directory);
        self.process = Process::start(settings).await.unwrap();
        self.wait_for_layers().await;
    }

    /// Waits until every engine that crashed has restarted and holds layers again.
    pub async fn wait_for_restarts(&self) {
        self.wait_until("the engines are up", || {
            !self.engines.iter().any(Engine::is_down)
        })
        .await;
        self.wait_for_layers().await;
    }

    /// Waits until a condition is true.
    pub async fn wait_until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        for _ in 0..MAX_CHECKS {
            if condition() {
                return;
            }
            agatemill_runtime::sleep(CHECK_INTERVAL).await;
        }
        panic!("timed out waiting until {what}");
    }

    /// Sends a request with key `k1`.
    pub async fn send(&self, route: &str, attempt: &str) -> Response {
        self.send_with(route, attempt, "k1", "please").await
    }

    pub async fn send_with(&self, route: &str, attempt: &str, key: &str, body: &str) -> Response {
        let call = Call {
            key,
            body,
            ..self.call(route, attempt)
        };
        self.send_call(call).await
    }

    /// A request with key `k1`.
    pub fn call<'a>(&self, route: &'a str, attempt: &'a str) -> Call<'a> {
        Call {
            host: self.callers,
            route,
            attempt,
            key: "k1",
            prompt: "",
            body: "please",
            deadline: Duration::from_secs(4),
        }
    }

    pub async fn send_call(&self, call: Call<'_>) -> Response {
        let request = Request::from(call);
        let response = self.http.send(request, WAIT_TIMEOUT).await.unwrap();
        let (head, mut body) = response.into_parts();
        let mut response = Response {
            status: head.status,
            headers: head.headers,
            body: String::new(),
            is_complete: true,
        };
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                response.is_complete = false;
                break;
            };
            let data = frame.into_data().unwrap();
            response.body.push_str(core::str::from_utf8(&data).unwrap());
        }
        response
    }

    /// Status code of the readiness check.
    pub async fn ready(&self) -> u16 {
        let request = caller::ready(self.ready);
        let response = self
            .http
            .fetch(request, WAIT_TIMEOUT, 1 << 20)
            .await
            .unwrap();
        response.status().as_u16()
    }

    pub async fn get(&self, uri: &str) -> (u16, String) {
        let request = Request::get(uri).body(Full::default()).unwrap();
        let response = self
            .http
            .fetch(request, WAIT_TIMEOUT, 1 << 20)
            .await
            .unwrap();
        let text = String::from_utf8(response.body().to_vec()).unwrap();
        (response.status().as_u16(), text)
    }

    pub fn run_count(&self, attempt: &str) -> usize {
        let servers = self.engines.iter().chain(&self.services);
        let arrivals = servers.flat_map(Engine::arrivals);
        arrivals
            .filter(|arrival| arrival.attempt == attempt)
            .count()
    }

    /// Gives a server the address of another process and waits until the host knows it.
    pub async fn move_server(&self, server: &Engine, service: &str, address: SocketAddrV4) {
        server.set_entry("address", json!(address.to_string()));
        let service: id::Service = service.parse().unwrap();
        self.wait_until("the new address is known", || {
            let view = self.process.state().view();
            let mut servers = view.servers(&service).iter();
            servers.any(|server| server.address == address)
        })
        .await;
    }

    /// Sends requests until the server has received one, whatever their responses are.
    pub async fn reach(&self, route: &str, server: &Engine) {
        self.reach_with(route, server, |_| ()).await;
    }

    /// Sends requests until the server has received one, and checks each response. Servers are chosen at random.
    pub async fn reach_with(&self, route: &str, server: &Engine, check: impl Fn(&Response)) {
        let before = server.arrivals().len();
        for number in 0..MAX_REQUESTS {
            let attempt = format!("{}-{number}-{before}", server.id);
            check(&self.send(route, &attempt).await);
            if server.arrivals().len() > before {
                return;
            }
        }
        panic!("no request reached {}", server.id);
    }

    /// The engine with the first layers.
    pub fn first_engine(&self) -> &Engine {
        let mut engines = self.engines.iter();
        let first = engines.find(|engine| engine.orders().last().unwrap()["from"] == 0);
        first.unwrap()
    }
}
