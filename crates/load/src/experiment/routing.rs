//! Experiments on the choice of chains, in virtual time.

use core::time::Duration;

use crate::Plan;
use crate::Scenario;
use crate::experiment::Choice;
use crate::experiment::Outcome;
use crate::plan::Shape;
use crate::simulation::Fault;
use crate::simulation::Settings;
use crate::simulation::Simulation;
use crate::simulation::engine::Health;
use agatemill_routing::policy::Name;

/// Positions in each second of the fastest engine.
const SPEED: f64 = 4_000.0;

/// How long requests arrive.
const DURATION: Duration = Duration::from_secs(70);

/// Lags of the load reports.
const LAGS: [u64; 3] = [0, 1, 5];

/// Records a load of `load` times the bound of a scenario.
#[must_use]
pub fn plan(scenario: &Scenario, load: f64, shape: Shape) -> Plan {
    // The mean number of positions of a request, from a sample of the same shape.
    let sample = Plan::new(&Shape {
        rate: 100.0,
        duration: Duration::from_secs(100),
        ..shape
    });
    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
    let mean = sample.positions() as f64 / sample.items.len().max(1) as f64;
    Plan::new(&Shape {
        rate: scenario.bound() * load / mean,
        ..shape
    })
}

fn shape(seed: u64) -> Shape {
    Shape {
        duration: DURATION,
        seed,
        ..Shape::default()
    }
}

/// All policies with reports late by 0, 1 and 5 s, at a share of the bound.
///
/// # Errors
///
/// The faults of the scenario's document.
pub fn late(choice: &Choice, share: f64) -> Outcome {
    let scenario = Scenario::mixed(SPEED);
    let plan = plan(&scenario, share, shape(choice.seed));
    let mut reports = Vec::new();
    for lag in LAGS {
        for policy in Name::ALL {
            let settings = Settings {
                policy,
                lag: Duration::from_secs(lag),
                ..Settings::default()
            };
            let name = format!("{share}x lag {lag}s {policy}");
            if choice.takes(&name) {
                reports.push(Simulation::run(&name, &scenario, &settings, &plan)?);
            }
        }
    }
    Ok(reports)
}

/// All policies at half the bound while the fastest engine of the middle stage becomes ten times slower.
///
/// # Errors
///
/// The faults of the scenario's document.
pub fn slow(choice: &Choice) -> Outcome {
    let scenario = Scenario::mixed(SPEED);
    let plan = plan(&scenario, 0.5, shape(choice.seed));
    let mut reports = Vec::new();
    for policy in Name::ALL {
        let fault = Fault {
            at: Duration::from_secs(10),
            engines: vec![9],
            health: Health::Slow(10.0),
        };
        let settings = Settings {
            policy,
            lag: Duration::from_secs(1),
            fault: Some(fault),
            ..Settings::default()
        };
        let name = format!("slow engine {policy}");
        if choice.takes(&name) {
            reports.push(Simulation::run(&name, &scenario, &settings, &plan)?);
        }
    }
    Ok(reports)
}

/// Policies at shares of the bound up to twice of it, with reports late by 1 s.
///
/// # Errors
///
/// The faults of the scenario's document.
pub fn overload(choice: &Choice) -> Outcome {
    let scenario = Scenario::mixed(SPEED);
    let mut reports = Vec::new();
    for share in [0.8, 1.0, 1.2, 2.0] {
        let plan = plan(&scenario, share, shape(choice.seed));
        for policy in [Name::TwoChoices, Name::Estimated, Name::Measured] {
            let settings = Settings {
                policy,
                lag: Duration::from_secs(1),
                ..Settings::default()
            };
            let name = format!("{share}x {policy}");
            if choice.takes(&name) {
                reports.push(Simulation::run(&name, &scenario, &settings, &plan)?);
            }
        }
    }
    Ok(reports)
}
