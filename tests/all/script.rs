//! Directives of the scenario language; `tests/scripts/README.md` lists them.

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

use crate::caller::Answer;
use crate::plan::MODEL;
use crate::verdict;
use crate::world::PATIENCE;
use crate::world::Size;
use crate::world::World;
use crate::world::words;

/// A request in progress.
struct Pending {
    /// Prompt of a chat; `None` for a call.
    prompt: Option<String>,
    handle: JoinHandle<Answer>,
    /// Announces each token.
    progress: Receiver<usize>,
}

/// State of a scenario between directives.
#[derive(Default)]
pub struct Script {
    world: Option<World>,
    /// Requests in progress by name; several may share one.
    pending: HashMap<String, Vec<Pending>>,
    /// Last event id of each finished stream, for resuming.
    last_events: HashMap<String, String>,
    /// Executions of a fake at a mark, by mark and name.
    marks: HashMap<(String, String), usize>,
    /// Stored texts of interrupted streams.
    texts: HashMap<String, String>,
}

impl Script {
    /// Runs one directive and returns what was seen.
    pub fn run(&mut self, case: &mut TestCase) -> String {
        let name = case.directive.clone();
        let mut text = match name.as_str() {
            "cluster" => self.cluster(case),
            "stream" => self.stream(case),
            "progress" => self.progress(case),
            "call" => self.call(case),
            "result" => self.result(case),
            "get" => self.get(case),
            "kill" | "pause" | "resume" | "terminate" | "restart" | "ended" => self.process(case),
            "fault" => self.fault(case),
            "hosts" => self.hosts(case),
            "apply" => self.apply(case),
            "ctl" => self.ctl(case),
            "await" => self.await_condition(case),
            "calls" => verdict::calls(self.world()),
            "layers" => verdict::layers(self.world()),
            "load" => verdict::load(self.world()),
            "executions" => self.executions(case),
            "log" => self.log(case),
            "sleep" => sleep(case),
            "snapshot" | "restore" => self.snapshot(&name),
            "race" => self.race(case),
            "forget" => self.forget(case),
            other => panic!("unknown directive {other}"),
        };
        case.expect_empty().expect("unknown argument");
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        text
    }

    /// The logs of all processes, for failures.
    pub fn logs(&self) -> String {
        self.world.as_ref().map(World::logs).unwrap_or_default()
    }

    pub(crate) fn world(&self) -> &World {
        self.world
            .as_ref()
            .expect("a scenario starts with `cluster`")
    }

    pub(crate) fn world_mut(&mut self) -> &mut World {
        self.world
            .as_mut()
            .expect("a scenario starts with `cluster`")
    }

    fn cluster(&mut self, case: &mut TestCase) -> String {
        let mut lines: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for line in case.input.lines() {
            let (kind, rest) = line
                .split_once(": ")
                .expect("lines are `settings: …`, `limits: …` or `engines: …`");
            let kind = ["settings", "limits", "engines"]
                .into_iter()
                .find(|known| *known == kind);
            lines
                .entry(kind.expect("a known kind of line"))
                .or_default()
                .push(rest.to_owned());
        }
        let mut take = |kind: &str| lines.remove(kind).unwrap_or_default();
        let size = Size {
            hosts: argument(case, "hosts", 2),
            halves: argument(case, "halves", 1),
            stages: argument(case, "stages", 3),
            replicas: argument(case, "replicas", 2),
            servers: argument(case, "servers", 0),
            throughput: argument(case, "throughput", 2_000),
            engine_arguments: take("engines")
                .iter()
                .flat_map(|line| words(line))
                .collect(),
            settings: take("settings").join("\n"),
            limits: take("limits").join("\n"),
        };
        self.world = Some(World::start(&size));
        "ready".to_owned()
    }

