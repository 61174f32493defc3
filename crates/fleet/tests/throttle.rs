//! Credits for requests to servers that name a limit for all hosts together.

use core::time::Duration;

use proptest::prelude::*;

use agatemill_core::id;
use agatemill_core::number::Fence;
use agatemill_core::quantity::Rate;
use agatemill_fleet::Throttle;
use agatemill_fleet::tally::Key;
use agatemill_fleet::throttle::allocator::Allocator;
use agatemill_fleet::throttle::message::Ask;
use agatemill_fleet::throttle::message::Grant;

fn server() -> Key {
    let id: id::Server = "e1".parse().unwrap();
    Key::from(&id)
}

fn rate(per_s: f64) -> Rate {
    Rate::new(per_s).unwrap()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A host that knows the limit of the server.
fn limited(per_s: f64, serial: u64) -> Throttle {
    let mut throttle = Throttle::new(serial);
    throttle.observe(server(), Some(rate(per_s)), ms(0), ms(0));
    throttle
}

fn ask(throttle: &mut Throttle, wanted: u32, now: Duration) -> Ask {
    (0..wanted).for_each(|_| throttle.want(server()));
    throttle.ask(now).unwrap()
}

fn grant(ask: &Ask, credits: u32) -> Grant {
    Grant {
        serial: ask.serial,
        rows: vec![(server(), credits)],
    }
}

/// Guards against requests to a server with a limit that no credit covers.
#[test]
fn a_credit_is_used_once_and_expires() {
    let mut throttle = limited(10.0, 0);
    assert!(!throttle.take(server(), ms(1)));
    let first = ask(&mut throttle, 2, ms(10));
    throttle.accept(grant(&first, 2), ms(20));
    assert!(throttle.take(server(), ms(30)));
    assert!(throttle.may_send(server(), ms(1_009)));
    assert!(
        !throttle.take(server(), ms(1_010)),
        "a second after the ask"
    );
}

/// Guards against credits that are counted twice because a datagram was repeated or delayed.
#[test]
fn a_repeated_or_late_answer_brings_nothing() {
    let mut throttle = limited(10.0, 0);
    let first = ask(&mut throttle, 1, ms(10));
    throttle.accept(grant(&first, 1), ms(20));
    throttle.accept(grant(&first, 1), ms(30));
    assert!(throttle.take(server(), ms(40)));
    assert!(!throttle.take(server(), ms(41)));
    let second = ask(&mut throttle, 1, ms(50));
    throttle.accept(grant(&second, 1), ms(600));
    assert!(!throttle.take(server(), ms(601)));
    let third = ask(&mut throttle, 1, ms(700));
    let fourth = ask(&mut throttle, 1, ms(900));
    throttle.accept(grant(&third, 1), ms(910));
    assert!(
        !throttle.take(server(), ms(911)),
        "the answer to an earlier ask"
    );
    throttle.accept(grant(&fourth, 1), ms(920));
    assert!(throttle.take(server(), ms(921)));
}

/// Guards against a limit that ends because of an answer to a request from before it.
#[test]
fn only_an_answer_to_a_later_request_lifts_a_limit() {
    let mut throttle = limited(10.0, 0);
    throttle.observe(server(), Some(rate(10.0)), ms(90), ms(100));
    assert!(!throttle.observe(server(), None, ms(80), ms(110)));
    assert!(throttle.limit(server()).is_some());
    assert!(throttle.observe(server(), None, ms(101), ms(120)));
    assert!(throttle.take(server(), ms(121)));
}

/// Guards against hosts that disagree on the limit of a server, and a lifted limit that another host brings back.
#[test]
fn the_latest_answer_of_a_server_counts_at_all_hosts() {
    let mut first = limited(10.0, 0);
    let mut second = Throttle::default();
    assert!(second.receive(first.notice(ms(200)), ms(201)));
    assert_eq!(second.limit(server()), Some(rate(10.0)));
    assert!(second.observe(server(), Some(rate(4.0)), ms(300), ms(400)));
    first.receive(second.notice(ms(500)), ms(501));
    assert_eq!(first.limit(server()), Some(rate(4.0)));
    assert!(first.observe(server(), None, ms(600), ms(700)));
    first.receive(second.notice(ms(800)), ms(801));
    assert_eq!(first.limit(server()), None);
    second.receive(first.notice(ms(900)), ms(901));
    assert_eq!(second.limit(server()), None);
}

/// Guards against a limit that hosts forget because the platform does not list the server for a moment.
#[test]
fn a_limit_outlasts_a_gap_in_the_listing() {
    let mut throttle = limited(10.0, 0);
    throttle.retain(|_| false, Duration::from_secs(59));
    assert!(throttle.limit(server()).is_some());
    throttle.retain(|_| false, Duration::from_mins(1));
    assert!(throttle.is_idle());
}

/// Guards against a new leader that gives out what its predecessor has given out already.
#[test]
fn a_new_term_starts_without_credits() {
    let mut allocator = Allocator::default();
    let limit = |_| Some(rate(10.0));
    let wanted = Ask {
        serial: 1,
        rows: vec![(server(), 50)],
    };
    assert!(
        allocator
            .grant(Fence(1), wanted.clone(), limit, ms(0))
            .rows
            .is_empty()
    );
    let second = allocator.grant(Fence(1), wanted.clone(), limit, ms(1_000));
    assert_eq!(second.rows, [(server(), 9)]);
    assert!(
        allocator
            .grant(Fence(2), wanted, limit, ms(5_000))
            .rows
            .is_empty()
    );
}

/// Time for which a fleet is played.
const PLAY_TIME: Duration = Duration::from_secs(30);

/// A fleet under load in front of one server with a limit.
struct Fleet {
    hosts: Vec<Throttle>,
    allocators: Vec<Allocator>,
    rng: fastrand::Rng,
    per_s: f64,
    /// For each host, the times until which requests wait for a credit.
    waiting: Vec<Vec<Duration>>,
    /// When each host asked last.
    asked: Vec<Duration>,
}

/// A message on its way: when it arrives, and the receiver.
enum Mail {
    Ask(usize, Ask),
    Grant(usize, Grant),
}

impl Fleet {
    fn new(seed: u64, hosts: usize, per_s: f64) -> Self {
        Self {
            hosts: (0..hosts as u64)
                .map(|serial| limited(per_s, serial << 32))
                .collect(),
            allocators: vec![Allocator::default(); hosts],
            rng: fastrand::Rng::with_seed(seed),
            per_s,
            waiting: vec![Vec::new(); hosts],
            asked: vec![Duration::ZERO; hosts],
        }
    }

    /// Plays for `time`; returns the times at which requests were sent. Messages are lost, repeated and delayed, hosts restart,
    /// and the leader changes with pauses in which there is none.
    fn play(mut self, time: Duration, has_faults: bool) -> Vec<Duration> {
        let mut sent = Vec::new();
        let mut mail: Vec<(Duration, Mail)> = Vec::new();
        let (mut leader, mut term) = (Some(0), 1);
        let mut now = Duration::ZERO;
        while now < time {
            now += ms(10);
            if has_faults && self.rng.u32(..400) == 0 {
                leader = leader.is_none().then(|| self.rng.usize(..self.hosts.len()));
                term += 1;
            }
            if has_faults && self.rng.u32(..100) == 0 {
                let host = self.rng.usize(..self.hosts.len());
                self.hosts[host] = limited(self.per_s, self.rng.u64(..));
                self.hosts[host].observe(server(), Some(rate(self.per_s)), now, now);
                self.allocators[host] = Allocator::default();
                if leader == Some(host) {
                    leader = None;
                }
            }
            for host in 0..self.hosts.len() {
                self.request(host, now, &mut sent);
                if let Some(ask) = self.ask_of(host, now) {
                    self.post(&mut mail, has_faults, now, &Mail::Ask(host, ask));
                }
            }
            let (due, rest) = mail.into_iter().partition(|(at, _)| *at <= now);
            mail = rest;
            for (_, message) in due as Vec<(Duration, Mail)> {
                match (message, leader) {
                    (Mail::Ask(host, ask), Some(leader)) => {
                        let limit = Some(rate(self.per_s));
                        let grant = self.allocators[leader].grant(Fence(term), ask, |_| limit, now);
                        self.post(&mut mail, has_faults, now, &Mail::Grant(host, grant));
                    }
                    (Mail::Ask(..), None) => {}
                    (Mail::Grant(host, grant), _) => self.hosts[host].accept(grant, now),
                }
            }
        }
        sent
    }

    /// Hosts ask every 250 ms, and earlier while requests wait.
    fn ask_of(&mut self, host: usize, now: Duration) -> Option<Ask> {
        let is_waiting = !self.waiting[host].is_empty();
        let interval = ms(if is_waiting {
            50.max(self.hosts.len() as u64 * 5 / 2)
        } else {
            250
        });
        if now < self.asked[host] + interval {
            return None;
        }
        self.asked[host] = now;
        self.hosts[host].ask(now)
    }

    /// Sends the requests of one step, and those that wait. The hosts together get three times what the server accepts.
    fn request(&mut self, host: usize, now: Duration, sent: &mut Vec<Duration>) {
        #[allow(clippy::cast_precision_loss)]
        let chance = 3.0 * self.per_s / self.hosts.len() as f64 * 0.01;
        if self.rng.f64() < chance {
            self.hosts[host].want(server());
            self.waiting[host].push(now + ms(250));
        }
        let throttle = &mut self.hosts[host];
        self.waiting[host].retain(|until| {
            let is_sent = throttle.take(server(), now);
            if is_sent {
                sent.push(now);
            }
            !is_sent && now < *until
        });
    }

    fn post(
        &mut self,
        mail: &mut Vec<(Duration, Mail)>,
        has_faults: bool,
        now: Duration,
        message: &Mail,
    ) {
        let copies = if has_faults {
            [0, 1, 1, 1, 2][self.rng.usize(..5)]
        } else {
            1
        };
        for _ in 0..copies {
            let is_late = has_faults && self.rng.u8(..10) == 0;
            let delay = ms(if is_late { self.rng.u64(..3_000) } else { 1 });
            let copy = match message {
                Mail::Ask(host, ask) => Mail::Ask(*host, ask.clone()),
                Mail::Grant(host, grant) => Mail::Grant(*host, grant.clone()),
            };
            mail.push((now + delay, copy));
        }
    }
}

/// The largest number of requests in any 4 s.
fn most_in_4_s(sent: &[Duration]) -> usize {
    let in_window = |start: &Duration| {
        let window = *start..*start + Duration::from_secs(4);
        sent.iter().filter(|at| window.contains(at)).count()
    };
    sent.iter().map(in_window).max().unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against a sum over all hosts that exceeds a limit after restarts, changes of the leader and lost, repeated
    /// or late messages.
    #[test]
    fn all_hosts_together_keep_a_limit(seed: u64, hosts in 1_usize..100, per_s in 0.5..60.0) {
        let sent = Fleet::new(seed, hosts, per_s).play(PLAY_TIME, true);
        #[allow(clippy::cast_precision_loss)]
        let most = most_in_4_s(&sent) as f64;
        prop_assert!(most <= 1.5 * 4.0 * per_s + 5.0, "{most} requests for a limit of {per_s}/s");
    }
}

/// Guards against a sum that grows with the number of hosts.
#[test]
fn a_thousand_hosts_keep_a_limit_of_one_a_second() {
    let sent = Fleet::new(1, 1_000, 1.0).play(Duration::from_secs(12), true);
    let most = most_in_4_s(&sent);
    assert!(most <= 11, "{most} requests");
}

/// Guards against credits that reach hosts which do not use them while others wait.
#[test]
fn a_limit_is_used() {
    for (hosts, per_s) in [(8, 15.0), (80, 15.0), (80, 40.0)] {
        let sent = Fleet::new(1, hosts, per_s).play(PLAY_TIME, false).len();
        #[allow(clippy::cast_precision_loss)]
        let share = sent as f64 / (PLAY_TIME.as_secs_f64() * per_s);
        assert!(
            share > 0.5,
            "{hosts} hosts use {share} of a limit of {per_s}/s"
        );
    }
}
