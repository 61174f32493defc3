//! The program `agatemill-gateway` in a process of its own, beside stand-ins of the platform.

use core::net::SocketAddrV4;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use tempfile::NamedTempFile;

use agatemill_gateway::Settings;
use agatemill_standin::Engine;
use agatemill_standin::Store;
use agatemill_standin::document;
use agatemill_standin::port;

/// Interval at which an expected state is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of checks for an expected state; far more than it takes on a busy machine.
const MAX_CHECKS: u32 = 1_500;

/// Timeout for the response to an ordinary request; far above what it takes on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Ordinary requests of which one has to be answered while a crowd sends. Each may take as long as the harness waits.
pub const TRIES: usize = 2;

/// Held by the test that runs: the crowds of two tests at a time would measure each other.
static TURN: Mutex<()> = Mutex::new(());

/// Limits of the process and of its callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Setting `memory` in millions of bytes.
    pub memory_mb: u64,
    /// Setting `descriptors`.
    pub descriptors: u32,
    /// Largest legal body in bytes, in the operator's configuration.
    pub body_bytes: usize,
    /// Idle timeout in milliseconds, in the operator's configuration.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Limits of the smallest machine and the usual configuration.
    fn default() -> Self {
        Self {
            memory_mb: 160,
            descriptors: 4_100,
            body_bytes: 4_194_304,
            idle_ms: 15_000,
        }
    }
}

/// A process of the program with its platform. Dropping it kills the process.
pub struct Host {
    child: Child,
    /// Listen address for callers.
    pub callers: SocketAddrV4,
    /// Listen address for readiness checks.
    pub ready: SocketAddrV4,
    /// Listen address for metrics.
    pub metrics: SocketAddrV4,
    /// Listen address of the directory.
    pub directory: SocketAddrV4,
    /// Address for other hosts.
    pub exchange: SocketAddrV4,
    /// The store of the platform.
    pub store: Store,
    /// Engines of the service `model`.
    pub engines: Vec<Engine>,
    /// Servers of the service `plain`.
    pub services: Vec<Engine>,
    log: NamedTempFile,
    _settings: NamedTempFile,
    _turn: MutexGuard<'static, ()>,
}

impl Host {
    /// Waits for the turn of this test, starts the program and waits until it serves calls and streams.
    pub fn start(limits: Limits) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let (store, address) = Store::listen();
        // Two organisations with a key each.
        let routes = document::routes(3, r#""k1"]},{"name":"annex","api-keys":["k2""#)
            .replace(
                r#""max-body-bytes":1000"#,
                &format!(r#""max-body-bytes":{}"#, limits.body_bytes),
            )
            .replace(
                r#""idle-timeout-ms":15000"#,
                &format!(r#""idle-timeout-ms":{}"#, limits.idle_ms),
            );
        store.put("op/config", &routes);
        let engines = (0..2)
            .map(|number| Engine::start(&store, &format!("e{number}"), "model", Some("card")))
            .collect();
        let services = (0..2)
            .map(|number| Engine::start(&store, &format!("s{number}"), "plain", None))
            .collect();
        let file = NamedTempFile::new().unwrap();
        let text = format!(
            "first_start = true\nmemory = \"{}MB\"\ndescriptors = {}\n{}",
            limits.memory_mb,
            limits.descriptors,
            document::settings("h1", address)
        );
        fs::write(file.path(), text).unwrap();
        let settings = Settings::load(file.path()).unwrap();
        let log = NamedTempFile::new().unwrap();
        let output = log.reopen().unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_agatemill-gateway"));
        command
            .arg("--settings")
            .arg(file.path())
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output);
        let child = port::spawn(&mut command).unwrap();
        let mut host = Self {
            child,
            callers: settings.callers,
            ready: settings.ready,
            metrics: settings.metrics,
            directory: settings.directory,
            exchange: settings.exchange,
            store,
            engines,
            services,
            log,
            _settings: file,
            _turn: turn,
        };
        host.wait_until("the program serves calls", |host| {
            host.answer("read") == Some(200)
        });
        host.wait_until("the program serves streams", |host| {
            host.answer("draft") == Some(200)
        });
        host
    }

    /// Sends one ordinary request to a route, and returns the status of the response or `None` without one.
    pub fn answer(&self, route: &str) -> Option<u16> {
        let text = head(
            route,
            "ordinary",
            "content-length: 800\r\nconnection: close",
        );
        let mut request = text.into_bytes();
        request.extend(vec![b'x'; 800]);
        let mut stream = TcpStream::connect_timeout(&self.callers.into(), ANSWER_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        stream.write_all(&request).ok()?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).ok()?;
        status(&response)
    }

    /// Sends an ordinary request until it is answered with 200, as a caller that repeats it after a refusal.
    pub fn assert_serves(&mut self, route: &str) {
        self.wait_until("an ordinary request is answered", |host| {
            host.answer(route) == Some(200)
        });
    }

    /// Status of the readiness check, or `None` without a response.
    pub fn readiness(&self) -> Option<u16> {
        let mut stream = TcpStream::connect_timeout(&self.ready.into(), ANSWER_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let request = "GET /agatemill/readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).ok()?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).ok()?;
        status(&response)
    }

    /// The metrics in their text format.
    pub fn read_metrics(&self) -> String {
        let mut stream = TcpStream::connect(self.metrics).unwrap();
        let request = "GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    }

    /// Peak of the resident memory in bytes.
    pub fn peak_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).expect("the process has ended");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let size = line.expect("the process has ended").trim();
        let kib: u64 = size.strip_suffix(" kB").unwrap().trim().parse().unwrap();
        kib * 1_024
    }

    /// Number of open descriptors.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("the process has ended").count()
    }

