//! Directives of the scenario language, which `tests/scripts/README.md` documents.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use datadriven::TestCase;
use rustix::process::Signal;
use serde_json::json;

use crate::caller::Response;
use crate::plan::MODEL;
use crate::verdict;
use crate::world::CONDITION_TIMEOUT;
use crate::world::Cluster;
use crate::world::Parameters;
use crate::world::split_words;

/// A request in progress.
struct Request {
    /// Prompt of a chat; `None` for a call to the service.
    prompt: Option<String>,
    handle: JoinHandle<Response>,
    /// Receives one message per token.
    progress: Receiver<usize>,
}

/// State of a scenario between directives.
#[derive(Default)]
pub struct Script {
    cluster: Option<Cluster>,
    /// Requests in progress by `id`; several can share one.
    requests: HashMap<String, Vec<Request>>,
    /// Last event id of each stream whose result was read, used to resume it.
    last_events: HashMap<String, String>,
    /// Number of executions at a mark, by mark and name of the stand-in.
    marks: HashMap<(String, String), usize>,
    /// Text received by each request whose result was read, prepended to the result of a resumed stream.
    received_texts: HashMap<String, String>,
}

impl Script {
    /// Runs one directive and returns its output.
    pub fn run_directive(&mut self, case: &mut TestCase) -> String {
        let name = case.directive.clone();
        let mut text = match name.as_str() {
            "cluster" => self.start_cluster(case),
            "stream" => self.stream(case),
            "progress" => self.progress(case),
            "call" => self.call(case),
            "result" => self.result(case),
            "get" => self.get(case),
            "kill" | "pause" | "resume" | "terminate" | "restart" | "ended" => {
                self.control_process(case)
            }
            "fault" => self.fault(case),
            "hosts" => self.hosts(case),
            "apply" => self.apply(case),
            "ctl" => self.ctl(case),
            "await" => self.await_condition(case),
            "calls" => verdict::count_calls(self.cluster()),
            "layers" => verdict::check_layers(self.cluster()),
            "load" => verdict::check_load(self.cluster()),
            "executions" => self.executions(case),
            "log" => self.log(case),
            "sleep" => sleep(case),
            "snapshot" | "restore" => self.snapshot(&name),
            "race" => self.race(case),
            "forget" => self.forget(case),
            other => panic!("unknown directive `{other}`"),
        };
        case.expect_empty().expect("unknown argument");
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        text
    }

    /// The last log lines of all processes, for the report of a failure.
    pub fn logs(&self) -> String {
        self.cluster.as_ref().map(Cluster::logs).unwrap_or_default()
    }

    pub(crate) fn cluster(&self) -> &Cluster {
        self.cluster
            .as_ref()
            .expect("a scenario starts with `cluster`")
    }

    pub(crate) fn cluster_mut(&mut self) -> &mut Cluster {
        self.cluster
            .as_mut()
            .expect("a scenario starts with `cluster`")
    }

    fn start_cluster(&mut self, case: &mut TestCase) -> String {
        let mut lines: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for line in case.input.lines() {
            let (kind, rest) = line
                .split_once(": ")
                .expect("lines of the form `settings: …`, `limits: …` or `engines: …`");
            let kind = ["settings", "limits", "engines"]
                .into_iter()
                .find(|known| *known == kind);
            lines
                .entry(kind.expect("a known kind of line"))
                .or_default()
                .push(rest.to_owned());
        }
        let mut take = |kind: &str| lines.remove(kind).unwrap_or_default();
        let parameters = Parameters {
            hosts: argument_or(case, "hosts", 2),
            halves: argument_or(case, "halves", 1),
            stages: argument_or(case, "stages", 3),
            replicas: argument_or(case, "replicas", 2),
            servers: argument_or(case, "servers", 0),
            throughput: argument_or(case, "throughput", 2_000),
            engine_arguments: take("engines")
                .iter()
                .flat_map(|line| split_words(line))
                .collect(),
            settings: take("settings").join("\n"),
            limits: take("limits").join("\n"),
        };
        self.cluster = Some(Cluster::start(&parameters));
        "ready".to_owned()
    }

