//! Cost of the request path through an entry, over loopback.

use core::time::Duration;

use crate::Plan;
use crate::Scenario;
use crate::client::Client;
use crate::experiment::Options;
use crate::experiment::Outcome;
use crate::plan::Shape;
use crate::run;
use crate::system::Settings;
use crate::system::System;
use agatemill_routing::policy::Name;

/// Request rate of each run, in requests per second.
const REQUEST_RATES: [f64; 4] = [20.0, 50.0, 100.0, 150.0];

/// Period in which requests arrive.
const ARRIVAL_DURATION: Duration = Duration::from_secs(4);

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends chats and some non-idempotent calls at increasing rates through an entry to engines without simulated
/// run time.
///
/// # Errors
///
/// Any error that prevents the system from starting.
pub fn run(options: &Options, threads: usize) -> Outcome {
    smol::block_on(async {
        let mut reports = Vec::new();
        for rate in REQUEST_RATES {
            let name = format!("{threads} threads, {rate}/s");
            if !options.is_selected(&name) {
                continue;
            }
            let scenario = Scenario::mixed(1_000_000.0);
            let settings = Settings {
                policy: Name::Outstanding,
                threads,
                instant: true,
                report_lag: Duration::ZERO,
            };
            let system = System::start(scenario, settings).await?;
            let plan = Plan::new(&Shape {
                rate,
                duration: ARRIVAL_DURATION,
                calls: 0.02,
                seed: options.seed,
                ..Shape::default()
            });
            let client = Client::new(REQUEST_TIMEOUT, 24);
            let entries = [system.address()];
            let mut report = run::send(&name, &client, &entries, &plan, Duration::ZERO).await;
            report.repeated = system.repeated_calls();
            reports.push(report);
            system.close().await;
        }
        Ok(reports)
    })
}
