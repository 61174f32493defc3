//! Stand-in for a server, in a process of its own. It listens on its standard input, and prints what it does.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::os::unix::process::parent_id;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::answer;
use crate::answer::Answer;
use crate::http;
use crate::http::Request;
use crate::json::Value;

struct Engine {
    id: String,
    born: String,
    /// Empty for a plain server.
    kind: String,
    answer: Answer,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    orders: u64,
    fence: u64,
    layers: Option<(u64, u64)>,
}

/// Arguments: id, start, kind of card or `-`, answer, milliseconds until it accepts connections.
pub fn run(arguments: &[&str]) {
    let [id, born, kind, answer, cold] = arguments else {
        return;
    };
    let engine = Arc::new(Engine {
        id: (*id).to_owned(),
        born: (*born).to_owned(),
        kind: kind.trim_start_matches('-').to_owned(),
        answer: Answer::parse(answer),
        state: Mutex::default(),
    });
    let parent = parent_id();
    thread::spawn(move || {
        // The process must not outlive its case.
        while parent_id() == parent {
            thread::sleep(Duration::from_millis(200));
        }
        exit(0);
    });
    thread::sleep(Duration::from_millis(cold.parse().unwrap_or(0)));
    let Ok(socket) = io::stdin().as_fd().try_clone_to_owned() else {
        return;
    };
    for stream in TcpListener::from(socket).incoming().flatten() {
        let engine = Arc::clone(&engine);
        // The connection ends with an error when the caller leaves.
        thread::spawn(move || engine.serve(stream).is_ok());
    }
}

fn say(text: &str) {
    let mut output = io::stdout().lock();
    // Nobody listens after the end of the case.
    let _ = writeln!(output, "{text}").and_then(|()| output.flush());
}

impl Engine {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        writer.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            match request.path() {
                "/agatemill/report" => self.report(&mut writer)?,
                "/agatemill/order" => self.order(&mut writer, &request)?,
                path if path.starts_with("/read/") => {
                    let attempt = request.header("x-attempt-id");
                    let fields = format!(
                        "X-Attempt-Id: {attempt}\r\nX-Response-Seal: {}.{attempt}\r\n",
                        self.id
                    );
                    http::respond(&mut writer, 200, &fields, b"read")?;
                }
                "/healthz" => {
                    let fields = format!("X-Instance-Id: {}\r\n", self.id);
                    http::respond(&mut writer, 200, &fields, b"")?;
                }
                _ if request.header("x-expect-instance") != self.id => {
                    http::respond(&mut writer, 421, "X-Not-Executed: 1\r\n", b"")?;
                }
                _ => {
                    self.answer(&mut writer, &request)?;
                    return writer.shutdown(Shutdown::Both);
                }
            }
        }
        Ok(())
    }

    fn report(&self, writer: &mut TcpStream) -> io::Result<()> {
        let state = self.state.lock().unwrap();
        let layers = state.layers.map_or("null".to_owned(), |(from, target)| {
            format!(r#"{{"from":{from},"target":{target},"version":1}}"#)
        });
        let (born, orders) = (&self.born, state.orders);
        drop(state);
        // A plain server has no layers.
        let rest = match self.kind.as_str() {
            "" => String::new(),
            kind => format!(r#","kind":"{kind}","layers":{layers},"stalled":[]"#),
        };
        let body = format!(
            r#"{{"stage":"both","models":[],"busy":false,"seq":{orders},"waiting":0,"running":0,"kv-used":0,"kv-total":90000,"handles":0,"born":{born}{rest}}}"#
        );
        http::respond(writer, 200, "", body.as_bytes())
    }

    fn order(&self, writer: &mut TcpStream, request: &Request) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let order = Value::parse(&body).unwrap_or(Value::Null);
        let mut state = self.state.lock().unwrap();
        let fence = order.get("fence").number();
        if fence < state.fence {
            return http::respond(writer, 412, "", b"");
        }
        state.fence = fence;
        if order.get("op").text() != "place" || order.get("expected").number() != state.orders {
            return http::respond(writer, 409, "", b"");
        }
        let (from, target) = (order.get("from").number(), order.get("target").number());
        state.layers = Some((from, target));
        state.orders += 1;
        drop(state);
        say(&format!("layers {from} {target}"));
        http::respond(writer, 202, "", b"")
    }

    fn answer(&self, writer: &mut TcpStream, request: &Request) -> io::Result<()> {
        let attempt = request.header("x-attempt-id");
        say(&format!("run {attempt}"));
        let status = if self.answer == Answer::Failure {
            500
        } else {
            200
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {}.{attempt}\r\nConnection: close\r\n",
            self.id
        );
        if matches!(self.answer, Answer::Events | Answer::Silence) {
            let has_chunks = self.answer == Answer::Silence;
            let framing = if has_chunks {
                "Transfer-Encoding: chunked\r\n"
            } else {
                ""
            };
            let head = format!("{head}{framing}Content-Type: text/event-stream\r\n\r\n");
            writer.write_all(head.as_bytes())?;
            let first: u32 = request.header("last-event-id").parse().unwrap_or(0);
            for number in first + 1..=answer::EVENTS {
                if has_chunks && number == answer::SILENT_BEFORE {
                    thread::sleep(Duration::from_millis(answer::SILENCE_MS));
                }
                let event = answer::event(number);
                let event = if has_chunks {
                    format!("{:x}\r\n{event}\r\n", event.len())
                } else {
                    event
                };
                writer.write_all(event.as_bytes())?;
                say(&format!("event {number} {attempt}"));
                thread::sleep(Duration::from_millis(answer::EVENT_MS));
            }
            if has_chunks {
                writer.write_all(b"0\r\n\r\n")?;
            }
        } else {
            let [first, second] = answer::halves(attempt);
            writer.write_all(format!("{head}\r\n{first}").as_bytes())?;
            say(&format!("half {attempt}"));
            thread::sleep(Duration::from_millis(answer::EVENT_MS * 10));
            writer.write_all(second.as_bytes())?;
        }
        say(&format!("whole {attempt}"));
        Ok(())
    }
}
