//! Hosts that share one pool of memory, in steps of 10 ms. Streams beyond the memory are preempted, newest first. What a host
//! knows of others passes a round of 250 ms to the collector of its zone, and another one to the other collectors.

pub mod host;
mod log;

use core::time::Duration;

use self::host::Host;
use self::host::Verdict;
use self::host::subject;
pub use self::log::Refusal;
pub use self::log::Request;
pub use self::log::Script;
use agatemill_fleet::Demand;

const STEP: Duration = Duration::from_millis(10);
const ROUND_STEPS: usize = 25;
/// Requests a second of each kind.
const RATES: [f64; 3] = [151.0, 81.5, 50.3];
/// Share of the memory that the usual load takes.
const USUAL_FILL: f64 = 0.8;
const TOKENS: f64 = 995.0;
const HELD_S: f64 = 3.0;

pub struct Play {
    script: Script,
    rng: fastrand::Rng,
    now: Duration,
    hosts: Vec<Host>,
    /// Host, request and end of each stream.
    streams: Vec<(usize, usize, Duration)>,
    comebacks: Vec<(Duration, usize)>,
    /// Sums that the collectors took in the last two rounds.
    sums: [[(Demand, f64); 2]; 3],
    pub requests: Vec<Request>,
    pub refusals: Vec<Refusal>,
    /// Time, kind, and share of the memory that the kind held.
    pub admissions: Vec<(Duration, usize, f64)>,
    /// Share of the memory that each kind holds, each step.
    pub held: Vec<[f64; 3]>,
}

impl Play {
    pub fn run(script: Script) -> Self {
        let mut play = Self {
            script,
            rng: fastrand::Rng::with_seed(5),
            now: Duration::ZERO,
            hosts: vec![Host::default(); script.hosts],
            streams: Vec::new(),
            comebacks: Vec::new(),
            sums: Default::default(),
            requests: Vec::new(),
            refusals: Vec::new(),
            admissions: Vec::new(),
            held: Vec::new(),
        };
        for step in 0.. {
            play.now = STEP * u32::try_from(step).unwrap();
            if play.now.as_secs_f64() >= script.end_s {
                break;
            }
            play.step(step);
        }
        play
    }

    fn memory(&self) -> f64 {
        let usual = RATES.iter().sum::<f64>() * TOKENS * HELD_S;
        usual / USUAL_FILL * (self.script.memory)(self.now.as_secs_f64())
    }

    fn held_by(&self, is_counted: impl Fn(usize) -> bool) -> f64 {
        let requests = self.streams.iter().map(|stream| &self.requests[stream.1]);
        let counted = requests.filter(|request| is_counted(request.kind));
        counted.map(|request| request.tokens).sum::<f64>() / self.memory()
    }

    fn step(&mut self, step: usize) {
        let (now, seconds) = (self.now, self.now.as_secs_f64());
        for stream in (0..self.streams.len()).rev() {
            if self.streams[stream].2 <= now {
                self.end(stream);
            }
        }
        (0..3).for_each(|zone| self.exchange(zone, step));
        let due = (0..self.hosts.len()).filter(|host| (step + host).is_multiple_of(4));
        due.for_each(|host| self.recheck(host));
        let (due, later): (Vec<_>, Vec<_>) = self.comebacks.iter().partition(|back| back.0 <= now);
        self.comebacks = later;
        for (_, request) in due {
            self.arrive(request);
        }
        let factors = (self.script.rates)(seconds);
        let mut arrivals = Vec::new();
        for (kind, expected) in (0..3).map(|kind| (kind, RATES[kind] * factors[kind] * 0.01)) {
            let count = (0..20).filter(|_| self.rng.f64() < expected / 20.0).count();
            arrivals.extend(core::iter::repeat_n(kind, count));
        }
        self.rng.shuffle(&mut arrivals);
        for kind in arrivals {
            self.requests.push(Request {
                kind,
                // The first of five organisations has 0.6 of the requests.
                organisation: self.rng.usize(..10).saturating_sub(5),
                born: now,
                arrived: now,
                tokens: TOKENS * (0.6 + 0.8 * self.rng.f64()),
                ..Request::default()
            });
            self.arrive(self.requests.len() - 1);
        }
        while self.held_by(|_| true) > 1.0 {
            let request = self.end(self.streams.len() - 1);
            self.requests[request].is_preempted = true;
        }
        self.held
            .push([0, 1, 2].map(|kind| self.held_by(|other| other == kind)));
    }