    /// Exit status of the process, if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Checks that the process runs and that its peak memory is within a bound.
    pub fn assert_within(&mut self, max_bytes: u64) {
        let status = self.exit_status();
        assert!(status.is_none(), "the process ended: {status:?}");
        let peak = self.peak_bytes();
        println!("peak memory: {peak} of {max_bytes} bytes");
        assert!(
            peak <= max_bytes,
            "peak memory: {peak} of {max_bytes} bytes"
        );
    }

    /// Checks that the number of open descriptors is within a bound.
    pub fn assert_open_within(&self, max: u32) {
        let open = self.open_descriptors();
        assert!(open <= max as usize, "{open} of {max} descriptors are open");
    }

    /// Checks that ordinary requests and the readiness check are answered while a crowd sends.
    pub fn assert_answers(&self, what: &str) {
        for route in ["read", "draft"] {
            let is_served = (0..TRIES).any(|_| self.answer(route) == Some(200));
            assert!(is_served, "{what}: no ordinary request is answered");
        }
        let is_ready = (0..TRIES).any(|_| self.readiness() == Some(200));
        assert!(is_ready, "{what}: the readiness check is not answered");
    }

    /// What the process has logged.
    pub fn read_log(&self) -> String {
        fs::read_to_string(self.log.path()).unwrap()
    }

    /// Waits until a condition is true.
    pub fn wait_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        for _ in 0..MAX_CHECKS {
            if condition(self) {
                return;
            }
            let status = self.exit_status();
            assert!(status.is_none(), "the process ended: {status:?}");
            thread::sleep(CHECK_INTERVAL);
        }
        panic!("timed out waiting until {what}");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if thread::panicking() {
            let log = self.read_log();
            let first = log.len().saturating_sub(4_000);
            let tail = log.get(first..).unwrap_or_default();
            println!("end of the log of the process:\n{tail}");
        }
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends a crowd when it is dropped, also by a failed check.
pub struct Done<'a>(pub &'a AtomicBool);

impl Drop for Done<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Head of a request to a route; `rest` are further header lines without the last line end.
pub fn head(route: &str, attempt: &str, rest: &str) -> String {
    format!(
        "POST /{route}/1 HTTP/1.1\r\nhost: office.example\r\nauthorization: Bearer k1\r\nx-attempt-id: {attempt}\r\n\
        x-deadline-ms: 20000\r\nx-token-usage: 100,50\r\n{rest}\r\n\r\n"
    )
}

/// Status of a response.
pub fn status(response: &[u8]) -> Option<u16> {
    let text = response.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    core::str::from_utf8(text).ok()?.parse().ok()
}
