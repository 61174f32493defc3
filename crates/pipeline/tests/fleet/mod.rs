//! Test fleet: fake engines and a routing table that lists them.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use smol::channel;
use smol::channel::Receiver;

use agatemill_config::Document;
use agatemill_config::document;
use agatemill_core::Outcome;
use agatemill_core::Priority;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_core::quantity::Rate;
use agatemill_core::quantity::Size;
use agatemill_engine::Client;
use agatemill_fake::engine::Engine;
use agatemill_fake::engine::Execution;
use agatemill_fake::engine::Faults;
use agatemill_fake::engine::Settings;
use agatemill_fake::model;
use agatemill_limits::Budget;
use agatemill_metrics::Registry;
use agatemill_pipeline::Event;
use agatemill_pipeline::Generation;
use agatemill_pipeline::Request;
use agatemill_pipeline::event::Finish;
use agatemill_routing::Table;
use agatemill_routing::policy;
use agatemill_routing::policy::Policy;

/// Layers of the model.
pub const LAYERS: u32 = 12;

const RANGES: [&str; 3] = ["0..4", "4..8", "8..12"];

/// Deadline of requests that are expected to succeed.
const DEADLINE: Duration = Duration::from_secs(30);

type OwnSessions = Arc<Mutex<HashMap<id::Server, u32>>>;

pub type Item = Result<Event, Refusal>;

pub struct Fleet {
    /// Engines by stage and replica; `None` after a kill.
    engines: Mutex<Vec<Option<Engine>>>,
    replicas: usize,
    pub generation: Generation,
    metrics: Registry,
    table: Arc<Table>,
    /// Open sessions of this entry on each engine, as of the most recent choice of a chain.
    own_sessions: OwnSessions,
}

fn id<T: core::str::FromStr<Err: core::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

/// The estimated-cost policy, which also records this entry's sessions on each engine that it compares.
fn recording_policy(own_sessions: &OwnSessions) -> Policy {
    let Policy { cost, .. } = policy::estimated();
    let own_sessions = Arc::clone(own_sessions);
    let record = move |engine: &agatemill_routing::Engine, random: f64| {
        let mut own_sessions = own_sessions.lock().expect("not poisoned");
        own_sessions.insert(engine.facts.name.clone(), engine.load.own_sessions());
        cost(engine, random)
    };
    Policy {
        cost: Arc::new(record),
        ..policy::estimated()
    }
}

impl Fleet {
    /// Starts `replicas` engines for each of three stages.
    pub async fn start(replicas: usize, timeout: Duration) -> Self {
        let mut engines = Vec::new();
        let mut document = Document {
            halves: vec![id("half")],
            models: vec![document::Model {
                name: id("m"),
                version: id("1"),
                layers: LAYERS,
                activation: Size(8),
            }],
            ..Document::default()
        };
        for (stage, layers) in RANGES.iter().enumerate() {
            for replica in 0..replicas {
                let name = format!("e{stage}{replica}");
                let settings = Settings::instant(id(&name), id("m"), id("1"), id(layers));
                let engine = Engine::listen(settings).await.expect("listens");
                document.engines.push(document::Engine {
                    name: id(&name),
                    address: engine.address(),
                    half: id("half"),
                    zone: id("z"),
                    accelerator: id("a"),
                    model: id("m"),
                    version: id("1"),
                    layers: id(layers),
                    throughput: Rate::new(1000.0).expect("a rate"),
                    batch: 16,
                    fencing: false,
                });
                engines.push(Some(engine));
            }
        }
        let own_sessions = OwnSessions::default();
        let table = Arc::new(Table::new(
            id("host"),
            id("z"),
            recording_policy(&own_sessions),
        ));
        table.apply(&document);
        let metrics = Registry::new().expect("metrics");
        let settings = agatemill_pipeline::Settings {
            step_timeout: timeout,
            // The tests count moves. A shorter probe delay could add some on a busy machine.
            min_probe_delay: timeout,
            ..agatemill_pipeline::Settings::default()
        };
        let generation = Generation::new(
            Arc::clone(&table),
            Client::new(agatemill_http::Client::new(Duration::from_secs(1))),
            metrics.clone(),
            Arc::new(Mutex::new(Budget::new(200))),
            settings,
        );
        Self {
            engines: Mutex::new(engines),
            replicas,
            generation,
            metrics,
            table,
            own_sessions,
        }
    }

    /// Kills an engine and returns its executions.
    pub fn kill(&self, stage: usize, replica: usize) -> Vec<Execution> {
        let index = stage * self.replicas + replica;
        let engine = self.engines.lock().expect("not poisoned")[index].take();
        let engine = engine.expect("still runs");
        let executions = engine.executions();
        engine.close();
        executions
    }

    /// Calls `call` for every running engine, with its stage and replica.
    pub fn each<T>(&self, call: impl Fn(usize, usize, &Engine) -> T) -> Vec<T> {
        let engines = self.engines.lock().expect("not poisoned");
        let alive = engines.iter().enumerate();
        alive
            .filter_map(|(index, engine)| {
                let engine = engine.as_ref()?;
                Some(call(index / self.replicas, index % self.replicas, engine))
            })
            .collect()
    }

    /// Changes the injected faults of a running engine.
    pub fn fault(&self, stage: usize, replica: usize, change: impl Fn(&mut Faults)) {
        self.each(|other, index, engine| {
            if (other, index) == (stage, replica) {
                engine.update_faults(&change);
            }
        });
    }

