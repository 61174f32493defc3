//! Loads sent to running entries.

use core::net::SocketAddr;
use core::time::Duration;

use clap::Args;

use crate::Plan;
use crate::Report;
use crate::check;
use crate::check::Verdict;
use crate::client::Client;
use crate::client::Result as Answered;
use crate::plan::Item;
use crate::plan::Kind;
use crate::plan::Shape;

/// Longest time that requests arrive.
const MAX_SECONDS: f64 = 600.0;

/// Options of a load.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Address of an entry on loopback; may be given several times.
    #[arg(long, required = true)]
    pub entry: Vec<SocketAddr>,
    /// Address of the stand-in service, to check that its calls ran at most once.
    #[arg(long)]
    pub service: Option<SocketAddr>,
    /// Layers of the model, to check the answers.
    #[arg(long, default_value_t = 24)]
    pub layers: u32,
    /// Requests in each second on average.
    #[arg(long, default_value_t = 10.0)]
    pub rate: f64,
    /// Seconds in which requests arrive.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Requests in all at most.
    #[arg(long, default_value_t = 20_000)]
    pub limit: usize,
    /// Organisations, with the bearer tokens token-0, token-1 and so on.
    #[arg(long, default_value_t = 4)]
    pub organisations: u32,
    /// Prompt prefixes.
    #[arg(long, default_value_t = 8)]
    pub prefixes: u32,
    /// Words of each prefix.
    #[arg(long, default_value_t = 32)]
    pub prefix_words: u32,
    /// Most words of a prompt after its prefix.
    #[arg(long, default_value_t = 32)]
    pub own_words: u32,
    /// Share of non-idempotent calls.
    #[arg(long, default_value_t = 0.0)]
    pub calls: f64,
    /// Seconds that a request may take.
    #[arg(long, default_value_t = 30.0)]
    pub deadline: f64,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Options {
    fn shape(&self) -> Shape {
        Shape {
            rate: self.rate,
            duration: Duration::from_secs_f64(self.seconds.clamp(0.0, MAX_SECONDS)),
            organisations: self.organisations,
            prefixes: self.prefixes,
            prefix_words: self.prefix_words,
            own_words: self.own_words,
            calls: self.calls,
            limit: self.limit,
            seed: self.seed,
        }
    }
}

/// Sends a load to the entries of the options.
///
/// # Errors
///
/// An address outside loopback, or executions that cannot be read.
pub fn main(options: &Options) -> Result<Report, Box<dyn core::error::Error + Send + Sync>> {
    let addresses = options.entry.iter().chain(&options.service);
    if let Some(other) = addresses
        .into_iter()
        .find(|address| !address.ip().is_loopback())
    {
        return Err(format!("{other} is not a loopback address").into());
    }
    let limit = Duration::from_secs_f64(options.deadline.clamp(0.1, MAX_SECONDS));
    let client = Client::new(limit, options.layers);
    smol::block_on(async {
        let plan = Plan::new(&options.shape());
        let mut report = send("run", &client, &options.entry, &plan, Duration::ZERO).await;
        if let Some(service) = options.service {
            let keys = client.executions(service).await?;
            report.repeated = check::repeated(keys.iter().map(String::as_str));
        }
        Ok(report)
    })
}

/// Sends a load, each request at its planned time whatever became of the earlier ones. Latencies and the
/// goodput count requests planned, and tokens received, after `warm_up`.
pub async fn send(
    name: &str,
    client: &Client,
    entries: &[SocketAddr],
    plan: &Plan,
    warm_up: Duration,
) -> Report {
    let start = agatemill_runtime::now();
    let mut tasks = Vec::new();
    for (index, item) in plan.items.iter().enumerate() {
        let (client, item) = (client.clone(), item.clone());
        let entry = entries[index % entries.len()];
        let wait = (start + item.at).saturating_sub(agatemill_runtime::now());
        if !wait.is_zero() {
            agatemill_runtime::sleep(wait).await;
        }
        tasks.push(agatemill_runtime::spawn(async move {
            let answered = match &item.kind {
                Kind::Chat { message, .. } => client.chat(entry, item.organisation, message).await,
                Kind::Call { key } => client.call(entry, item.organisation, key).await,
            };
            (item, answered, agatemill_runtime::now())
        }));
    }
    let last = plan.items.last().map_or(Duration::ZERO, |item| item.at);
    let mut summary = Summary {
        report: Report::new(name),
        start,
        warm_up,
        end: last,
        positions: 0,
    };
    for task in tasks {
        let (item, answered, ended) = task.await;
        summary.add(&item, answered, ended);
    }
    summary.finish()
}

struct Summary {
    report: Report,
    start: Duration,
    warm_up: Duration,
    end: Duration,
    positions: u64,
}

impl Summary {
    fn add(&mut self, item: &Item, answered: Answered, ended: Duration) {
        self.report.sent += 1;
        let planned = self.start + item.at;
        let measured = item.at >= self.warm_up;
        match answered {
            Answered::None(reason) => return self.report.refuse(&reason),
            Answered::Chat(_, Verdict::Failed) => return self.report.refuse("failed"),
            Answered::Chat(answer, verdict) => {
                if verdict == Verdict::Wrong {
                    self.report.wrong += 1;
                    return;
                }
                let mut last = None;
                for token in &answer.tokens {
                    self.token(item, token.at, last, measured);
                    last = Some(token.at);
                }
            }
            Answered::Call => {}
        }
        self.report.complete += 1;
        if measured {
            let times = self.report.organisations.entry(item.organisation);
            times.or_default().record(ended.saturating_sub(planned));
        }
    }

    fn token(&mut self, item: &Item, at: Duration, last: Option<Duration>, measured: bool) {
        let Kind::Chat { positions, .. } = item.kind else {
            return;
        };
        let planned = self.start + item.at;
        match last {
            None if measured => self.report.first.record(at.saturating_sub(planned)),
            Some(last) if measured => self.report.between.record(at.saturating_sub(last)),
            _ => {}
        }
        let window = self.start + self.warm_up..self.start + self.end;
        if window.contains(&at) {
            self.positions += u64::from(if last.is_none() { positions } else { 1 });
        }
    }

    fn finish(mut self) -> Report {
        let window = self.end.saturating_sub(self.warm_up).as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
        let positions = self.positions as f64;
        self.report.goodput = positions / window.max(1e-3);
        self.report
    }
}