    fn stream(&mut self, case: &mut TestCase) -> String {
        let id: String = argument(case, "id", "s".to_owned());
        let count: usize = argument(case, "count", 1);
        let half: usize = argument(case, "half", 0);
        let prompt: String = argument(case, "prompt", id.clone());
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
                World::caller(half).stream(entry, MODEL, &text, resume.as_deref(), &sender)
            });
            let pending = Pending {
                prompt: Some(prompt),
                handle,
                progress,
            };
            self.pending.entry(id.clone()).or_default().push(pending);
        }
        String::new()
    }

    /// Waits until each stream has brought a number of tokens.
    fn progress(&mut self, case: &mut TestCase) -> String {
        let id: String = argument(case, "id", "s".to_owned());
        let tokens: usize = argument(case, "tokens", 1);
        for pending in self.pending.get(&id).expect("a stream with this name") {
            for _ in 0..tokens {
                if pending.progress.recv_timeout(PATIENCE).is_err() {
                    return format!("no {tokens} tokens");
                }
            }
        }
        String::new()
    }

    fn call(&mut self, case: &mut TestCase) -> String {
        let id: String = argument(case, "id", "c".to_owned());
        let key: String = argument(case, "key", String::new());
        let count: usize = argument(case, "count", 1);
        let amount: u64 = argument(case, "amount", 100);
        let path = path(case, "/v1/services/payments/pay");
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
                World::caller(0).post(entry, &path, headers, &json!({ "amount": amount }))
            });
            let pending = Pending {
                prompt: None,
                handle,
                progress,
            };
            self.pending.entry(id.clone()).or_default().push(pending);
        }
        String::new()
    }

    /// Waits for all requests with a name; prints each kind of result with its number, sorted.
    fn result(&mut self, case: &mut TestCase) -> String {
        let id: String = argument(case, "id", "s".to_owned());
        let after: Option<String> = case.try_take_arg("after").expect("after=ID");
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for pending in self.pending.remove(&id).expect("a request with this name") {
            let mut answer = pending.handle.join().expect("the caller's thread ends");
            if let Some(event) = answer.events.last() {
                self.last_events.insert(id.clone(), event.clone());
            }
            self.texts.insert(id.clone(), answer.body.clone());
            if let Some(text) = after.as_ref().and_then(|name| self.texts.get(name)) {
                answer.body.insert_str(0, text);
            }
            let line = match pending.prompt {
                Some(prompt) => verdict::chat(self.world(), &prompt, &answer),
                None => answer.summary(),
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
        let path = path(case, "/readyz");
        let entries = self.entries(case);
        World::caller(0).get(entries[0], &path).summary()
    }

    fn process(&mut self, case: &mut TestCase) -> String {
        let targets: Vec<String> = case
            .take_args("target")
            .expect("target=NAME or target=(NAME, …)");
        let directive = case.directive.clone();
        let world = self.world_mut();
        let mut text = String::new();
        for target in targets {
            match directive.as_str() {
                "kill" => world.process(&target).kill(),
                "pause" => world.signal(&target, Signal::STOP),
                "resume" => world.signal(&target, Signal::CONT),
                "terminate" => world.signal(&target, Signal::TERM),
                "restart" => world.restart(&target),
                _ => {
                    let status = world.process(&target).wait(2 * PATIENCE);
                    let code =
                        status.map_or("still running".to_owned(), |status| format!("{status}"));
                    writeln!(text, "{target}: {code}").expect("text grows");
                }
            }
        }
        text
    }

    fn fault(&mut self, case: &mut TestCase) -> String {
        let targets: Vec<String> = case.take_args("target").expect("target=NAME");
        for target in targets {
            self.world().fault(&target, &case.input);
        }
        String::new()
    }

    fn hosts(&mut self, case: &mut TestCase) -> String {
        let leaving: Vec<String> = case
            .try_take_args("leaving")
            .expect("leaving=NAME")
            .unwrap_or_default();
        self.world().write_hosts(&leaving);
        String::new()
    }

    fn apply(&mut self, case: &mut TestCase) -> String {
        let without: Vec<String> = case
            .try_take_args("without")
            .expect("without=NAME")
            .unwrap_or_default();
        let settings: Option<String> = case.try_take_arg("settings").expect("settings=LINE");
        if let Some(settings) = settings {
            self.world_mut().plan.settings = settings;
        }
        if !case.input.trim().is_empty() {
            self.world_mut().plan.settings.clone_from(&case.input);
        }
        let (code, text) = self.world().apply(&without);
        // Other codes come without text, because that names paths and addresses.
        if code == 1 {
            format!("exit {code}\n{text}")
        } else {
            format!("exit {code}")
        }
    }

    fn ctl(&mut self, case: &mut TestCase) -> String {
        let arguments = words(case.input.trim());
        let (code, _) = self.world().ctl(&arguments);
        format!("exit {code}")
    }

    /// Number of steps or calls that a fake ran, in all or `since` a mark; `mark` only remembers it.
    fn executions(&mut self, case: &mut TestCase) -> String {
        let targets: Vec<String> = case.take_args("target").expect("target=NAME");
        let mark: Option<String> = case.try_take_arg("mark").expect("mark=NAME");
        let since: Option<String> = case.try_take_arg("since").expect("since=NAME");
        let mut text = String::new();
        for target in targets {
            let count = self.world().executions(&target).unwrap_or_default().len();
            if let Some(mark) = &mark {
                self.marks.insert((mark.clone(), target), count);
                continue;
            }
            let before = since
                .as_ref()
                .map_or(0, |mark| self.marks[&(mark.clone(), target.clone())]);
            writeln!(text, "{target}: {}", count - before).expect("text grows");
        }
        text
    }

    /// Makes the platform remember all keys, or go back to those that it remembers.
    fn snapshot(&mut self, action: &str) -> String {
        let world = self.world();
        let answer = World::caller(0).post(
            world.fake("platform"),
            &format!("/fake/{action}"),
            &[],
            &json!({}),
        );
        assert!((200..300).contains(&answer.status), "{answer:?}");
        String::new()
    }

    /// Applies a different document from each of several operators at the same moment; prints their exit
    /// codes, sorted.
    fn race(&mut self, case: &mut TestCase) -> String {
        let without: Vec<String> = case.take_args("without").expect("without=(NAME, NAME)");
        let base: u64 = argument(case, "base", 1);
        let world = self.world();
        let mut codes: Vec<i32> = thread::scope(|scope| {
            let apply = |name: &String| {
                let name = name.clone();
                scope.spawn(move || world.apply_over(&[name], Some(base)).0)
            };
            let handles: Vec<_> = without.iter().map(apply).collect();
            handles
                .into_iter()
                .map(|handle| handle.join().expect("an operator"))
                .collect()
        });
        codes.sort_unstable();
        let lines: Vec<String> = codes.iter().map(|code| format!("exit {code}")).collect();
        lines.join("\n")
    }

    /// Drops requests in progress without looking at their results.
    fn forget(&mut self, case: &mut TestCase) -> String {
        let id: String = case.take_arg("id").expect("id=NAME");
        self.pending.remove(&id);
        String::new()
    }

    /// Number of log lines of a process with a text (`_` stands for a space).
    fn log(&mut self, case: &mut TestCase) -> String {
        let target: String = case.take_arg("target").expect("target=NAME");
        let needle: String = case.take_arg("text").expect("text=TEXT");
        let needle = needle.replace('_', " ");
        let log = self.world_mut().process(&target).log_text();
        let found = log.lines().any(|line| line.contains(&needle));
        if found {
            "found".to_owned()
        } else {
            "not found".to_owned()
        }
    }

    /// Addresses of the entries named by `entry=` or `entry=(h0, h1)`; all when it is left out.
    pub(crate) fn entries(&self, case: &mut TestCase) -> Vec<std::net::SocketAddr> {
        let network = self.world().network;
        self.host_indexes(case, "entry")
            .into_iter()
            .map(|index| network.entry(index))
            .collect()
    }

    pub(crate) fn host_indexes(&self, case: &mut TestCase, argument: &str) -> Vec<u8> {
        let names: Option<Vec<String>> = case.try_take_args(argument).expect("host names");
        names.map_or_else(
            || (0..self.world().hosts).collect(),
            |names| names.iter().map(|name| host_index(name)).collect(),
        )
    }
}

/// The path in the input of a directive, which the arguments cannot hold.
fn path(case: &TestCase, default: &str) -> String {
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

/// A short chat that is not judged.
pub(crate) fn chat(entry: std::net::SocketAddr) -> Answer {
    let body = json!({"model": MODEL, "max_tokens": 1, "messages": [{"role": "user", "content": "hello"}]});
    World::caller(0).post(entry, "/v1/chat/completions", &[], &body)
}

/// Lets time pass, where a guarantee itself speaks of a time.
fn sleep(case: &mut TestCase) -> String {
    let time: u64 = case.take_arg("ms").expect("ms=NUMBER");
    thread::sleep(Duration::from_millis(time));
    String::new()
}

pub(crate) fn argument<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name)
        .unwrap_or_else(|error| panic!("{name}: {error:?}"))
        .unwrap_or(default)
}
