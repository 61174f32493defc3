//! The cases.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::answer;
use crate::client;
use crate::client::Response;
use crate::process::Gateway;
use crate::process::Servers;
use crate::record::Record;
use crate::store::Store;

/// Key of the only tenant.
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A second key of the tenant, which the case `drill` takes away.
const REVOKED: &str = "anfqasnmgkcuyj8pjbvk";

/// `revoke-ms` of the settings.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);

/// Time within which a gateway has to be ready, and to serve its first request.
const START_TIME: Duration = Duration::from_secs(20);

/// A running deployment.
struct Stage {
    store: Store,
    servers: Servers,
    gateways: Vec<Gateway>,
    record: Record,
    /// Whether the disruption takes place.
    has_trouble: bool,
    folder: PathBuf,
}

impl Drop for Stage {
    fn drop(&mut self) {
        // The folder is of no use any more; one that remains does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Plays a case and reports its result by the exit status.
pub fn run(case: &str, folder: &str) -> ExitCode {
    let play = match case {
        "restart" => restart,
        "foreign" => foreign,
        "silent" => silent,
        "failure" => failure,
        "drill" => drill,
        _ => return ExitCode::from(2),
    };
    let result = Stage::start(Path::new(folder)).and_then(|mut stage| {
        let is_broken = play(&mut stage)?;
        let result = if is_broken { "broken" } else { "held" };
        stage.record.line(&format!("result: the rule was {result}"));
        Ok(is_broken)
    });
    match result {
        Ok(is_broken) => ExitCode::from(u8::from(is_broken)),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn configuration(version: u64, keys: &str) -> String {
    let route = |name: &str, rest: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"office.example","path-prefix":"/{name}/","priority":1,"public":false,{rest}}}"#
        )
    };
    let routes = [
        route(
            "pay",
            r#""kind":"non_idempotent","timeout-ms":4000,"target-latency-ms":150,"service":"filing-api","max-attempts":1"#,
        ),
        route(
            "read",
            r#""kind":"idempotent","timeout-ms":4000,"target-latency-ms":150,"service":"filing-api","max-attempts":2"#,
        ),
        route(
            "draft",
            r#""kind":"streaming","timeout-ms":20000,"target-latency-ms":500,"service":"draft-models","max-attempts":2,"sticky-sessions":true,"resumable":true,"gap-aim-ms":250"#,
        ),
        route(
            "note",
            r#""kind":"streaming","timeout-ms":20000,"target-latency-ms":500,"service":"draft-models","max-attempts":1,"sticky-sessions":true,"resumable":false,"gap-aim-ms":250"#,
        ),
    ];
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"filing-api","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}},{{"name":"draft-models","health-path":"/healthz","max-conns":978,"protocol":"h1","tls":false,"engine":{{"slots":192,"kv-tokens":100000,"kv-bytes":590000,"stride":4,"models":[{{"name":"m0","pace":1.0,"load-s":2.0}}],"step_ms":1.02,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"chunk":512,"report_lag_ms":200.0,"delays":[],"usual":{{"prompt":775,"answer":220}},"layers":8,"layer-mb":1750.0,"act-bytes":29500,"pipe-mbps":16000.0,"kinds":[{{"name":"a100","mb":72000.0,"pace":2.4,"read-x":3.2}}]}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"office","api-keys":[{keys}],"priority":1}}]}}"#
    )
}

