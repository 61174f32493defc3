//! Tests of servers that name a limit on requests.

use core::time::Duration;

use crate::run_test;
use crate::system::System;
use crate::system::settings;
use agatemill_core::id;
use agatemill_gateway::Process;
use agatemill_standin::Engine;
use agatemill_standin::caller::Call;
use agatemill_standin::store::Fault;

/// Requests a second that each limited server accepts.
const LIMIT: f64 = 3.0;

/// Time after the first naming of a limit from which it must hold.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a server may get in a window: one and a half times its limit, and five.
const MAX_REQUESTS: usize = 23;

/// Requests in progress at each host at once.
const SENDERS_PER_HOST: usize = 6;

/// Sends requests to all hosts for `time`; returns how many were served.
async fn press(system: &System, hosts: &[&Process], route: &str, time: Duration) -> usize {
    let end = agatemill_runtime::now() + time;
    let sender = async |host: &Process, name: String| {
        let host = host.state().settings().callers;
        let mut served = 0;
        for number in 0.. {
            if agatemill_runtime::now() >= end {
                break;
            }
            let attempt = format!("{name}-{number}");
            let call = Call {
                host,
                ..system.call(route, &attempt)
            };
            served += usize::from(system.send_call(call).await.status == 200);
            agatemill_runtime::sleep(Duration::from_millis(20)).await;
        }
        served
    };
    let senders = (0..hosts.len() * SENDERS_PER_HOST).map(|number| {
        let started = agatemill_runtime::now().as_millis();
        sender(hosts[number % hosts.len()], format!("{started}-{number}"))
    });
    let served = futures::future::join_all(senders).await;
    served.into_iter().sum()
}

/// The largest number of requests that a server got in any window that began at `from` or later.
fn most_in_a_window(server: &Engine, from: Duration) -> usize {
    let arrivals = server.arrivals().into_iter().map(|arrival| arrival.at);
    let arrivals: Vec<Duration> = arrivals.filter(|at| *at >= from).collect();
    let in_window = |start: &Duration| {
        arrivals
            .iter()
            .filter(|at| (*start..*start + WINDOW).contains(at))
            .count()
    };
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

async fn start_second_host(system: &System) -> Process {
    let process = Process::start(settings("h2", system.store_address))
        .await
        .unwrap();
    let name: id::Host = "h2".parse().unwrap();
    system
        .wait_until("the first host lists the second one", || {
            let view = system.process.state().view();
            view.members.contains_key(&name)
        })
        .await;
    process
}

/// Guards against servers that get more requests from all hosts together than they accept, with and without the store.
#[test]
fn requests_of_all_hosts_stay_within_the_limits_of_the_servers() {
    run_test(2, |system| async move {
        let second = start_second_host(&system).await;
        let hosts = [&system.process, &second];
        for server in &system.services {
            server.set_request_limit(Some(LIMIT));
        }
        let start = agatemill_runtime::now();
        let served = press(&system, &hosts, "open", Duration::from_secs(9)).await;
        system.store.set_fault(Fault::Silent);
        press(&system, &hosts, "open", Duration::from_secs(7)).await;
        for server in &system.services {
            let most = most_in_a_window(server, start + SETTLE_TIME);
            assert!(most <= MAX_REQUESTS, "{most} requests in a window");
        }
        // Both servers accept 54 requests in 9 s; half of them show that the limit is used.
        assert!(served >= 27, "{served} requests were served");
    });
}

/// Guards against hosts that go on avoiding a server after it has lifted its limit.
#[test]
fn a_lifted_limit_is_noticed() {
    run_test(2, |system| async move {
        let second = start_second_host(&system).await;
        let hosts = [&system.process, &second];
        for server in &system.services {
            server.set_request_limit(Some(LIMIT));
        }
        press(&system, &hosts, "open", Duration::from_secs(2)).await;
        for server in &system.services {
            server.set_request_limit(None);
        }
        press(&system, &hosts, "open", Duration::from_secs(2)).await;
        let served = press(&system, &hosts, "open", Duration::from_secs(1)).await;
        assert!(served > 60, "{served} requests were served");
    });
}

/// Guards against streams that begin at an engine beyond its limit while another one has none.
#[test]
fn streams_begin_at_engines_without_a_limit() {
    run_test(4, |system| async move {
        let (limited, free): (Vec<_>, Vec<_>) = system
            .engines
            .iter()
            .filter(|engine| engine.orders().last().unwrap()["from"] == 0)
            .enumerate()
            .partition(|(number, _)| *number == 0);
        let limited = limited[0].1;
        limited.set_request_limit(Some(LIMIT));
        let hosts = [&system.process];
        let start = agatemill_runtime::now();
        let served = press(&system, &hosts, "draft", Duration::from_secs(8)).await;
        let most = most_in_a_window(limited, start + SETTLE_TIME);
        assert!(most <= MAX_REQUESTS, "{most} requests in a window");
        assert!(free[0].1.arrivals().len() * 2 > served);
        let sent: usize = system
            .engines
            .iter()
            .map(|engine| engine.arrivals().len())
            .sum();
        assert_eq!(served, sent, "no stream was refused or sent twice");
    });
}