    fn stream(&mut self, case: &mut TestCase) -> String {
        let id: String = argument_or(case, "id", "s".to_owned());
        let count: usize = argument_or(case, "count", 1);
        let half: usize = argument_or(case, "half", 0);
        let prompt: String = argument_or(case, "prompt", id.clone());
        let resume: Option<String> = case.try_take_arg("resume").expect("resume=ID");
        let entries = self.entries(case);
        let resume = resume.map(|name| self.last_events.get(&name).cloned().unwrap_or_default());
        for index in 0..count {
            let entry = entries[index % entries.len()];
            let prompt = if count == 1 {
                prompt.clone()
            } else {
                format!("{prompt} number {index}")
            };
            let (sender, progress) = mpsc::channel();
            let (text, resume) = (prompt.clone(), resume.clone());
            let handle = thread::spawn(move || {
                Cluster::caller(half).stream(entry, MODEL, &text, resume.as_deref(), &sender)
            });
            let request = Request {
                prompt: Some(prompt),
                handle,
                progress,
            };
            self.requests.entry(id.clone()).or_default().push(request);
        }
        String::new()
    }

    /// Waits until each stream has received a number of further tokens.
    fn progress(&mut self, case: &mut TestCase) -> String {
        let id: String = argument_or(case, "id", "s".to_owned());
        let tokens: usize = argument_or(case, "tokens", 1);
        for request in self.requests.get(&id).expect("a stream with this id") {
            for _ in 0..tokens {
                if request.progress.recv_timeout(CONDITION_TIMEOUT).is_err() {
                    return format!("fewer than {tokens} tokens were received");
                }
            }
        }
        String::new()
    }

    fn call(&mut self, case: &mut TestCase) -> String {
        let id: String = argument_or(case, "id", "c".to_owned());
        let key: String = argument_or(case, "key", String::new());
        let count: usize = argument_or(case, "count", 1);
        let amount: u64 = argument_or(case, "amount", 100);
        let path = input_path(case, "/v1/services/payments/pay");
        let entries = self.entries(case);
        for index in 0..count {
            let entry = entries[index % entries.len()];
            let (key, path) = (key.clone(), path.clone());
            let (_, progress) = mpsc::channel();
            let handle = thread::spawn(move || {
                let headers = [("idempotency-key", key.as_str())];
                let headers = if key.is_empty() {
                    &[][..]
                } else {
                    &headers[..]
                };
                Cluster::caller(0).post(entry, &path, headers, &json!({ "amount": amount }))
            });
            let request = Request {
                prompt: None,
                handle,
                progress,
            };
            self.requests.entry(id.clone()).or_default().push(request);
        }
        String::new()
    }

    /// Waits for all requests with an id. Prints each distinct result with its count, sorted by result.
    fn result(&mut self, case: &mut TestCase) -> String {
        let id: String = argument_or(case, "id", "s".to_owned());
        let after: Option<String> = case.try_take_arg("after").expect("after=ID");
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for request in self.requests.remove(&id).expect("a request with this id") {
            let mut response = request
                .handle
                .join()
                .expect("the caller's thread does not panic");
            if let Some(event) = response.event_ids.last() {
                self.last_events.insert(id.clone(), event.clone());
            }
            self.received_texts
                .insert(id.clone(), response.body.clone());
            if let Some(text) = after
                .as_ref()
                .and_then(|name| self.received_texts.get(name))
            {
                response.body.insert_str(0, text);
            }
            let line = match request.prompt {
                Some(prompt) => verdict::check_chat(self.cluster(), &prompt, &response),
                None => response.summary(),
            };
            *counts.entry(line).or_default() += 1;
        }
        let lines: Vec<String> = counts
            .iter()
            .map(|(line, count)| format!("{count} × {line}"))
            .collect();
        lines.join("\n")
    }

