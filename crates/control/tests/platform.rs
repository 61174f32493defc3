//! Integration tests of controls with the fake platform.

use core::net::SocketAddr;
use core::time::Duration;

use crate::cluster::SECOND;
use agatemill_config::Envelope;
use agatemill_control::Control;
use agatemill_control::planner::term::LEASE_TTL;
use agatemill_control::planner::term::ORDER_TIMEOUT;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;
use agatemill_fake::engine::Engine;
use agatemill_fake::engine::Settings;
use agatemill_fake::platform::Platform;
use agatemill_fake::platform::faults::Change;
use agatemill_platform::Client;
use agatemill_platform::Swap;
use agatemill_wire::member::State;

#[allow(dead_code)]
mod cluster;

const KEY: &str = "/agatemill/trial/configuration";

async fn platform() -> Platform {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Platform::listen(address).await.expect("a free port")
}

/// Starts controls in three zones that discover each other through the platform alone.
async fn cluster(count: usize, platform: &Platform) -> Vec<Control> {
    let mut controls = Vec::new();
    for index in 0..count {
        controls.push(cluster::start_with(index, Vec::new(), vec![platform.address()]).await);
        agatemill_runtime::sleep(Duration::from_millis(100)).await;
    }
    for control in &controls {
        let joined = async || cluster::overview(control).await.members.len() == count;
        assert!(
            cluster::wait_until(5 * SECOND, joined).await.is_some(),
            "not joined"
        );
    }
    controls
}

async fn apply(client: &Client, generation: u64) {
    let envelope =
        Envelope::try_from(cluster::envelope(generation, "ada")).expect("a valid envelope");
    write(client, &envelope).await;
}

async fn write(client: &Client, envelope: &Envelope) {
    let value = serde_json::to_vec(envelope).expect("JSON");
    let entry = client.get(KEY).await.expect("a response");
    let revision = entry.map_or(Revision(0), |entry| entry.revision);
    let swap = client.swap(KEY, &value, revision, None).await;
    assert!(matches!(swap, Ok(Swap::Done(_))), "{swap:?}");
}

async fn everywhere(controls: &[Control], generation: u64) -> bool {
    let received = async || {
        controls
            .iter()
            .all(|control| control.generation() == Generation(generation))
    };
    cluster::wait_until(5 * SECOND, received).await.is_some()
}

/// Guards against hosts that need a list of peers to discover each other, and against a configuration that reaches
/// only the watchers of the platform.
#[test]
fn an_applied_configuration_reaches_every_host() {
    smol::block_on(async {
        let platform = platform().await;
        let controls = cluster(9, &platform).await;
        let client = platform.client(SECOND);
        for generation in 1..=3 {
            apply(&client, generation).await;
            assert!(everywhere(&controls, generation).await);
        }
    });
}

