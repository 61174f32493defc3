//! Load of engines between two reports.

mod fleet;

use core::time::Duration;
use std::collections::HashMap;
use std::collections::VecDeque;

use agatemill_core::id;
use agatemill_fleet::Forecast;
use agatemill_fleet::Model;
use agatemill_fleet::Path;
use agatemill_fleet::path::Candidate;
use agatemill_fleet::path::Request;
use agatemill_fleet::placement;

const HOSTS: usize = 80;
const PER_S: f64 = 3.5;
/// Age of the load that all hosts know.
const AGE: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 360;
/// Steps until the load has settled: twice the time for which a request holds memory.
const SETTLED: u32 = 200;
const TOKENS: f64 = 995.0;
/// Steps for which a request holds memory.
const HELD_STEPS: u32 = 100;
/// Random addition to the cost of an engine, as the gateway has it.
const COST_JITTER: f64 = 0.15;

/// Tokens in use by engine, for each host.
type Load = Vec<Vec<f64>>;

/// Load at one time, with all tokens sent and ended until then.
#[derive(Clone)]
struct Report {
    load: Load,
    sent: f64,
    ended: f64,
}

/// 93 engines in three zones.
fn engines(model: &Model) -> Vec<Candidate> {
    let mut cards = fleet::cards(&[("a", [6, 12, 13]), ("b", [6, 12, 13]), ("c", [6, 12, 13])]);
    for change in placement::fill(model, &cards) {
        let card = cards.iter_mut().find(|card| card.server == change.server);
        card.unwrap().layers = Some(change.target);
    }
    let cards = cards.iter().zip(1_u8..);
    cards
        .filter_map(|(card, number)| fleet::candidate(model, card, number))
        .collect()
}

fn sum(load: &Load, engine: usize) -> f64 {
    load.iter().map(|host| host[engine]).sum()
}

/// Sets what a host knows: the former load of the others, of which a share remains, and its own of now.
fn observe(engines: &mut [Candidate], known: &Load, now: &Load, host: usize, remaining: f64) {
    for (index, engine) in engines.iter_mut().enumerate() {
        let others = (sum(known, index) - known[host][index]) * remaining;
        engine.usage.tokens = others + now[host][index];
        // The number of requests that hold these tokens; a small number that is not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let requests = (engine.usage.tokens / TOKENS).round() as u32;
        engine.usage.requests = requests;
        engine.preference = 1.0 + COST_JITTER * fastrand::f64();
    }
}

/// What a host forecasts: tokens sent and ended by the time of the report, and those of one `AGE` before, give the rates.
fn forecast(known: &Report, before: &Report) -> Forecast {
    let per_s = |tokens: f64| tokens / AGE.as_secs_f64();
    Forecast {
        age: AGE,
        sent: per_s(known.sent - before.sent),
        ended: per_s(known.ended - before.ended),
        held: known.sent - known.ended,
    }
}

/// Greatest share of memory in use, over the mean of the engines that hold the same layers.
fn unevenness(engines: &[Candidate], load: &Load) -> f64 {
    let mut groups: HashMap<(u32, u32), Vec<f64>> = HashMap::new();
    for (index, engine) in engines.iter().enumerate() {
        let layers = (engine.layers.start(), engine.layers.end());
        let fill = sum(load, index) / engine.token_capacity;
        groups.entry(layers).or_default().push(fill);
    }
    let ratio = |fills: &Vec<f64>| {
        let mean = fills.iter().sum::<f64>() / f64::from(u32::try_from(fills.len()).unwrap());
        let max = fills.iter().copied().fold(0.0, f64::max);
        (mean > 0.1).then_some(max / mean)
    };
    groups.values().filter_map(ratio).fold(1.0, f64::max)
}

/// Result of a run.
#[derive(Debug)]
struct Outcome {
    /// Mean over time of the unevenness.
    unevenness: f64,
    /// The greatest share of an engine's memory in use.
    fullest: f64,
    /// Requests for which no path had room.
    missing: u32,
}

