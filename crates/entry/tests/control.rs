//! Connection of an entry to its control.

use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;

use crate::support::System;
use crate::support::TOKEN;
use crate::support::agent;
use crate::support::chat;
use crate::support::control::Control;
use crate::support::control::State;
use crate::support::loopback;
use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_entry::Handle;
use agatemill_entry::Settings;
use agatemill_entry::settings::Limits;
use agatemill_wire::Directory;
use agatemill_wire::Instruction;
use agatemill_wire::directory::Place;

mod support;

const FRESH: Instruction = Instruction {
    drain: false,
    fresh: true,
    entries: 2,
};

fn entry(control: &Control) -> Handle {
    let settings = Settings {
        control: Some(control.address),
        ..support::settings(Vec::new(), Limits::default())
    };
    smol::block_on(agatemill_entry::run(settings)).unwrap()
}

fn control(system: &System) -> Control {
    let extra = "freshness_limit = \"1s\"";
    let state = State {
        envelope: Some(system.envelope(5, extra)),
        instruction: FRESH,
        ..State::default()
    };
    Control::listen(loopback(), Arc::new(Mutex::new(state)))
}

/// Waits for at most 5 s.
fn wait(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..250 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{what} did not happen within 5 s");
}

fn ready(entry: &Handle) -> bool {
    let url = format!("http://{}/readyz", entry.address());
    agent().get(url).call().unwrap().status() == 200
}

fn complete(entry: &Handle) -> (u16, String) {
    let mut response = agent()
        .post(format!("http://{}/v1/chat/completions", entry.address()))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .send(chat(""))
        .unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    (response.status().as_u16(), text)
}

/// Guards against an entry that replaces its configuration by an older or invalid one.
#[test]
fn only_a_newer_valid_configuration_is_accepted() {
    let system = System::start();
    let control = control(&system);
    let entry = entry(&control);
    wait("readiness", || ready(&entry));
    assert_eq!(
        entry.state().configuration_store.generation(),
        Generation(5)
    );
    let offer = |envelope: Envelope| {
        control.state.lock().unwrap().envelope = Some(envelope);
        std::thread::sleep(Duration::from_millis(900));
        entry.state().configuration_store.generation()
    };
    assert_eq!(offer(system.envelope(4, "")), Generation(5));
    let faulty = Envelope::new(Generation(6), "w".into(), "t".into(), "halves = 1".into());
    assert_eq!(offer(faulty), Generation(5));
    let conflict = system.envelope(5, "call_retention = \"1h\"");
    assert!(entry.accept(&conflict).is_err());
    assert_eq!(offer(system.envelope(7, "")), Generation(7));
    assert_eq!(complete(&entry).0, 200);
}

/// Guards against an entry that stops at once when its control fails, and against one that serves a stale
/// configuration for ever.
#[test]
fn the_entry_serves_without_a_control_until_the_freshness_limit() {
    let system = System::start();
    let control = control(&system);
    let entry = entry(&control);
    wait("readiness", || ready(&entry));
    assert_eq!(entry.state().freshness.entry_count(), 2);
    let (address, state) = (control.address, Arc::clone(&control.state));
    drop(control);
    assert_eq!(complete(&entry).0, 200);
    wait("staleness", || complete(&entry).0 == 503);
    let (_, problem) = complete(&entry);
    assert!(problem.contains("stale_configuration"), "{problem}");
    assert!(problem.contains(r#""outcome":"not-run""#), "{problem}");
    let control = Control::listen(address, state);
    wait("recovery", || complete(&entry).0 == 200);
    control.state.lock().unwrap().instruction.fresh = false;
    wait("staleness by instruction", || complete(&entry).0 == 503);
}

/// Guards against a directory that directs callers to other zones first or to a draining host.
#[test]
fn the_directory_lists_the_own_zone_first_and_omits_a_draining_host() {
    let system = System::start();
    let control = control(&system);
    let place = |host: &str, zone: &str| Place {
        host: host.parse().unwrap(),
        zone: zone.parse().unwrap(),
        address: loopback(),
    };
    control.state.lock().unwrap().directory = Directory {
        places: vec![place("e3", "b"), place("e2", "a"), place("e1", "a")],
        leaving: Vec::new(),
    };
    let entry = entry(&control);
    wait("readiness", || ready(&entry));
    let url = format!("http://{}/v1/entries", entry.address());
    let entries = || {
        let mut response = agent().get(&url).call().unwrap();
        response.body_mut().read_to_string().unwrap()
    };
    wait("directory", || entries().contains("e3"));
    let text = entries();
    let at = |host: &str| text.find(&format!(r#""host":"{host}""#)).unwrap();
    assert!(at("e2") < at("e3") && at("e1") < at("e3"), "{text}");
    control.state.lock().unwrap().instruction.drain = true;
    smol::block_on(entry.wait_for_drain());
    assert!(!entries().contains(r#""host":"e1""#));
    let reported = || control.state.lock().unwrap().reports.last().copied();
    wait("report", || {
        reported().is_some_and(|report| report.draining && !report.ready)
    });
    assert!(smol::block_on(entry.close()));
}