    fn get(&mut self, case: &mut TestCase) -> String {
        let path = input_path(case, "/readyz");
        let entries = self.entries(case);
        Cluster::caller(0).get(entries[0], &path).summary()
    }

    fn control_process(&mut self, case: &mut TestCase) -> String {
        let targets: Vec<String> = case
            .take_args("target")
            .expect("target=NAME or target=(NAME, …)");
        let directive = case.directive.clone();
        let cluster = self.cluster_mut();
        let mut text = String::new();
        for target in targets {
            match directive.as_str() {
                "kill" => cluster.process(&target).kill(),
                "pause" => cluster.signal(&target, Signal::STOP),
                "resume" => cluster.signal(&target, Signal::CONT),
                "terminate" => cluster.signal(&target, Signal::TERM),
                "restart" => cluster.restart(&target),
                _ => {
                    let status = cluster.process(&target).wait(2 * CONDITION_TIMEOUT);
                    let code =
                        status.map_or("still running".to_owned(), |status| format!("{status}"));
                    writeln!(text, "{target}: {code}").expect("writing to a String cannot fail");
                }
            }
        }
        text
    }

    fn fault(&mut self, case: &mut TestCase) -> String {
        let targets: Vec<String> = case.take_args("target").expect("target=NAME");
        for target in targets {
            self.cluster().set_faults(&target, &case.input);
        }
        String::new()
    }

    fn hosts(&mut self, case: &mut TestCase) -> String {
        let leaving: Vec<String> = case
            .try_take_args("leaving")
            .expect("leaving=NAME")
            .unwrap_or_default();
        self.cluster().write_hosts(&leaving);
        String::new()
    }

    fn apply(&mut self, case: &mut TestCase) -> String {
        let without: Vec<String> = case
            .try_take_args("without")
            .expect("without=NAME")
            .unwrap_or_default();
        let settings: Option<String> = case.try_take_arg("settings").expect("settings=LINE");
        if let Some(settings) = settings {
            self.cluster_mut().plan.settings = settings;
        }
        if !case.input.trim().is_empty() {
            self.cluster_mut().plan.settings.clone_from(&case.input);
        }
        let (code, text) = self.cluster().apply(&without);
        // The text of other codes is omitted, because it contains paths and addresses.
        if code == 1 {
            format!("exit {code}\n{text}")
        } else {
            format!("exit {code}")
        }
    }

    fn ctl(&mut self, case: &mut TestCase) -> String {
        let arguments = split_words(case.input.trim());
        let (code, _) = self.cluster().ctl(&arguments);
        format!("exit {code}")
    }

    /// Prints the number of steps or calls that a stand-in executed, in total or `since` a mark. With `mark`, stores
    /// the number and prints nothing.
    fn executions(&mut self, case: &mut TestCase) -> String {
        let targets: Vec<String> = case.take_args("target").expect("target=NAME");
        let mark: Option<String> = case.try_take_arg("mark").expect("mark=NAME");
        let since: Option<String> = case.try_take_arg("since").expect("since=NAME");
        let mut text = String::new();
        for target in targets {
            let count = self.cluster().executions(&target).unwrap_or_default().len();
            if let Some(mark) = &mark {
                self.marks.insert((mark.clone(), target), count);
                continue;
            }
            let before = since
                .as_ref()
                .map_or(0, |mark| self.marks[&(mark.clone(), target.clone())]);
            writeln!(text, "{target}: {}", count - before)
                .expect("writing to a String cannot fail");
        }
        text
    }

