//! Test support: controls on loopback within this process, and simulated entries.

use core::net::SocketAddr;
use core::time::Duration;

use async_compat::CompatExt;
use tarpc::client::Config;
use tarpc::client::NewClient;

use agatemill_config::Envelope;
use agatemill_control::Control;
use agatemill_control::Settings;
use agatemill_control::settings::Timings;
use agatemill_core::number::Generation;
use agatemill_wire::local::LocalClient;
use agatemill_wire::operator::OperatorClient;
use agatemill_wire::peer::PeerClient;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

pub const SECOND: Duration = Duration::from_secs(1);

const ANY_PORT: SocketAddr = SocketAddr::V4(core::net::SocketAddrV4::new(
    core::net::Ipv4Addr::LOCALHOST,
    0,
));

pub async fn start(index: usize, peers: Vec<SocketAddr>) -> Control {
    start_with(index, peers, Vec::new()).await
}

pub async fn start_with(
    index: usize,
    peers: Vec<SocketAddr>,
    platform: Vec<SocketAddr>,
) -> Control {
    let settings = Settings {
        host: format!("host-{index}").parse().expect("a valid id"),
        zone: format!("zone-{}", index % 3).parse().expect("a valid id"),
        environment: "trial".parse().expect("a valid id"),
        listen: ANY_PORT,
        gossip: ANY_PORT,
        advertise_control: None,
        advertise_gossip: None,
        platform,
        peers,
        threads: 4,
        timings: Timings::default(),
    };
    agatemill_control::run(settings).await.expect("free ports")
}

/// Starts controls and waits until each knows all others.
pub async fn cluster(count: usize) -> Vec<Control> {
    let first = start(0, Vec::new()).await;
    let mut controls = vec![first];
    for index in 1..count {
        controls.push(start(index, vec![controls[0].address()]).await);
    }
    for control in &controls {
        let joined = async || overview(control).await.members.len() == count;
        assert!(
            wait_until(5 * SECOND, joined).await.is_some(),
            "no full membership"
        );
    }
    controls
}

/// Waits until the condition holds and returns the elapsed time; `None` after `limit`.
pub async fn wait_until(limit: Duration, holds: impl AsyncFn() -> bool) -> Option<Duration> {
    let start = agatemill_runtime::now();
    loop {
        if holds().await {
            return Some(agatemill_runtime::now().saturating_sub(start));
        }
        if agatemill_runtime::now().saturating_sub(start) > limit {
            return None;
        }
        agatemill_runtime::sleep(Duration::from_millis(20)).await;
    }
}

pub fn envelope(generation: u64, author: &str) -> agatemill_wire::Envelope {
    let text = format!("# {author} {generation}\nhalves = [\"kadunaledger\", \"toponymie\"]\n");
    let envelope = Envelope::new(Generation(generation), "write".into(), author.into(), text);
    agatemill_wire::Envelope::from(&envelope)
}

pub async fn push(control: &Control, envelope: agatemill_wire::Envelope) -> u64 {
    let transport = transport::connect(control.address(), Service::Peer);
    let transport = transport.await.expect("a connection");
    let NewClient { client, dispatch } = PeerClient::new(Config::default(), transport);
    agatemill_runtime::spawn(dispatch.compat()).detach();
    let pushed = client.push(tarpc::context::current(), envelope);
    pushed.await.expect("a response")
}

pub async fn operator(control: &Control) -> OperatorClient {
    let transport = transport::connect(control.address(), Service::Operator);
    let transport = transport.await.expect("a connection");
    let NewClient { client, dispatch } = OperatorClient::new(Config::default(), transport);
    agatemill_runtime::spawn(dispatch.compat()).detach();
    client
}

pub async fn overview(control: &Control) -> agatemill_wire::Overview {
    let client = operator(control).await;
    let overview = client.overview(tarpc::context::current());
    overview.await.expect("a response")
}

pub async fn count(control: &Control, generation: u64) -> agatemill_wire::Count {
    let client = operator(control).await;
    let count = client.count(tarpc::context::current(), generation);
    count.await.expect("a response")
}

pub async fn local(control: &Control) -> LocalClient {
    let transport = transport::connect(control.address(), Service::Local);
    let transport = transport.await.expect("a connection");
    let NewClient { client, dispatch } = LocalClient::new(Config::default(), transport);
    agatemill_runtime::spawn(dispatch.compat()).detach();
    client
}

/// Sends one report of a ready entry with generation 1.
pub async fn report(client: &LocalClient, port: u16) -> agatemill_wire::Instruction {
    let report = agatemill_wire::Report {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        ready: true,
        draining: false,
        in_flight: 0,
        generation: 1,
    };
    let instruction = client.report(tarpc::context::current(), report);
    instruction.await.expect("a response")
}

/// Simulates an entry that reports every 200 ms until the task is dropped.
pub async fn entry(control: &Control, port: u16) -> smol::Task<()> {
    let client = local(control).await;
    agatemill_runtime::spawn(async move {
        loop {
            report(&client, port).await;
            agatemill_runtime::sleep(Duration::from_millis(200)).await;
        }
    })
}

/// Names of the hosts in the directory of a control.
pub async fn directory(control: &Control) -> Vec<String> {
    let client = local(control).await;
    let directory = client.directory(tarpc::context::current());
    let places = directory.await.expect("a response").places;
    places.iter().map(|place| place.host.to_string()).collect()
}
