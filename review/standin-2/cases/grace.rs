//! A server leaves just after the host that the others of its zone follow has found the store again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::pause;
use crate::caller::Call;
use crate::fleet::Fleet;
use crate::fleet::Gateway;
use crate::http;
use crate::proxy::Proxy;

const GATEWAYS: usize = 8;

const DRAIN: Duration = Duration::from_millis(2_000);

/// Number of times that the link is cut and a server leaves.
const ROUNDS: usize = 4;

/// Servers of the service. One of them leaves in each round, and another one takes its place.
const SERVERS: usize = 4;

const OPTIONS: &str =
    "service=plain zone=a framing=length work-ms=60 body-ms=0 drain-ms=2000 late-ms=400";

/// Cuts one of eight gateways of a zone, the one that the others follow, off from the store for 2.2 s. Some 0.8 s after it is back one of four
/// servers leaves: its entry is removed, and it goes on for `drain-ms` and 0.4 s more. Callers send to the other seven all the while.
pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Option<bool> {
    let mut servers: Vec<SocketAddr> = (0..SERVERS)
        .map(|number| fleet.start_engine(&name(number), OPTIONS))
        .collect();
    let link = fleet.address();
    let proxy = Proxy::start(link, fleet.store.address);
    let mut gateways: Vec<Gateway> = vec![fleet.start_gateway_on("edge-a-1", "a", link)];
    gateways
        .extend((2..=GATEWAYS).map(|number| fleet.start_gateway(&format!("edge-a-{number}"), "a")));
    if !gateways
        .iter()
        .all(|gateway| fleet.wait_until_ready(*gateway))
    {
        return None;
    }
    pause(6_000);
    let mut is_kept = true;
    for round in 0..ROUNDS {
        is_kept &= play(
            fleet,
            &proxy,
            &gateways,
            (&name(round), servers[round]),
            has_trouble,
        )?;
        servers.push(fleet.start_engine(&name(SERVERS + round), OPTIONS));
        pause(4_000);
    }
    Some(is_kept)
}

fn name(number: usize) -> String {
    format!("p-{number}")
}

/// Plays one round, in which `server` leaves; returns whether the rule held.
fn play(
    fleet: &Fleet,
    proxy: &Proxy,
    gateways: &[Gateway],
    server: (&str, SocketAddr),
    has_trouble: bool,
) -> Option<bool> {
    let is_done = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Instant, u16)>>> = Arc::default();
    let callers = gateways[1..].iter().enumerate().map(|(number, gateway)| {
        let (is_done, sent, record, host) = (
            Arc::clone(&is_done),
            Arc::clone(&sent),
            fleet.record.quiet(),
            gateway.callers,
        );
        let leaving = server.0.to_owned();
        thread::spawn(move || {
            let mut replies = Vec::new();
            for count in 0.. {
                if is_done.load(Ordering::SeqCst) {
                    break;
                }
                let attempt = format!("{leaving}-g{}-{count}", number + 2);
                let call = Call {
                    host,
                    method: "POST",
                    path: "/submit/1".to_owned(),
                    attempt: attempt.clone(),
                    deadline: Duration::from_millis(1_500),
                    key: "key-1",
                    body: "{}".to_owned(),
                    fields: String::new(),
                    is_second: false,
                };
                let (record, sent) = (record.clone(), Arc::clone(&sent));
                replies.push(thread::spawn(move || {
                    let answer = call.send(&record);
                    if let Some(at) = answer.sent {
                        sent.lock().unwrap().push((attempt, at, answer.status));
                    }
                }));
                pause(20);
            }
            for reply in replies {
                let _ = reply.join();
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    pause(500);
    if has_trouble {
        fleet
            .record
            .line("the link of edge-a-1 to the store is cut");
        proxy.cut();
    }
    pause(2_200);
    if has_trouble {
        fleet.record.line("the link is back");
        proxy.heal();
    }
    pause(800);
    http::call(server.1, "POST", "/standin/leave", "").ok()?;
    let acknowledged = Instant::now();
    fleet.record.line(&format!(
        "the store has acknowledged that {} is gone",
        server.0
    ));
    pause(3_500);
    is_done.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().ok()?;
    }
    let sent = sent.lock().unwrap();
    let (mut late, mut reached) = (0, 0);
    for (attempt, at, status) in sent.iter() {
        if !fleet.seen_by(server.0, &format!("runs {attempt} for the tenant office")) {
            continue;
        }
        reached += 1;
        let after = at.saturating_duration_since(acknowledged);
        if after > DRAIN {
            late += 1;
            let (server, after) = (server.0, after.as_secs_f64());
            fleet.record.line(&format!("{attempt} was sent {after:.3} s after the acknowledgement and ran at {server}; its caller got {status}"));
        }
    }
    let total = sent.len();
    fleet.record.line(&format!(
        "of {total} requests {reached} reached {}, {late} of them later than drain-ms",
        server.0
    ));
    (reached > 0).then_some(late == 0)
}