impl Stage {
    fn start(folder: &Path) -> io::Result<Self> {
        let record = Record::create(folder)?;
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let name = format!("agatemill-review-3-{}", std::process::id());
        let scratch = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&scratch)?;
        let store = Store::start()?;
        store.put(
            "op/config",
            &configuration(7, &format!(r#""{KEY}","{REVOKED}""#)),
        );
        let servers = Servers::new(&store, &record);
        record.line(&format!("disruption: {has_trouble}"));
        Ok(Self {
            store,
            servers,
            gateways: Vec::new(),
            record,
            has_trouble,
            folder: scratch,
        })
    }

    /// Starts a gateway and waits until it is ready.
    fn start_gateway(&mut self) -> io::Result<()> {
        let name = format!("edge-{}", self.gateways.len() + 1);
        let gateway = Gateway::start(&name, &self.store, &self.folder)?;
        let end = Instant::now() + START_TIME;
        while client::send(gateway.ready, "GET", "/agatemill/readyz", "", "").status != 200 {
            if Instant::now() > end {
                return Err(io::Error::other("the gateway is not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line(&format!("{name}: ready"));
        self.gateways.push(gateway);
        Ok(())
    }

    /// Sends a request from another thread.
    fn send(&self, attempt: &str, route: &str) -> JoinHandle<Response> {
        let address = self.gateways[0].callers;
        let (attempt, path) = (attempt.to_owned(), format!("/{route}/2f"));
        let record = self.record.clone();
        thread::spawn(move || send(address, &record, &attempt, &path, KEY))
    }

    /// Waits until streams are served: the planner has placed the layers.
    fn wait_for_layers(&mut self) -> io::Result<()> {
        let end = Instant::now() + START_TIME;
        while self
            .send("warm-up", "draft")
            .join()
            .map_or(0, |first| first.status)
            != 200
        {
            if Instant::now() > end {
                return Err(io::Error::other("no stream is served"));
            }
            thread::sleep(Duration::from_millis(500));
        }
        Ok(())
    }

    /// Waits until a server says something of an attempt; returns its id.
    fn wait_for(&mut self, words: &str) -> io::Result<String> {
        let end = Instant::now() + START_TIME;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.servers.heard.recv_timeout(left) {
                Ok((id, line)) if line == words => return Ok(id),
                Ok(_) => {}
                Err(_) => return Err(io::Error::other(format!("no server says: {words}"))),
            }
        }
    }
}

fn send(address: SocketAddr, record: &Record, attempt: &str, path: &str, key: &str) -> Response {
    match client::connect(address) {
        Ok(mut connection) => send_on(&mut connection, record, attempt, path, key),
        Err(_) => Response::default(),
    }
}

fn send_on(
    connection: &mut BufReader<TcpStream>,
    record: &Record,
    attempt: &str,
    path: &str,
    key: &str,
) -> Response {
    let fields = format!(
        "X-Attempt-Id: {attempt}\r\nX-Model: m0\r\nX-Token-Usage: 760,80\r\nX-Prompt-Prefix: 5c1e07a2:40,{:x}:720\r\n\
         X-Deadline-Ms: 20000\r\nAuthorization: Bearer {key}\r\n",
        attempt
            .bytes()
            .fold(7_u64, |sum, byte| sum * 31 % 0xffff_ffff + u64::from(byte))
    );
    let suffix = if key == REVOKED {
        " with the second key"
    } else {
        ""
    };
    record.line(&format!("client: sends {attempt} POST {path}{suffix}"));
    let response = client::send_on(connection, "POST", path, &fields, "the body of the request");
    record.line(&format!(
        "client: {attempt} got status {}, seal {:?}, {} bytes, complete: {}, fields {:?}",
        response.status,
        response.header("x-response-seal"),
        response.body.len(),
        response.is_complete,
        response.headers
    ));
    response
}

/// MIXED: a complete answer with the seal has to have the whole body.
fn is_cut_body(stage: &Stage, attempt: &str, response: &Response) -> bool {
    let whole = answer::halves(attempt).concat();
    let is_engines = !response.header("x-response-seal").is_empty();
    let is_whole = response.text() == whole;
    stage.record.line(&format!(
        "check: complete {}, the server's seal {is_engines}, {} of {} bytes",
        response.is_complete,
        response.body.len(),
        whole.len()
    ));
    response.is_complete && is_engines && !is_whole
}

/// ORDER: a stream that ends as complete has to have all its pieces, each once and in order.
fn is_cut_stream(stage: &Stage, response: &Response) -> bool {
    let whole: String = (1..=answer::EVENTS).map(answer::event).collect();
    let pieces = response.text().matches("\n\n").count();
    stage.record.line(&format!(
        "check: status {}, complete {}, {pieces} of {} pieces",
        response.status,
        response.is_complete,
        answer::EVENTS
    ));
    response.status == 200 && response.is_complete && response.text() != whole
}

fn joined(answer: JoinHandle<Response>) -> io::Result<Response> {
    answer
        .join()
        .map_err(|_| io::Error::other("the client failed"))
}

/// A server crashes within its answer and is started again at once.
fn restart(stage: &mut Stage) -> io::Result<bool> {
    stage.servers.start("filing-api", "-", "halves", 7)?;
    stage.start_gateway()?;
    let answer = stage.send("pay-1", "pay");
    let id = stage.wait_for("half pay-1")?;
    if stage.has_trouble {
        stage.servers.find(&id).crash_and_restart(1_000)?;
    }
    let response = joined(answer)?;
    Ok(is_cut_body(stage, "pay-1", &response))
}

/// Another writer writes entries with the addresses of two sound engines, within streams that pause once.
fn foreign(stage: &mut Stage) -> io::Result<bool> {
    stage.servers.start("filing-api", "-", "halves", 3)?;
    stage.servers.start("draft-models", "a100", "silence", 7)?;
    stage.start_gateway()?;
    stage.wait_for_layers()?;
    let mut answers = Vec::new();
    let mut engines: BTreeMap<String, usize> = BTreeMap::new();
    for number in 1..=12 {
        let attempt = format!("note-{number}");
        let (address, record, sent) = (
            stage.gateways[0].callers,
            stage.record.clone(),
            attempt.clone(),
        );
        answers.push(thread::spawn(move || send_twice(address, &record, &sent)));
        let id = stage.wait_for(&format!("event 1 {attempt}"))?;
        *engines.entry(id).or_default() += 1;
    }
    stage.wait_for("event 8 note-12")?;
    if stage.has_trouble {
        let mut engines: Vec<(&String, &usize)> = engines.iter().collect();
        engines.sort_by_key(|(_, streams)| Reverse(**streams));
        for (id, _) in engines.iter().take(2) {
            stage.servers.find(id).write_foreign();
        }
    }
    let mut cut = 0;
    for answer in answers {
        let response = joined(answer)?;
        cut += usize::from(response.status == 200 && !response.is_complete);
    }
    let whole = stage.servers.heard.try_iter();
    let whole = whole
        .filter(|(_, line)| line.starts_with("whole note-"))
        .count();
    stage.record.line(&format!(
        "check: {cut} of 12 streams were cut; the engines sent {whole} whole ones to the end"
    ));
    Ok(cut > 3)
}

/// Sends a request, and then a stream on the same connection.
fn send_twice(address: SocketAddr, record: &Record, attempt: &str) -> Response {
    let Ok(mut connection) = client::connect(address) else {
        return Response::default();
    };
    let first = format!("{attempt}-first");
    send_on(&mut connection, record, &first, "/read/2f", KEY);
    send_on(&mut connection, record, attempt, "/note/2f", KEY)
}

/// The open connections to an engine go silent, one of them within a stream. Later it crashes within a stream on a new
/// connection.
fn silent(stage: &mut Stage) -> io::Result<bool> {
    stage.servers.has_proxies = true;
    stage.servers.start("draft-models", "a100", "events", 7)?;
    stage.start_gateway()?;
    stage.wait_for_layers()?;
    let first = stage.send("early", "note");
    let engine = stage.wait_for("event 1 early")?;
    if stage.has_trouble {
        stage.servers.find(&engine).mute();
    }
    let mut last = None;
    for number in 1..=20 {
        let attempt = format!("late-{number}");
        let answer = stage.send(&attempt, "note");
        let id = stage.wait_for(&format!("event 1 {attempt}"))?;
        if id == engine {
            last = Some((attempt, id, answer));
            break;
        }
    }
    let Some((attempt, id, answer)) = last else {
        return Err(io::Error::other("no stream came to the engine"));
    };
    stage.wait_for(&format!("event 5 {attempt}"))?;
    if stage.has_trouble {
        stage.servers.find(&id).crash();
    }
    let response = joined(answer)?;
    // The other stream ends with its deadline.
    drop(first);
    Ok(is_cut_stream(stage, &response))
}

/// An engine crashes within the body of a failure.
fn failure(stage: &mut Stage) -> io::Result<bool> {
    stage.servers.start("draft-models", "a100", "failure", 7)?;
    stage.start_gateway()?;
    let end = Instant::now() + START_TIME;
    loop {
        let answer = stage.send("draft-1", "draft");
        let id = stage.wait_for_or_end("half draft-1", &answer);
        let Some(id) = id else {
            if Instant::now() > end {
                return Err(io::Error::other("no stream reaches a server"));
            }
            joined(answer)?;
            thread::sleep(Duration::from_millis(500));
            continue;
        };
        if stage.has_trouble {
            stage.servers.find(&id).crash();
        }
        let response = joined(answer)?;
        return Ok(is_cut_body(stage, "draft-1", &response));
    }
}

impl Stage {
    /// Waits until a server says something, or the answer has ended.
    fn wait_for_or_end(&mut self, words: &str, answer: &JoinHandle<Response>) -> Option<String> {
        loop {
            match self.servers.heard.recv_timeout(Duration::from_millis(100)) {
                Ok((id, line)) if line == words => return Some(id),
                Ok(_) => {}
                Err(_) if answer.is_finished() => return None,
                Err(_) => {}
            }
        }
    }
}

/// A key is taken away. Later the store comes back from a copy that is older, and a machine is added.
fn drill(stage: &mut Stage) -> io::Result<bool> {
    stage.servers.start("filing-api", "-", "halves", 7)?;
    for _ in 0..3 {
        stage.start_gateway()?;
    }
    thread::sleep(Duration::from_millis(1_500));
    let copy = stage.store.copy();
    stage.record.line("store: this is the copy");
    thread::sleep(Duration::from_millis(500));
    let newer = configuration(8, &format!(r#""{KEY}""#));
    stage.store.put("op/config", &newer);
    let revoked_at = Instant::now();
    stage
        .record
        .line("operator: version 8 is acknowledged, which lacks the second key");
    thread::sleep(REVOKE_TIME + Duration::from_millis(700));
    if stage.has_trouble {
        stage.record.line("store: away");
        stage.store.leave();
        thread::sleep(Duration::from_millis(1_000));
        stage.store.restore(copy);
        stage.record.line("store: back from the copy");
    }
    let back_at = Instant::now();
    let (store, folder) = (stage.store.clone(), stage.folder.clone());
    let gateway = Gateway::start("edge-added", &store, &folder)?;
    stage.record.line("edge-added: started");
    let mut number = 0;
    let mut is_written = false;
    while back_at.elapsed() < Duration::from_millis(3_000) {
        if !is_written && back_at.elapsed() > Duration::from_millis(1_500) {
            is_written = true;
            stage.store.put("op/config", &newer);
            stage.record.line("operator: version 8 is written again");
        }
        number += 1;
        let since = revoked_at.elapsed();
        let attempt = format!("late-{number}");
        let response = send(gateway.callers, &stage.record, &attempt, "/pay/2f", REVOKED);
        let mut heard = stage.servers.heard.try_iter();
        if heard.any(|(_, line)| line == format!("run {attempt}")) {
            let status = response.status;
            stage.record.line(&format!(
                "check: {attempt}, sent {since:?} after the acknowledgement, ran; status {status}"
            ));
            return Ok(since > REVOKE_TIME);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(false)
}
