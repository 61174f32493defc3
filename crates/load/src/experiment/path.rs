//! Cost of the path through an entry, over loopback.

use core::time::Duration;

use crate::Plan;
use crate::Scenario;
use crate::client::Client;
use crate::experiment::Choice;
use crate::experiment::Outcome;
use crate::plan::Shape;
use crate::run;
use crate::system::Settings;
use crate::system::System;
use agatemill_routing::policy::Name;

/// Requests in each second of each run.
const RATES: [f64; 4] = [20.0, 50.0, 100.0, 150.0];

/// How long requests arrive.
const DURATION: Duration = Duration::from_secs(4);

/// How long a request may take.
const LIMIT: Duration = Duration::from_secs(20);

/// Requests at rising rates through an entry and engines that take no time, with calls among them.
///
/// # Errors
///
/// Whatever keeps the system from starting.
pub fn run(choice: &Choice, threads: usize) -> Outcome {
    smol::block_on(async {
        let mut reports = Vec::new();
        for rate in RATES {
            let name = format!("{threads} threads, {rate}/s");
            if !choice.takes(&name) {
                continue;
            }
            let scenario = Scenario::mixed(1_000_000.0);
            let settings = Settings {
                policy: Name::TwoChoices,
                threads,
                instant: true,
                lag: Duration::ZERO,
            };
            let system = System::start(scenario, settings).await?;
            let plan = Plan::new(&Shape {
                rate,
                duration: DURATION,
                calls: 0.02,
                seed: choice.seed,
                ..Shape::default()
            });
            let client = Client::new(LIMIT, 24);
            let entries = [system.address()];
            let mut report = run::send(&name, &client, &entries, &plan, Duration::ZERO).await;
            report.repeated = system.repeated();
            reports.push(report);
            system.close().await;
        }
        Ok(reports)
    })
}
