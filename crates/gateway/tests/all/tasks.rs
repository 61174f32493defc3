//! Tests of the tasks that live as long as the process, and of those of one connection.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use assert_matches::assert_matches;
use log::LevelFilter;

use crate::run_test;
use crate::system::System;
use crate::system::settings;
use agatemill_gateway::Error;
use agatemill_gateway::command;
use agatemill_gateway::command::Options;
use agatemill_gateway::supervise;
use agatemill_gateway::supervise::Failure;
use agatemill_gateway::supervise::Policy;
use agatemill_gateway::supervise::Supervisor;

/// Time within which the end of a task is reported; far above what it takes on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a task of the process that is not supervised.
#[test]
fn every_task_of_the_process_has_a_policy() {
    run_test(2, |system| async move {
        let mut policies = system.process.tasks().policies();
        policies.sort_by_key(|(task, _)| *task);
        let expected = [
            ("callers", Policy::Restart),
            ("directory", Policy::Restart),
            ("followers", Policy::Restart),
            ("gossip-receive", Policy::Restart),
            ("gossip-send", Policy::Restart),
            ("metrics", Policy::Restart),
            ("planner", Policy::Restart),
            ("quarantine", Policy::Restart),
            ("ready", Policy::Restart),
            ("recheck", Policy::Restart),
            ("registration", Policy::Restart),
            ("sync", Policy::Exit),
            ("throttle", Policy::Restart),
        ];
        assert_eq!(policies, expected);
    });
}

/// Guards against a task that ends in silence because it panicked or returned, while its process goes on.
#[test]
fn a_task_that_ends_is_started_again() {
    run_test(2, |system| async move {
        let starts = Arc::new(AtomicUsize::new(0));
        let mut tasks = Supervisor::new(Arc::clone(system.process.state()));
        tasks.restart("test", {
            let starts = Arc::clone(&starts);
            move || {
                let starts = Arc::clone(&starts);
                async move {
                    match starts.fetch_add(1, Ordering::SeqCst) {
                        0 => panic!("the first start fails"),
                        1 => {}
                        _ => core::future::pending().await,
                    }
                }
            }
        });
        system
            .wait_until("the task has been started twice again", || {
                starts.load(Ordering::SeqCst) == 3
            })
            .await;
        assert!(tasks.failures().is_empty(), "the process goes on");
        assert_counted(&system, r#"event="panicked",part="task""#).await;
        assert_counted(&system, r#"event="returned",part="task""#).await;
        tasks.close().await;
    });
}

/// Guards against a process that goes on with a state that a panic may have left inconsistent.
#[test]
fn a_required_task_that_panics_ends_the_process() {
    run_test(2, |system| async move {
        let mut tasks = Supervisor::new(Arc::clone(system.process.state()));
        tasks.require("test", async { panic!("item {} is wrong", 7) });
        let failure = next_failure(&tasks).await;
        let error = Error::Task(failure);
        assert_eq!(
            error.to_string(),
            "task test ended: panicked: item 7 is wrong"
        );
        assert_eq!(command::exit(Err(error)), ExitCode::FAILURE);
        assert_counted(&system, r#"event="panicked",part="task""#).await;
    });
}

/// Guards against a process that goes on without a task that it needs.
#[test]
fn a_required_task_that_returns_ends_the_process() {
    run_test(2, |system| async move {
        let mut tasks = Supervisor::new(Arc::clone(system.process.state()));
        tasks.require("test", async {});
        let failure = next_failure(&tasks).await;
        assert_eq!(failure, Failure::returned("test"));
        assert_counted(&system, r#"event="returned",part="task""#).await;
    });
}

/// Guards against a program that takes the end of the thread that receives signals for a signal, and reports success, or
/// goes on and can no longer be stopped.
#[test]
fn the_end_of_the_signal_thread_ends_the_program() {
    run_test(2, |system| async move {
        let (sender, signals) = smol::channel::unbounded();
        drop(sender);
        let options = Options {
            settings: PathBuf::from("none"),
            check: false,
            log: LevelFilter::Info,
        };
        let settings = settings("h2", system.store_address);
        let end = command::serve(&options, settings, signals);
        let end = agatemill_runtime::timeout(WAIT_TIMEOUT, end).await;
        let failure = assert_matches!(end, Some(Err(Error::Task(failure))) => failure);
        assert_eq!(failure, Failure::returned("signals"));
    });
}

/// Guards against a panic in the task of one connection that ends others, or that is not recorded.
#[test]
fn a_panic_in_a_task_of_a_connection_ends_only_that_task() {
    run_test(2, |system| async move {
        let metrics = &system.process.state().metrics;
        supervise::contain(metrics, "test", async { panic!("this connection fails") }).await;
        assert_counted(&system, r#"event="panicked",part="connection""#).await;
        assert_eq!(system.ready().await, 200);
        assert_eq!(system.send("read", "after").await.status, 200);
    });
}

/// The next required task that ended.
async fn next_failure(tasks: &Supervisor) -> Failure {
    let failures = tasks.failures();
    let failure = agatemill_runtime::timeout(WAIT_TIMEOUT, failures.recv()).await;
    failure.expect("the end of the task is reported").unwrap()
}

async fn assert_counted(system: &System, labels: &str) {
    let uri = format!("http://{}/", system.process.state().settings().metrics);
    let (_, metrics) = system.get(&uri).await;
    assert!(metrics.contains(labels), "{metrics}");
}