/// Lets the hosts choose paths by a load that is `AGE` old, brought up to date if `is_forecast`.
fn run(is_forecast: bool) -> Outcome {
    fastrand::seed(11);
    let model = fleet::model();
    let mut engines = engines(&model);
    let zones = ["a", "b", "c"].map(fleet::zone);
    let zone_list: Vec<&id::Zone> = zones.iter().collect();
    let mut current = Report {
        load: vec![vec![0.0; engines.len()]; HOSTS],
        sent: 0.0,
        ended: 0.0,
    };
    let mut history: VecDeque<Report> = VecDeque::new();
    // 50 steps are one `AGE`.
    history.resize(101, current.clone());
    let mut ends: VecDeque<(u32, usize, Vec<usize>)> = VecDeque::new();
    let mut outcome = Outcome {
        unevenness: 0.0,
        fullest: 0.0,
        missing: 0,
    };
    for step in 0..STEPS {
        while ends.front().is_some_and(|(end, ..)| *end <= step) {
            let (_, host, path) = ends.pop_front().unwrap();
            let load = &mut current.load[host];
            for engine in &path {
                load[*engine] -= TOKENS;
            }
            current.ended += TOKENS;
        }
        history.pop_front();
        history.push_back(current.clone());
        let (before, known) = (&history[0], &history[50]);
        let forecast = forecast(known, before);
        for host in 0..HOSTS {
            if fastrand::f64() >= PER_S * STEP.as_secs_f64() {
                continue;
            }
            let request = Request {
                may_cross: false,
                ..fleet::request(&zones[host % 3])
            };
            let remaining = if is_forecast {
                forecast.remaining()
            } else {
                1.0
            };
            observe(&mut engines, &known.load, &current.load, host, remaining);
            if is_forecast {
                let own = |(index, engine): (usize, &Candidate)| {
                    let added = (current.load[host][index] - known.load[host][index]).max(0.0);
                    added * f64::from(engine.layers.count()) / f64::from(model.layers)
                };
                let own = engines.iter().enumerate().map(own).sum();
                forecast.place(&model, &mut engines, &zone_list, request, own);
            }
            let Ok(path) = Path::choose(&model, &engines, request) else {
                outcome.missing += 1;
                continue;
            };
            let at = |part: &agatemill_fleet::path::Part| {
                let mut known = engines.iter();
                known
                    .position(|engine| engine.server == part.server)
                    .unwrap()
            };
            let path: Vec<usize> = path.parts().iter().map(at).collect();
            let load = &mut current.load[host];
            for engine in &path {
                load[*engine] += TOKENS;
            }
            current.sent += TOKENS;
            ends.push_back((step + HELD_STEPS, host, path));
        }
        if step >= SETTLED {
            outcome.unevenness += unevenness(&engines, &current.load) / f64::from(STEPS - SETTLED);
            let fill = |(index, engine): (usize, &Candidate)| {
                sum(&current.load, index) / engine.token_capacity
            };
            let fullest = engines.iter().enumerate().map(fill).fold(0.0, f64::max);
            outcome.fullest = outcome.fullest.max(fullest);
        }
    }
    outcome
}

/// Guards against hosts that all choose the engines that were cheapest in the last report, which then run out of memory.
#[test]
fn hosts_that_bring_the_load_up_to_date_spread_over_the_engines() {
    let (without, with) = std::thread::scope(|scope| {
        let without = scope.spawn(|| run(false));
        let with = run(true);
        (without.join().unwrap(), with)
    });
    println!("without {without:?}, with {with:?}");
    assert!(
        with.unevenness < 0.8 * without.unevenness,
        "{without:?} {with:?}"
    );
    assert!(with.fullest < without.fullest, "{without:?} {with:?}");
    assert!(with.missing <= without.missing, "{without:?} {with:?}");
}

fn steady(age: Duration) -> Forecast {
    Forecast {
        age,
        sent: 1_000.0,
        ended: 500.0,
        held: 2_000.0,
    }
}

/// Guards against a forecast from an old report, which would empty the engines and fill them again by rates of long ago.
#[test]
fn the_age_that_counts_is_bounded() {
    let limit = steady(Duration::from_millis(1_200));
    let late = steady(Duration::from_mins(1));
    assert!((limit.remaining() - late.remaining()).abs() < 1e-9);
    assert!((limit.unseen() - late.unseen()).abs() < 1e-9);
    assert!((steady(Duration::ZERO).remaining() - 1.0).abs() < 1e-9);
    assert!(steady(Duration::ZERO).unseen().abs() < 1e-9);
}

/// Guards against a share that is no number while nothing is held, as when a fleet starts.
#[test]
fn without_requests_in_progress_all_load_remains() {
    let idle = Forecast {
        held: 0.0,
        ..steady(AGE)
    };
    assert!((idle.remaining() - 1.0).abs() < 1e-9);
}

/// Guards against requests of this host that count twice: as its own load and as sent since the report.
#[test]
fn known_requests_are_not_placed_again() {
    let model = fleet::model();
    let zone = fleet::zone("a");
    let place = |known: f64| {
        let mut engines = engines(&model);
        let forecast = Forecast {
            sent: 20.0 * TOKENS / AGE.as_secs_f64(),
            ..steady(AGE)
        };
        let request = fleet::request(&zone);
        forecast.place(&model, &mut engines, &[&zone], request, known);
        let share = |engine: &Candidate| {
            engine.usage.tokens * f64::from(engine.layers.count()) / f64::from(model.layers)
        };
        engines.iter().map(share).sum::<f64>()
    };
    assert!((place(20.0 * TOKENS)).abs() < 1e-9);
    let all = place(0.0);
    let half = place(10.0 * TOKENS);
    // A path uses a part of the layers of some engines, which holds tokens at all their layers.
    assert!(all >= 20.0 * TOKENS - 1.0, "{all}");
    assert!(half < 0.7 * all, "{half} of {all}");
}