    /// Makes the platform take a snapshot of all keys or restore the last one.
    fn snapshot(&mut self, action: &str) -> String {
        let cluster = self.cluster();
        let response = Cluster::caller(0).post(
            cluster.fake_address("platform"),
            &format!("/fake/{action}"),
            &[],
            &json!({}),
        );
        assert!((200..300).contains(&response.status), "{response:?}");
        String::new()
    }

    /// Applies a different document for each of several concurrent operators. Prints their exit codes, sorted.
    fn race(&mut self, case: &mut TestCase) -> String {
        let without: Vec<String> = case.take_args("without").expect("without=(NAME, NAME)");
        let base: u64 = argument_or(case, "base", 1);
        let cluster = self.cluster();
        let mut codes: Vec<i32> = thread::scope(|scope| {
            let apply = |name: &String| {
                let name = name.clone();
                scope.spawn(move || cluster.apply_on_base(&[name], Some(base)).0)
            };
            let handles: Vec<_> = without.iter().map(apply).collect();
            handles
                .into_iter()
                .map(|handle| handle.join().expect("the operator's thread does not panic"))
                .collect()
        });
        codes.sort_unstable();
        let lines: Vec<String> = codes.iter().map(|code| format!("exit {code}")).collect();
        lines.join("\n")
    }

    /// Drops requests in progress without checking their results.
    fn forget(&mut self, case: &mut TestCase) -> String {
        let id: String = case.take_arg("id").expect("id=NAME");
        self.requests.remove(&id);
        String::new()
    }

    /// Reports whether the log of a process contains a text, in which `_` stands for a space.
    fn log(&mut self, case: &mut TestCase) -> String {
        let target: String = case.take_arg("target").expect("target=NAME");
        let needle: String = case.take_arg("text").expect("text=TEXT");
        let needle = needle.replace('_', " ");
        let log = self.cluster_mut().process(&target).log_text();
        let found = log.lines().any(|line| line.contains(&needle));
        if found {
            "found".to_owned()
        } else {
            "not found".to_owned()
        }
    }

    /// Addresses of the entries named by `entry=h0` or `entry=(h0, h1)`; all entries without this argument.
    pub(crate) fn entries(&self, case: &mut TestCase) -> Vec<std::net::SocketAddr> {
        let network = self.cluster().network;
        self.host_indexes(case, "entry")
            .into_iter()
            .map(|index| network.entry(index))
            .collect()
    }

    /// Indexes of the hosts named by an argument; all hosts without this argument.
    pub(crate) fn host_indexes(&self, case: &mut TestCase, argument: &str) -> Vec<u8> {
        let names: Option<Vec<String>> = case.try_take_args(argument).expect("host names");
        names.map_or_else(
            || (0..self.cluster().hosts).collect(),
            |names| names.iter().map(|name| host_index(name)).collect(),
        )
    }
}

/// The path given as the input of a directive, because an argument can't hold a path.
fn input_path(case: &TestCase, default: &str) -> String {
    let path = case.input.trim();
    if path.is_empty() {
        default.to_owned()
    } else {
        path.to_owned()
    }
}

pub(crate) fn host_index(name: &str) -> u8 {
    name.trim_start_matches('h')
        .parse()
        .expect("a host name such as h0")
}

/// Sends a chat for one token, whose text is not checked.
pub(crate) fn send_short_chat(entry: std::net::SocketAddr) -> Response {
    let body = json!({"model": MODEL, "max_tokens": 1, "messages": [{"role": "user", "content": "hello"}]});
    Cluster::caller(0).post(entry, "/v1/chat/completions", &[], &body)
}

/// Waits for a fixed time. Used where the guarantee under test depends on time.
fn sleep(case: &mut TestCase) -> String {
    let time: u64 = case.take_arg("ms").expect("ms=NUMBER");
    thread::sleep(Duration::from_millis(time));
    String::new()
}

/// The value of an argument, or a default.
pub(crate) fn argument_or<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name)
        .unwrap_or_else(|error| panic!("{name}: {error:?}"))
        .unwrap_or(default)
}