/// Guards against host list reads by every host instead of by the watchers of each zone, against a list that the
/// watchers do not pass on, and against a registration of every host at the platform.
#[test]
fn some_hosts_of_each_zone_use_the_platform_for_all() {
    smol::block_on(async {
        let platform = platform().await;
        let controls = cluster(15, &platform).await;
        let client = platform.client(SECOND);
        // A host without a configuration reads the platform even if it is not a watcher.
        apply(&client, 1).await;
        assert!(everywhere(&controls, 1).await);
        for state in ["leaving", "live"] {
            let list = format!(r#"[{{"host":"h","address":"127.0.0.9","state":"{state}"}}]"#);
            let entry = client.get("/platform/hosts").await.expect("a response");
            let revision = entry.map_or(Revision(0), |entry| entry.revision);
            let swap = client.swap("/platform/hosts", list.as_bytes(), revision, None);
            assert!(matches!(swap.await, Ok(Swap::Done(_))));
            let count = usize::from(state == "leaving");
            let has_list = async || {
                for control in &controls {
                    let client = cluster::local(control).await;
                    let directory = client.directory(tarpc::context::current()).await;
                    if directory.expect("a response").leaving.len() != count {
                        return false;
                    }
                }
                true
            };
            assert!(cluster::wait_until(6 * SECOND, has_list).await.is_some());
        }
        let prefix = "/agatemill/trial/members/";
        let listed = async || client.list(prefix).await.expect("a response").len() == 9;
        assert!(cluster::wait_until(30 * SECOND, listed).await.is_some());
        let before = platform.counts();
        agatemill_runtime::sleep(10 * SECOND).await;
        let after = platform.counts();
        let reads = after.reads.total - before.reads.total;
        let leases = after.leases.total - before.leases.total;
        println!("{reads} reads and {leases} lease calls in 10 s");
        // Each of the 6 watchers reads the list and the configuration every 3 s and the planner's key
        // every 2 s; the planner reads the configuration. Reads of the list by all 15 take 30 more.
        assert!(reads <= 85, "{reads} reads in 10 s");
    });
}

/// Guards against a configuration that reverts after a loss of data at the platform, and against a lost
/// configuration that is not written back.
#[test]
fn an_older_value_at_the_platform_is_refused_and_overwritten() {
    smol::block_on(async {
        let platform = platform().await;
        let controls = cluster(4, &platform).await;
        let client = platform.client(SECOND);
        apply(&client, 1).await;
        platform.snapshot();
        apply(&client, 2).await;
        assert!(everywhere(&controls, 2).await);
        assert!(platform.restore());
        let written = async || {
            let entry = client.get(KEY).await.expect("a response").expect("present");
            let envelope: Envelope = serde_json::from_slice(&entry.value).expect("an envelope");
            envelope.generation == Generation(2)
        };
        // A planner whose lease was lost with the data may detect that only at the end of its term.
        assert!(cluster::wait_until(15 * SECOND, written).await.is_some());
        assert!(everywhere(&controls, 2).await);
        assert!(controls.iter().map(Control::rollbacks).sum::<u64>() > 0);
    });
}

/// Guards against an outage of the platform that marks live hosts dead, makes them refuse calls, or leaves a planner
/// that still relies on its lease; and against two planners at a time.
#[test]
fn an_outage_stops_the_planner_and_nothing_else() {
    smol::block_on(async {
        let platform = platform().await;
        let controls = cluster(4, &platform).await;
        apply(&platform.client(SECOND), 1).await;
        assert!(everywhere(&controls, 1).await);
        let planners = || {
            controls
                .iter()
                .filter(|control| control.is_planner())
                .count()
        };
        let one = async || planners() == 1;
        assert!(cluster::wait_until(15 * SECOND, one).await.is_some());
        platform.update_faults(&Change {
            down: Some(true),
            ..Change::default()
        });
        for _ in 0..120 {
            agatemill_runtime::sleep(SECOND / 10).await;
            assert!(planners() <= 1);
        }
        assert_eq!(planners(), 0);
        for control in &controls {
            let members = cluster::overview(control).await.members;
            assert!(members.iter().all(|member| member.state == State::Alive));
            let local = cluster::local(control).await;
            assert!(cluster::report(&local, 9_400).await.fresh);
        }
        platform.update_faults(&Change {
            down: Some(false),
            ..Change::default()
        });
        assert!(cluster::wait_until(15 * SECOND, one).await.is_some());
    });
}

/// Guards against a planned stop after which no planner is active until the old lease has expired, and after which
/// new hosts try to join through the stopped one.
#[test]
fn a_planned_stop_revokes_its_leases() {
    smol::block_on(async {
        let platform = platform().await;
        let mut controls = cluster(3, &platform).await;
        let client = platform.client(SECOND);
        let one = async || controls.iter().any(Control::is_planner);
        assert!(cluster::wait_until(15 * SECOND, one).await.is_some());
        let index = controls.iter().position(Control::is_planner);
        let index = index.expect("a planner");
        let key = format!("/agatemill/trial/members/host-{index}");
        assert_ne!(client.get(&key).await, Ok(None));
        let planner = client.get("/agatemill/trial/planner").await;
        let before = planner.expect("a response").expect("a planner");
        controls.remove(index).close().await;
        assert_eq!(client.get(&key).await, Ok(None));
        let planner = client.get("/agatemill/trial/planner").await;
        let after = planner.expect("a response");
        assert!(after.is_none_or(|after| after.revision != before.revision));
    });
}

async fn engine(name: &str, ignore_fencing: bool) -> Engine {
    let id = name.parse().expect("a valid id");
    let model = "m".parse().expect("a valid id");
    let version = "1".parse().expect("a valid id");
    let layers = "0..4".parse().expect("a range");
    let mut settings = Settings::instant(id, model, version, layers);
    settings.ignore_fencing = ignore_fencing;
    Engine::listen(settings).await.expect("a free port")
}

/// Version that an engine has loaded.
async fn version(engine: &Engine) -> String {
    let client = agatemill_http::Client::new(SECOND);
    let request = hyper::Request::get(format!("http://{}/v1/status", engine.address()));
    let request = request
        .body(http_body_util::Full::default())
        .expect("valid");
    let response = client
        .fetch(request, SECOND, 1 << 16)
        .await
        .expect("a response");
    let status: agatemill_engine::Status =
        serde_json::from_slice(response.body()).expect("a status");
    status.version.to_string()
}

fn document(engines: &[(&str, &Engine, bool)]) -> String {
    let mut text = "halves = [\"kadunaledger\"]\n\
        settings.load_rate = \"5/s\"\n\
        [[zone]]\nname = \"zone-0\"\nregion = \"r\"\n\
        [[model]]\nname = \"m\"\nversion = \"2\"\nlayers = 4\nactivation = \"1KiB\"\n"
        .to_owned();
    for (name, engine, fencing) in engines {
        let part = format!(
            "[[engine]]\nname = \"{name}\"\naddress = \"{}\"\nhalf = \"kadunaledger\"\n\
            zone = \"zone-0\"\naccelerator = \"a\"\nmodel = \"m\"\nversion = \"2\"\n\
            layers = \"0..4\"\nthroughput = \"10/s\"\nbatch = 4\nfencing = {fencing}\n",
            engine.address()
        );
        text.push_str(&part);
    }
    text
}

/// Guards against engines that never receive an order to load what the document says, and against an order to an
/// engine that ignores fencing numbers while an earlier planner may still send orders.
#[test]
fn engines_are_ordered_to_load_what_the_document_says() {
    smol::block_on(async {
        let platform = platform().await;
        let fenced = engine("fenced", false).await;
        let unfenced = engine("unfenced", true).await;
        let text = document(&[("fenced", &fenced, true), ("unfenced", &unfenced, false)]);
        let start = agatemill_runtime::now();
        let envelope = Envelope::new(Generation(1), "w".into(), "ada".into(), text);
        write(&platform.client(SECOND), &envelope).await;
        let controls = cluster(2, &platform).await;
        assert!(everywhere(&controls, 1).await);
        let loaded = async || version(&fenced).await == "2";
        assert!(cluster::wait_until(8 * SECOND, loaded).await.is_some());
        let loaded = async || version(&unfenced).await == "2";
        assert!(cluster::wait_until(20 * SECOND, loaded).await.is_some());
        // The term cannot have begun before the controls were started.
        assert!(agatemill_runtime::now().saturating_sub(start) >= LEASE_TTL + ORDER_TIMEOUT);
    });
}
