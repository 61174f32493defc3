//! Hosts that learn of changes through another host.

use core::time::Duration;

use crate::play;
use crate::system::System;
use crate::system::settings;
use agatemill_gateway::Process;
use agatemill_standin::document;
use agatemill_standin::store::Endpoint;

/// Time within which a change is to be in force at every host.
const IN_FORCE: Duration = Duration::from_secs(2);

/// A second host of the same zone with an entrance to the store of its own. It follows the first.
async fn second(system: &System) -> (Process, Endpoint) {
    let (address, door) = system.store.open_endpoint();
    let process = Process::start(settings("h2", address)).await.unwrap();
    let name: agatemill_core::id::Host = "h2".parse().unwrap();
    let knows = |process: &Process| process.state().view().members.contains_key(&name);
    system
        .until("both hosts know each other", || {
            knows(&process) && knows(&system.process)
        })
        .await;
    (process, door)
}

fn version(process: &Process) -> u64 {
    let view = process.state().view();
    view.configuration.as_ref().map_or(0, |held| held.version)
}

async fn takes(system: &System, process: &Process, new: u64) {
    let put = agatemill_runtime::now();
    system
        .store
        .put("op/config", &document::routes(new, r#""k1""#));
    let what = format!("version {new} is in force");
    system.until(&what, || version(process) == new).await;
    let taken = agatemill_runtime::now().saturating_sub(put);
    assert!(taken < IN_FORCE, "{new} took {taken:?}");
}

/// Guards against watches of the store by every host; each answer is a priced call.
#[test]
fn a_host_follows_the_first_of_its_zone() {
    play(2, |system| async move {
        let (process, door) = second(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let before = door.watches();
        for version in 10..14 {
            takes(&system, &process, version).await;
        }
        assert_eq!(door.watches(), before, "the second host asked the store");
        assert!(process.state().is_ready());
    });
}

/// Guards against a host that stays behind because the host that it follows is gone.
#[test]
fn a_host_whose_neighbour_is_gone_asks_the_store() {
    play(2, |mut system| async move {
        let (process, door) = second(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let before = door.watches();
        let third = Process::start(settings("h3", system.store_address))
            .await
            .unwrap();
        drop(core::mem::replace(&mut system.process, third));
        takes(&system, &process, 10).await;
        assert!(door.watches() > before);
    });
}

/// Guards against a host that refuses callers with keys because the store turns it away while another host
/// could tell it all changes.
#[test]
fn a_host_that_the_store_turns_away_still_serves() {
    play(2, |system| async move {
        let (process, door) = second(&system).await;
        door.refuse_calls();
        takes(&system, &process, 10).await;
        // Longer than a view without news counts as recent.
        agatemill_runtime::sleep(Duration::from_secs(4)).await;
        assert!(process.state().is_ready());
        takes(&system, &process, 11).await;
    });
}

/// Guards against a reading of the whole store by every host when the store drops its history.
#[test]
fn a_dropped_history_is_read_by_one_host() {
    play(2, |system| async move {
        let (process, door) = second(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let before = door.calls();
        let watches = door.watches();
        system.store.compact();
        system.store.remove("servers/s1");
        takes(&system, &process, 10).await;
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        let servers = || process.state().view().servers(&name).len();
        system
            .until("the removed server is gone", || servers() == 1)
            .await;
        assert_eq!(door.watches(), watches);
        // Renewals of the lease are all that this host asks for.
        assert!(
            door.calls() <= before + 6,
            "{} calls",
            door.calls() - before
        );
    });
}
