//! Experiments on routing policies, in virtual time.

use core::time::Duration;

use crate::Plan;
use crate::Scenario;
use crate::experiment::Options;
use crate::experiment::Outcome;
use crate::plan::Shape;
use crate::simulation::Fault;
use crate::simulation::Settings;
use crate::simulation::Simulation;
use crate::simulation::engine::Health;
use agatemill_routing::policy::Name;

/// Throughput of the fastest engine in token positions per second.
const FASTEST_THROUGHPUT: f64 = 4_000.0;

/// Period in which requests arrive.
const ARRIVAL_DURATION: Duration = Duration::from_secs(70);

/// Ages of the load in reports, in seconds.
const REPORT_LAGS_SECONDS: [u64; 3] = [0, 1, 5];

/// Generates a load at `load` times the throughput bound of a scenario.
#[must_use]
pub fn plan(scenario: &Scenario, load: f64, shape: Shape) -> Plan {
    // Estimates the mean number of positions of a request from a sample of the same shape.
    let sample = Plan::new(&Shape {
        rate: 100.0,
        duration: Duration::from_secs(100),
        ..shape
    });
    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
    let mean = sample.total_positions() as f64 / sample.requests.len().max(1) as f64;
    Plan::new(&Shape {
        rate: scenario.bound() * load / mean,
        ..shape
    })
}

fn shape(seed: u64) -> Shape {
    Shape {
        duration: ARRIVAL_DURATION,
        seed,
        ..Shape::default()
    }
}

/// Runs all policies with reports delayed by 0, 1 and 5 s, at a share of the throughput bound.
///
/// # Errors
///
/// Any fault in the configuration document of the scenario.
pub fn delayed_reports(options: &Options, share: f64) -> Outcome {
    let scenario = Scenario::mixed(FASTEST_THROUGHPUT);
    let plan = plan(&scenario, share, shape(options.seed));
    let mut reports = Vec::new();
    for lag in REPORT_LAGS_SECONDS {
        for policy in Name::ALL {
            let settings = Settings {
                policy,
                report_lag: Duration::from_secs(lag),
                ..Settings::default()
            };
            let name = format!("{share}x lag {lag}s {policy}");
            if options.is_selected(&name) {
                reports.push(Simulation::run(&name, &scenario, &settings, &plan)?);
            }
        }
    }
    Ok(reports)
}

/// Runs all policies at half the throughput bound; after 10 s the fastest engine of the middle stage becomes ten
/// times slower.
///
/// # Errors
///
/// Any fault in the configuration document of the scenario.
pub fn slow(options: &Options) -> Outcome {
    let scenario = Scenario::mixed(FASTEST_THROUGHPUT);
    let plan = plan(&scenario, 0.5, shape(options.seed));
    let mut reports = Vec::new();
    for policy in Name::ALL {
        let fault = Fault {
            at: Duration::from_secs(10),
            engines: vec![9],
            health: Health::Slow(10.0),
        };
        let settings = Settings {
            policy,
            report_lag: Duration::from_secs(1),
            fault: Some(fault),
            ..Settings::default()
        };
        let name = format!("slow engine {policy}");
        if options.is_selected(&name) {
            reports.push(Simulation::run(&name, &scenario, &settings, &plan)?);
        }
    }
    Ok(reports)
}

/// Runs three policies at 0.8 to 2 times the throughput bound, with reports delayed by 1 s.
///
/// # Errors
///
/// Any fault in the configuration document of the scenario.
pub fn overload(options: &Options) -> Outcome {
    let scenario = Scenario::mixed(FASTEST_THROUGHPUT);
    let mut reports = Vec::new();
    for share in [0.8, 1.0, 1.2, 2.0] {
        let plan = plan(&scenario, share, shape(options.seed));
        for policy in [Name::TwoChoices, Name::Measured, Name::Outstanding] {
            let settings = Settings {
                policy,
                report_lag: Duration::from_secs(1),
                ..Settings::default()
            };
            let name = format!("{share}x {policy}");
            if options.is_selected(&name) {
                reports.push(Simulation::run(&name, &scenario, &settings, &plan)?);
            }
        }
    }
    Ok(reports)
}

/// Fails a third of the engines, the first of each stage, at half the throughput bound.
///
/// # Errors
///
/// Any fault in the configuration document of the scenario.
pub fn failing(options: &Options) -> Outcome {
    let scenario = Scenario::mixed(FASTEST_THROUGHPUT);
    let plan = plan(&scenario, 0.5, shape(options.seed));
    let mut reports = Vec::new();
    for (text, health) in [
        ("dead", Health::Dead),
        ("errors", Health::Failing),
        ("frozen", Health::Frozen),
    ] {
        let fault = Fault {
            at: Duration::from_secs(20),
            // Three of 9, three of 8 and two of 7 engines of the stages.
            engines: vec![0, 1, 2, 9, 10, 11, 17, 18],
            health,
        };
        let settings = Settings {
            report_lag: Duration::from_secs(1),
            fault: Some(fault),
            ..Settings::default()
        };
        let name = format!("third {text}");
        if options.is_selected(&name) {
            reports.push(Simulation::run(&name, &scenario, &settings, &plan)?);
        }
    }
    Ok(reports)
}

/// Runs a small organisation alone, and together with a large one that sends twice the throughput bound.
///
/// # Errors
///
/// Any fault in the configuration document of the scenario.
pub fn flood(options: &Options) -> Outcome {
    let scenario = Scenario::mixed(FASTEST_THROUGHPUT);
    let small = Shape {
        organisations: 1,
        ..shape(options.seed)
    };
    let mut alone = plan(&scenario, 0.1, small);
    for request in &mut alone.requests {
        request.organisation = 1;
    }
    let mut both = alone.clone();
    let large = Shape {
        seed: options.seed + 1_000,
        ..small
    };
    both.merge(plan(&scenario, 2.0, large));
    let mut reports = Vec::new();
    for (name, plan) in [("small alone", alone), ("small beside flood", both)] {
        let report = Simulation::run(name, &scenario, &Settings::default(), &plan)?;
        reports.push(report);
    }
    Ok(reports)
}
