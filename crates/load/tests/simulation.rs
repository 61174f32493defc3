//! Simulations of load in virtual time.

use core::time::Duration;

use agatemill_load::Plan;
use agatemill_load::Report;
use agatemill_load::Scenario;
use agatemill_load::plan::Shape;
use agatemill_load::simulation::Fault;
use agatemill_load::simulation::Settings;
use agatemill_load::simulation::Simulation;
use agatemill_load::simulation::engine::Health;

fn run(settings: &Settings) -> Report {
    let shape = Shape {
        rate: 10.0,
        duration: Duration::from_secs(30),
        ..Shape::default()
    };
    let scenario = Scenario::mixed(4_000.0);
    Simulation::run("test", &scenario, settings, &Plan::new(&shape)).unwrap()
}

/// Guards against a simulation that loses requests or runs positions twice although nothing fails.
#[test]
fn light_load_is_answered_without_extra_work() {
    let report = run(&Settings::default());
    assert_eq!(report.complete, report.sent);
    assert!(
        (report.work_amplification - 1.0).abs() < 1e-9,
        "{}",
        report.work_amplification
    );
}

/// Guards against simulations that are not deterministic, whose results cannot be reproduced.
#[test]
fn same_seed_gives_same_report() {
    let report = |()| run(&Settings::default()).to_json();
    assert_eq!(report(()), report(()));
}

/// Guards against requests that never end after their engine died.
#[test]
fn every_request_ends_when_engines_die() {
    let fault = Fault {
        at: Duration::from_secs(15),
        engines: vec![0, 9],
        health: Health::Dead,
    };
    let report = run(&Settings {
        fault: Some(fault),
        ..Settings::default()
    });
    let refused: u64 = report.refused.values().sum();
    assert_eq!(report.complete + refused, report.sent);
    assert_eq!(refused, 0, "{:?}", report.refused);
    assert!(report.work_amplification > 1.0);
}
