//! An engine, or a server of a plain service, as a process of its own. What it sees goes to its standard output.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::json;

#[derive(Clone)]
struct Engine {
    options: Arc<HashMap<String, String>>,
    born: u128,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    is_draining: bool,
    layers: Option<(u64, u64)>,
    is_busy: bool,
    orders: u64,
    fence: u64,
}

pub fn run(options: &[&str]) -> ExitCode {
    let pairs = options.iter().filter_map(|option| option.split_once('='));
    let options: HashMap<String, String> = pairs
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    let Ok(listener) = TcpListener::bind(&options["address"]) else {
        return ExitCode::from(2);
    };
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis());
    let engine = Engine {
        options: Arc::new(options),
        born,
        inner: Arc::default(),
    };
    let served = engine.clone();
    http::serve(listener, move |stream| served.serve(stream));
    engine.register();
    loop {
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Writes one line, which the driver puts into the record.
fn say(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

impl Engine {
    fn option(&self, name: &str) -> &str {
        self.options.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str) -> u64 {
        self.option(name).parse().unwrap_or(0)
    }

    fn time(&self, name: &str) -> Duration {
        Duration::from_millis(self.number(name))
    }

    fn is_model(&self) -> bool {
        !self.option("kind").is_empty()
    }

    /// The fields about models and layers, as they stand in the entry and in reports.
    fn model(&self) -> String {
        if !self.is_model() {
            return String::new();
        }
        let layers = self.inner.lock().unwrap().layers;
        let layers = layers.map_or("null".to_owned(), |(from, target)| {
            format!("{{\"from\":{from},\"target\":{target},\"version\":1}}")
        });
        let kind = self.option("kind");
        format!(
            ",\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"kind\":\"{kind}\",\"layers\":{layers}"
        )
    }

    /// Writes the entry to the store and returns when the store has accepted it.
    fn register(&self) {
        let (is_draining, orders) = {
            let inner = self.inner.lock().unwrap();
            (inner.is_draining, inner.orders)
        };
        let state = if is_draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\
            \"cold-left-ms\":0,\"seq\":{orders},\"born\":{}{}}}",
            self.option("service"),
            self.option("address"),
            self.option("zone"),
            self.born,
            self.model()
        );
        let store: SocketAddr = self.option("store").parse().unwrap();
        let target = format!("/standin/put?key=servers/{}", self.option("id"));
        let _ = http::call(store, "POST", &target, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            match self.answer(&request, &mut writer) {
                Ok(true) => {}
                Ok(false) | Err(_) => break,
            }
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<bool> {
        let leaving = if self.inner.lock().unwrap().is_draining {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let id = self.option("id");
        let whole = match request.path() {
            "/healthz" => http::whole(200, &format!("X-Instance-Id: {id}\r\n"), ""),
            "/agatemill/report" => http::whole(200, leaving, &self.report()),
            "/agatemill/order" => {
                let status = self.order(&json::read(&String::from_utf8_lossy(&request.body)));
                http::whole(status, "", "{}")
            }
            "/standin/drain" => {
                self.drain();
                http::whole(200, "", "{}")
            }
            "/standin/leave" => {
                self.leave();
                http::whole(200, "", "{}")
            }
            _ if request.field("x-expect-instance") != Some(id) => {
                http::whole(421, &format!("X-Instance-Id: {id}\r\n"), "")
            }
            _ if self.is_model() => return self.stream(request, writer, leaving),
            _ => return self.work(request, writer, leaving),
        };
        writer.write_all(&whole)?;
        Ok(true)
    }

    fn report(&self) -> String {
        let (is_busy, orders) = {
            let inner = self.inner.lock().unwrap();
            (inner.is_busy, inner.orders)
        };
        format!(
            "{{\"busy\":{is_busy},\"seq\":{orders},\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":100000,\
            \"handles\":0,\"stalled\":[],\"born\":{}{}}}",
            self.born,
            self.model()
        )
    }

    fn order(&self, order: &json::Value) -> u16 {
        let mut inner = self.inner.lock().unwrap();
        if order.get("op").text() != "place" {
            return 404;
        }
        let fence = order.get("fence").number().unwrap_or(inner.fence);
        if fence < inner.fence {
            return 412;
        }
        inner.fence = fence;
        if inner.is_busy
            || order
                .get("expected")
                .number()
                .is_some_and(|expected| expected != inner.orders)
        {
            return 409;
        }
        inner.orders += 1;
        inner.is_busy = true;
        inner.layers = None;
        let (from, target) = (order.get("from").number(), order.get("target").number());
        say(&format!(
            "takes layers {}-{}",
            from.unwrap_or(0),
            target.unwrap_or(0)
        ));
        let engine = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(200));
            {
                let mut inner = engine.inner.lock().unwrap();
                inner.layers = from.zip(target);
                inner.is_busy = false;
            }
            engine.register();
        });
        202
    }

    /// Reports that it leaves, serves for the time that it has to and a little longer, and exits.
    fn drain(&self) {
        self.inner.lock().unwrap().is_draining = true;
        self.register();
        say("is draining, and the store has accepted that");
        let engine = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(engine.time("drain-ms") + engine.time("late-ms"));
            say("exits");
            std::process::exit(0);
        });
    }

    /// Leaves without a report: its entry is removed, and it serves for as long as after one.
    fn leave(&self) {
        let store: SocketAddr = self.option("store").parse().unwrap();
        let target = format!("/standin/remove?key=servers/{}", self.option("id"));
        let _ = http::call(store, "POST", &target, "");
        say("leaves, and the store has removed its entry");
        let engine = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(engine.time("drain-ms") + engine.time("late-ms"));
            say("exits");
            std::process::exit(0);
        });
    }

    /// Whether the engine holds its part of the path, which has to begin here.
    fn holds(&self, path: &str) -> bool {
        let first = path.split(',').next().unwrap_or_default();
        let Some((address, layers)) = first.split_once('=') else {
            return false;
        };
        let layers = layers
            .split_once('-')
            .and_then(|(from, to)| Some((from.parse().ok()?, to.parse::<u64>().ok()?)));
        let held = self.inner.lock().unwrap().layers;
        let (Some((from, to)), Some(held)): (Option<(u64, u64)>, _) = (layers, held) else {
            return false;
        };
        address == self.option("address") && held.0 <= from && to <= held.1
    }

    fn stream(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        leaving: &str,
    ) -> std::io::Result<bool> {
        let attempt = request.field("x-attempt-id").unwrap_or_default();
        if !self.holds(request.field("x-hop-count").unwrap_or_default()) {
            writer.write_all(&http::whole(421, "", ""))?;
            return Ok(true);
        }
        let last: Option<u64> = request
            .field("last-event-id")
            .and_then(|id| id.parse().ok());
        let first = last.map_or(0, |last| last + 1);
        say(&format!("runs {attempt} from event {first}"));
        let is_chunked = self.option("framing") == "chunked";
        let framing = if is_chunked {
            "Transfer-Encoding: chunked"
        } else {
            "Connection: close"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {}\r\n\
            X-Weight-Versions: 1\r\n{leaving}{framing}\r\n\r\n",
            self.option("id")
        );
        writer.write_all(head.as_bytes())?;
        for number in first..self.number("events") {
            std::thread::sleep(self.time("event-ms"));
            if self.time("silent-ms") > Duration::ZERO && number == self.number("silent-at") {
                say(&format!("falls silent within {attempt}"));
                std::thread::sleep(self.time("silent-ms"));
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let event = if is_chunked {
                format!("{:x}\r\n{event}\r\n", event.len())
            } else {
                event
            };
            writer.write_all(event.as_bytes())?;
        }
        if is_chunked {
            writer.write_all(b"0\r\n\r\n")?;
        }
        say(&format!("has sent all events of {attempt}"));
        Ok(is_chunked)
    }

    /// Runs a request of a plain service. The body is sent in two halves, `body-ms` apart.
    fn work(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        leaving: &str,
    ) -> std::io::Result<bool> {
        let attempt = request.field("x-attempt-id").unwrap_or_default();
        let tenant = request.field("x-tenant").unwrap_or("none");
        say(&format!("runs {attempt} for the tenant {tenant}"));
        std::thread::sleep(self.time("work-ms"));
        let is_framed = self.option("framing") == "length";
        let body: String = (0..100).map(|line| format!("line {line:02}\n")).collect();
        let framing = if is_framed {
            format!("Content-Length: {}", body.len())
        } else {
            "Connection: close".to_owned()
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {}\r\n{leaving}{framing}\r\n\r\n",
            self.option("id")
        );
        let (begin, rest) = body.split_at(body.len() / 2);
        writer.write_all(format!("{head}{begin}").as_bytes())?;
        std::thread::sleep(self.time("body-ms"));
        writer.write_all(rest.as_bytes())?;
        say(&format!("has answered {attempt}"));
        Ok(is_framed)
    }
}