    /// Sessions that the table counts as open by this entry, over all engines.
    pub fn open_sessions(&self) -> u32 {
        self.own_sessions.lock().expect("not poisoned").clear();
        let request = agatemill_routing::Request {
            half: id("half"),
            model: id("m"),
            prefix: None,
            exclude: Vec::new(),
        };
        let now = agatemill_runtime::now();
        if let Some(chain) = self.table.choose(&request, now) {
            self.table.record_close(&chain, now);
        }
        self.own_sessions
            .lock()
            .expect("not poisoned")
            .values()
            .sum()
    }

    /// The replica of a stage that has a session.
    pub fn busy(&self, stage: usize) -> usize {
        let found = self.each(|other, replica, engine| {
            (other == stage && engine.sessions() > 0).then_some(replica)
        });
        found
            .into_iter()
            .flatten()
            .next()
            .expect("a session is open")
    }

    /// Starts a generation of up to 100 tokens.
    pub fn spawn(&self, name: &str, prompt: &str) -> (Receiver<Item>, smol::Task<Outcome>) {
        self.spawn_request(request(name, prompt), 1)
    }

    /// Starts a generation whose caller buffers up to `capacity` unread events.
    pub fn spawn_request(
        &self,
        request: Request,
        capacity: usize,
    ) -> (Receiver<Item>, smol::Task<Outcome>) {
        let (sender, receiver) = channel::bounded(capacity);
        let generation = self.generation.clone();
        let run = async move { generation.run(&request, &sender).await };
        (receiver, agatemill_runtime::spawn(run))
    }

    /// Checks that every session ran each layer over each position exactly once, in order.
    pub fn check_executions(&self, killed: Vec<Vec<Execution>>) {
        let mut next: HashMap<(String, u32), u32> = HashMap::new();
        let alive = self.each(|_, _, engine| engine.executions());
        let mut all = alive;
        all.extend(killed);
        for execution in all.into_iter().flatten() {
            for layer in execution.layers.start()..execution.layers.end() {
                let key = (execution.session.to_string(), layer);
                let next = next.entry(key).or_default();
                assert_eq!(*next, execution.position.0, "{execution:?}");
                *next += execution.count;
            }
        }
    }

    /// Checks that all attempts together ran each layer over each position exactly once, in order. Within an
    /// attempt, each layer runs on one engine.
    pub fn check_continued_executions(&self) {
        let executions = self.each(|_, _, engine| engine.executions());
        let mut executions: Vec<_> = executions.into_iter().flatten().collect();
        executions.sort_by_key(|execution| execution.attempt);
        let mut next = [0; LAYERS as usize];
        for execution in executions {
            let layers = execution.layers.start() as usize..execution.layers.end() as usize;
            for next in &mut next[layers] {
                assert_eq!(*next, execution.position.0, "{execution:?}");
                *next += execution.count;
            }
        }
        assert!(
            next.iter().all(|positions| *positions == next[0]),
            "{next:?}"
        );
    }

    /// Waits until no engine has a session.
    pub async fn check_cancelled(&self) {
        for _ in 0..100 {
            if self
                .each(|_, _, engine| engine.sessions())
                .iter()
                .all(|open| *open == 0)
            {
                return;
            }
            agatemill_runtime::sleep(Duration::from_millis(20)).await;
        }
        panic!("sessions are left open");
    }

    /// The value of a counter for a `reason` label.
    pub fn count(&self, metric: &str, reason: &str) -> u64 {
        let text = String::from_utf8(self.metrics.export().expect("exports")).expect("text");
        let start = format!("{metric}_total{{reason=\"{reason}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&start));
        line.map_or(0, |value| value.parse().expect("a number"))
    }
}

pub fn request(name: &str, prompt: &str) -> Request {
    Request {
        id: id(name),
        half: id("half"),
        model: id("m"),
        prompt: prompt.into(),
        prefix: None,
        max_tokens: 100,
        temperature: 0.0,
        seed: None,
        priority: Priority::Normal,
        deadline: agatemill_runtime::now() + DEADLINE,
        skip: 0,
    }
}

/// Reads `count` tokens, or fewer if the answer ends.
pub async fn read(receiver: &Receiver<Item>, count: usize) -> Vec<(u32, String)> {
    let mut tokens = Vec::new();
    while tokens.len() < count {
        match receiver.recv().await {
            Ok(Ok(Event::Token { index, id, text })) => {
                assert_eq!(index as usize, tokens.len());
                tokens.push((id, text.into()));
            }
            Ok(Ok(Event::End { reason, .. })) => {
                assert_eq!(reason, Finish::Stop);
                return tokens;
            }
            other => panic!("no end marker: {other:?}"),
        }
    }
    tokens
}

/// Reads the rest of the answer after `tokens` and compares the complete answer with the expected one.
pub async fn check_answer(receiver: &Receiver<Item>, mut tokens: Vec<(u32, String)>, prompt: &str) {
    loop {
        match receiver.recv().await {
            Ok(Ok(Event::Token { index, id, text })) => {
                assert_eq!(index as usize, tokens.len());
                tokens.push((id, text.into()));
            }
            Ok(Ok(Event::End { reason, usage })) => {
                assert_eq!(reason, Finish::Stop);
                assert_eq!(usage.generated as usize, tokens.len());
                break;
            }
            other => panic!("no end marker: {other:?}"),
        }
    }
    assert_eq!(tokens, model::expected("m", LAYERS, prompt, 100));
}

/// Reads until the refusal and returns it.
pub async fn refusal(receiver: &Receiver<Item>) -> Refusal {
    loop {
        match receiver.recv().await {
            Ok(Ok(Event::Token { .. })) => {}
            Ok(Err(refusal)) => return refusal,
            other => panic!("no refusal: {other:?}"),
        }
    }
}