    /// Runs the round of a zone when it is due.
    fn exchange(&mut self, zone: usize, step: usize) {
        if !(step + zone * 8).is_multiple_of(ROUND_STEPS) {
            return;
        }
        let (now, seconds, script) = (self.now, self.now.as_secs_f64(), self.script);
        let mut total = (now, Demand::default(), 0.0);
        for other in (0..3).filter(|other| (script.links)(seconds, zone, *other)) {
            total.1.add(&self.sums[other][1].0);
            total.2 += self.sums[other][1].1;
        }
        let mut sum = (Demand::default(), 0.0);
        for index in (zone..self.hosts.len()).step_by(3) {
            let host = &mut self.hosts[index];
            if (script.is_up)(seconds, index) {
                sum.0.add(&host.meter.demand(now));
                sum.1 += host.tokens;
                host.reported = host.tokens;
                if (script.links)(seconds, zone, zone) {
                    host.total = Some(total.clone());
                }
            }
        }
        self.sums[zone].rotate_left(1);
        self.sums[zone][1] = sum;
    }

    fn arrive(&mut self, request: usize) {
        let (now, is_up) = (self.now, self.script.is_up);
        let up = (0..self.hosts.len()).filter(|host| is_up(now.as_secs_f64(), *host));
        let up: Vec<usize> = up.collect();
        let index = self.rng.choice(up).unwrap();
        let known = &mut self.requests[request];
        (known.host, known.arrived, known.attempts) = (index, now, known.attempts + 1);
        let subject = subject(known.kind);
        let host = &mut self.hosts[index];
        host.meter.offer(subject, known.tokens, now);
        let is_behind = host.is_behind(known.kind, self.script, now);
        if is_behind || !self.attempt(index, request) {
            let (known, script) = (&self.requests[request], self.script);
            self.hosts[index].join(request, known, script, now);
        }
    }

    fn recheck(&mut self, host: usize) {
        let tickets: Vec<_> = self.hosts[host].line.iter().map(|entry| entry.0).collect();
        for ticket in tickets {
            let request = self.hosts[host].waiting[&ticket];
            if self.attempt(host, request) {
                let (known, host) = (&self.requests[request], &mut self.hosts[host]);
                host.waiting.remove(&ticket);
                host.meter.end_wait(subject(known.kind), known.tokens);
                match known.admitted {
                    Some(_) => host.line.serve(ticket),
                    None => host.line.leave(ticket),
                };
            }
        }
    }

    /// Lets a request in or refuses it; returns false if it waits.
    fn attempt(&mut self, index: usize, request: usize) -> bool {
        let (known, script, now) = (&self.requests[request], self.script, self.now);
        let jitter = self.rng.f64();
        let (memory, left) = (self.memory(), known.left(now));
        match self.hosts[index].decide(known, script, memory, now) {
            Verdict::Admit => self.begin(index, request),
            Verdict::Wait => return false,
            Verdict::RefuseBlind => {
                // The gateway's wait of 1.2 s.
                let promised = Duration::from_secs_f64(0.9 + 0.6 * jitter);
                self.refuse(request, promised.min(left / 3));
            }
            Verdict::Refuse(expected, spacing) => {
                let jitter = 1.0 + 0.25 * jitter;
                let expected = expected.map(|time| time.mul_f64(jitter));
                let (urgency, spacing) = (subject(known.kind).urgency, spacing.mul_f64(jitter));
                let returns = &mut self.hosts[index].returns;
                let promised = returns.promise(urgency, expected, spacing, left / 3, now);
                self.refuse(request, promised);
            }
        }
        true
    }

    fn refuse(&mut self, request: usize, promised: Duration) {
        let (known, at) = (&self.requests[request], self.now);
        let left = known.left(at);
        let factors = (self.script.rates)(at.as_secs_f64());
        let rates = (0..known.kind).map(|kind| RATES[kind] * factors[kind] * TOKENS);
        let urgent = rates.sum::<f64>() / self.memory();
        self.refusals.push(Refusal {
            kind: known.kind,
            at,
            waited: at.saturating_sub(known.arrived),
            promised,
            left,
            used: self.held_by(|_| true),
            urgent,
        });
        if !left.is_zero() {
            self.comebacks.push((at + promised, request));
        }
    }

    fn begin(&mut self, host: usize, request: usize) {
        let kind = self.requests[request].kind;
        let held = self.held_by(|other| other == kind);
        self.admissions.push((self.now, kind, held));
        let known = &mut self.requests[request];
        known.admitted = Some(self.now);
        let held_s = HELD_S * (0.33 + 1.34 * self.rng.f64());
        self.streams
            .push((host, request, self.now + Duration::from_secs_f64(held_s)));
        let host = &mut self.hosts[host];
        host.meter.begin_run(subject(kind), known.tokens, self.now);
        host.tokens += known.tokens;
    }

    fn end(&mut self, stream: usize) -> usize {
        let (host, request, _) = self.streams.remove(stream);
        let (known, host) = (&self.requests[request], &mut self.hosts[host]);
        host.meter
            .end_run(subject(known.kind), known.tokens, self.now);
        host.tokens -= known.tokens;
        request
    }
}
