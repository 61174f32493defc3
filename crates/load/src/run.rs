//! Sends generated load to running entries.

use core::net::SocketAddr;
use core::time::Duration;

use clap::Args;

use crate::Plan;
use crate::Report;
use crate::check;
use crate::check::Verdict;
use crate::client::Client;
use crate::client::Outcome;
use crate::plan::Kind;
use crate::plan::Request;
use crate::plan::Shape;

/// Upper limit of the arrival period and of the request deadline, in seconds.
const MAX_DURATION_SECONDS: f64 = 600.0;

/// Options of the `run` action.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Address of an entry on loopback; may be given several times.
    #[arg(long, required = true)]
    pub entry: Vec<SocketAddr>,
    /// Address of the fake service, to check that it ran each call at most once.
    #[arg(long)]
    pub service: Option<SocketAddr>,
    /// Number of layers of the model, to check the answers.
    #[arg(long, default_value_t = 24)]
    pub layers: u32,
    /// Mean number of requests per second.
    #[arg(long, default_value_t = 10.0)]
    pub rate: f64,
    /// Period in which requests arrive, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Maximum number of requests.
    #[arg(long, default_value_t = 20_000)]
    pub limit: usize,
    /// Number of organisations, with the bearer tokens token-0, token-1 and so on.
    #[arg(long, default_value_t = 4)]
    pub organisations: u32,
    /// Number of prompt prefixes that requests share.
    #[arg(long, default_value_t = 8)]
    pub prefixes: u32,
    /// Number of words in each prefix.
    #[arg(long, default_value_t = 32)]
    pub prefix_words: u32,
    /// Maximum number of words in a prompt after its prefix.
    #[arg(long, default_value_t = 32)]
    pub own_words: u32,
    /// Fraction of the requests that are non-idempotent calls.
    #[arg(long, default_value_t = 0.0)]
    pub calls: f64,
    /// Request timeout, in seconds.
    #[arg(long, default_value_t = 30.0)]
    pub deadline: f64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Options {
    fn shape(&self) -> Shape {
        Shape {
            rate: self.rate,
            duration: Duration::from_secs_f64(self.seconds.clamp(0.0, MAX_DURATION_SECONDS)),
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

/// Generates a load and sends it to the entries of the options.
///
/// # Errors
///
/// When an address is not a loopback address, or the executions of the service cannot be read.
pub fn main(options: &Options) -> Result<Report, Box<dyn core::error::Error + Send + Sync>> {
    let addresses = options.entry.iter().chain(&options.service);
    if let Some(other) = addresses
        .into_iter()
        .find(|address| !address.ip().is_loopback())
    {
        return Err(format!("{other} is not a loopback address").into());
    }
    let timeout = Duration::from_secs_f64(options.deadline.clamp(0.1, MAX_DURATION_SECONDS));
    let client = Client::new(timeout, options.layers);
    smol::block_on(async {
        let plan = Plan::new(&options.shape());
        let mut report = send("run", &client, &options.entry, &plan, Duration::ZERO).await;
        if let Some(service) = options.service {
            let keys = client.executions(service).await?;
            report.repeated = check::count_repeated(keys.iter().map(String::as_str));
        }
        Ok(report)
    })
}

/// Sends a load open-loop: each request goes out at its planned time, whether or not earlier ones have
/// completed. Latencies cover the requests planned after `warm_up`; goodput covers the tokens received
/// between `warm_up` and the planned time of the last request.
pub async fn send(
    name: &str,
    client: &Client,
    entries: &[SocketAddr],
    plan: &Plan,
    warm_up: Duration,
) -> Report {
    let start = agatemill_runtime::now();
    let mut tasks = Vec::new();
    for (index, request) in plan.requests.iter().enumerate() {
        let (client, request) = (client.clone(), request.clone());
        let entry = entries[index % entries.len()];
        let wait = (start + request.at).saturating_sub(agatemill_runtime::now());
        if !wait.is_zero() {
            agatemill_runtime::sleep(wait).await;
        }
        tasks.push(agatemill_runtime::spawn(async move {
            let outcome = match &request.kind {
                Kind::Chat { message, .. } => {
                    client.chat(entry, request.organisation, message).await
                }
                Kind::Call { key } => client.call(entry, request.organisation, key).await,
            };
            (request, outcome, agatemill_runtime::now())
        }));
    }
    let last_arrival = plan
        .requests
        .last()
        .map_or(Duration::ZERO, |request| request.at);
    let mut summary = Summary {
        report: Report::new(name),
        start,
        warm_up,
        end: last_arrival,
        positions: 0,
    };
    for task in tasks {
        let (request, outcome, ended) = task.await;
        summary.add(&request, outcome, ended);
    }
    summary.finish()
}

/// Accumulates the outcomes of a load into a report.
struct Summary {
    report: Report,
    start: Duration,
    warm_up: Duration,
    /// Planned time of the last request, relative to `start`.
    end: Duration,
    /// Token positions received in the measured window.
    positions: u64,
}

impl Summary {
    fn add(&mut self, request: &Request, outcome: Outcome, ended: Duration) {
        self.report.sent += 1;
        let planned = self.start + request.at;
        let is_measured = request.at >= self.warm_up;
        match outcome {
            Outcome::Failed(reason) => return self.report.count_refusal(&reason),
            Outcome::Chat(_, Verdict::Failed) => return self.report.count_refusal("failed"),
            Outcome::Chat(answer, verdict) => {
                if verdict == Verdict::Incorrect {
                    self.report.wrong += 1;
                    return;
                }
                let mut previous = None;
                for token in &answer.tokens {
                    self.record_token(request, token.at, previous, is_measured);
                    previous = Some(token.at);
                }
            }
            Outcome::Call => {}
        }
        self.report.complete += 1;
        if is_measured {
            let times = self.report.organisations.entry(request.organisation);
            times.or_default().record(ended.saturating_sub(planned));
        }
    }

    fn record_token(
        &mut self,
        request: &Request,
        at: Duration,
        previous: Option<Duration>,
        is_measured: bool,
    ) {
        let Kind::Chat { prompt_tokens, .. } = request.kind else {
            return;
        };
        let planned = self.start + request.at;
        match previous {
            None if is_measured => self
                .report
                .time_to_first_token
                .record(at.saturating_sub(planned)),
            Some(previous) if is_measured => {
                self.report.inter_token.record(at.saturating_sub(previous));
            }
            _ => {}
        }
        let window = self.start + self.warm_up..self.start + self.end;
        if window.contains(&at) {
            self.positions += u64::from(if previous.is_none() { prompt_tokens } else { 1 });
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
