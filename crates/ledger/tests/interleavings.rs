//! Exhaustive model check of the claim logic over interleavings of two entry hosts, faults and pauses.
//!
//! The model has one key, the claims of two hosts (a host may claim again after its first claim has ended), and a
//! service that can refuse a write, apply it and lose the response, apply it after the response or not at all, and fail
//! reads. Time can advance past the first deadlines at any step. A host that is not scheduled again has crashed or
//! is paused.

use core::time::Duration;
use std::collections::HashSet;
use std::hash::BuildHasher;
use std::hash::RandomState;

use agatemill_core::Digest;
use agatemill_core::Outcome;
use agatemill_core::Refusal;
use agatemill_core::number::Revision;
use agatemill_ledger::Answer;
use agatemill_ledger::Attempt;
use agatemill_ledger::Event;
use agatemill_ledger::Permission;
use agatemill_ledger::Record;
use agatemill_ledger::Settlement;
use agatemill_ledger::attempt::Action;
use agatemill_ledger::record::Found;
use agatemill_ledger::record::Owner;
use agatemill_ledger::record::State;
use agatemill_ledger::settlement::Progress;

const DEADLINE: Duration = Duration::from_secs(5);
const LATER: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, Hash)]
struct World {
    now: Duration,
    revision: Revision,
    key: Option<Found>,
    /// Pending writes whose response was lost and that may still be applied.
    floating: Vec<Write>,
    faults: usize,
    hosts: Vec<Host>,
    claims: Vec<Outcomes>,
    background: Vec<Settlement>,
}

#[derive(Clone, Debug, Hash)]
struct Host {
    /// Request digests of its successive claims.
    bodies: Vec<Digest>,
    started: usize,
    work: Work,
}

#[derive(Clone, Debug, Hash)]
enum Work {
    Idle,
    Writing(Attempt, Revision),
    Reading(Attempt),
    Won(Attempt, Revision),
    Sent(Attempt, Revision),
}

#[derive(Clone, Debug, Hash)]
struct Write {
    record: Record,
    expected: Revision,
}

/// Observed result of a claim.
#[derive(Clone, Debug, Hash)]
struct Outcomes {
    owner: Owner,
    body: Digest,
    won: bool,
    sent: usize,
    /// Whether the backend server reported that it did not run the call.
    rejected: bool,
    /// Outcome that was reported to the caller.
    reported: Option<Outcome>,
}

impl World {
    fn new(bodies: [Vec<Digest>; 2], faults: usize) -> Self {
        let host = |bodies| Host {
            bodies,
            started: 0,
            work: Work::Idle,
        };
        Self {
            now: Duration::ZERO,
            revision: Revision(0),
            key: None,
            floating: Vec::new(),
            faults,
            hosts: bodies.map(host).into(),
            claims: Vec::new(),
            background: Vec::new(),
        }
    }

    /// All possible next states.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now < LATER {
            next.push(Self {
                now: LATER,
                ..self.clone()
            });
        }
        for index in 0..self.floating.len() {
            let mut world = self.clone();
            let write = world.floating.remove(index);
            let _ = world.apply(&write);
            next.push(world);
        }
        for index in 0..self.background.len() {
            self.settle(index, &mut next);
        }
        for index in 0..self.hosts.len() {
            self.step(index, &mut next);
        }
        next
    }

    fn step(&self, index: usize, next: &mut Vec<Self>) {
        let host = &self.hosts[index];
        match host.work.clone() {
            Work::Idle if host.started < host.bodies.len() => next.push(self.start(index)),
            Work::Idle => {}
            Work::Writing(attempt, expected) => {
                let record = attempt.record().clone();
                let mut results = Vec::new();
                self.write(&Write { record, expected }, &mut results);
                Self::claim(index, &attempt, results, next);
            }
            Work::Reading(attempt) => {
                let mut results = vec![(self.clone(), Event::Read(self.key.clone()))];
                results.extend(self.fault().map(|world| (world, Event::ReadFailed)));
                Self::claim(index, &attempt, results, next);
            }
            Work::Won(attempt, revision) => {
                let mut world = self.clone();
                let mut permission = Permission::Open;
                if let Err(refusal) = permission.check(attempt.deadline(), self.now) {
                    world.report_refusal(&attempt, &refusal);
                    world.finish(index, &attempt, revision, State::NotRun);
                    next.push(world);
                    return;
                }
                assert!(self.now < attempt.deadline(), "sent late: {self:#?}");
                world.claim_of(&attempt).sent += 1;
                world.hosts[index].work = Work::Sent(attempt, revision);
                next.push(world);
            }
            Work::Sent(attempt, revision) => {
                let mut done = self.clone();
                done.finish(index, &attempt, revision, State::Done(Some(answer())));
                next.push(done);
                let mut rejected = self.clone();
                rejected.claim_of(&attempt).rejected = true;
                rejected.finish(index, &attempt, revision, State::NotRun);
                next.push(rejected);
                let mut lost = self.clone();
                lost.hosts[index].work = Work::Idle;
                next.push(lost);
            }
        }
    }

    fn start(&self, index: usize) -> Self {
        let mut world = self.clone();
        let host = &mut world.hosts[index];
        let body = host.bodies[host.started];
        let owner = Owner {
            host: format!("host-{index}").parse().unwrap(),
            claim: format!("{}", host.started).into(),
        };
        host.started += 1;
        let record = Record {
            owner: owner.clone(),
            body,
            time_left_ms: 0,
            state: State::Begun,
        };
        let mut attempt = Attempt::new(record, self.now + DEADLINE);
        let action = attempt.start(self.now);
        world.claims.push(Outcomes {
            owner,
            body,
            won: false,
            sent: 0,
            rejected: false,
            reported: None,
        });
        world.act(index, attempt, action);
        world
    }

    fn claim(index: usize, attempt: &Attempt, results: Vec<(Self, Event)>, next: &mut Vec<Self>) {
        for (mut world, event) in results {
            let mut attempt = attempt.clone();
            let action = attempt.next(event, world.now);
            world.act(index, attempt, action);
            next.push(world);
        }
    }

    fn act(&mut self, index: usize, attempt: Attempt, action: Action) {
        match action {
            Action::Write(expected) => {
                self.hosts[index].work = Work::Writing(attempt, expected);
            }
            Action::Read => self.hosts[index].work = Work::Reading(attempt),
            Action::Win(revision) => {
                self.claim_of(&attempt).won = true;
                self.hosts[index].work = Work::Won(attempt, revision);
            }
            Action::Repeat(_) => {
                self.claim_of(&attempt).reported = Some(Outcome::Complete);
                self.hosts[index].work = Work::Idle;
            }
            Action::Refuse(refusal) => {
                self.report_refusal(&attempt, &refusal);
                self.hosts[index].work = Work::Idle;
            }
            Action::Cancel(refusal, settle) => {
                self.report_refusal(&attempt, &refusal);
                self.background.push(settle);
                self.hosts[index].work = Work::Idle;
            }
        }
    }

    /// All possible results of a write.
    fn write(&self, write: &Write, results: &mut Vec<(Self, Event)>) {
        let mut world = self.clone();
        let event = world.apply(write);
        results.push((world, event));
        let Some(fault) = self.fault() else {
            return;
        };
        results.push((fault.clone(), Event::Refused));
        results.push((fault.clone(), Event::LeaseExpired));
        let mut applied = fault.clone();
        let _ = applied.apply(write);
        results.push((applied, Event::Uncertain));
        // The write is applied later, or never if no successor applies it.
        let mut floating = fault;
        floating.floating.push(write.clone());
        results.push((floating, Event::Uncertain));
    }

    fn settle(&self, index: usize, next: &mut Vec<Self>) {
        let mut settle = self.background[index].clone();
        let record = settle.record().clone();
        let expected = settle.expected();
        let mut results = Vec::new();
        self.write(&Write { record, expected }, &mut results);
        for (mut world, event) in results {
            let progress = settle.next(event);
            if progress == Progress::Finished {
                world.background.remove(index);
            } else {
                world.background[index] = settle.clone();
            }
            settle = self.background[index].clone();
            next.push(world);
        }
    }

    fn apply(&mut self, write: &Write) -> Event {
        let current = self.key.as_ref().map_or(Revision(0), |key| key.revision);
        if current != write.expected {
            return Event::Conflict(self.key.clone());
        }
        self.revision = self.revision.next();
        self.key = Some(Found {
            record: write.record.clone(),
            revision: self.revision,
        });
        Event::Written(self.revision)
    }

    /// This state with one fault fewer remaining, or `None` if none remain.
    fn fault(&self) -> Option<Self> {
        let faults = self.faults.checked_sub(1)?;
        Some(Self {
            faults,
            ..self.clone()
        })
    }

    fn finish(&mut self, index: usize, attempt: &Attempt, revision: Revision, state: State) {
        let record = attempt.record().with(state);
        self.background.push(Settlement::new(record, revision));
        self.hosts[index].work = Work::Idle;
    }

    fn report_refusal(&mut self, attempt: &Attempt, refusal: &Refusal) {
        self.claim_of(attempt).reported = Some(refusal.outcome);
    }

    fn claim_of(&mut self, attempt: &Attempt) -> &mut Outcomes {
        let owner = &attempt.record().owner;
        let mut claims = self.claims.iter_mut();
        claims.find(|claim| claim.owner == *owner).unwrap()
    }

    fn check(&self) {
        let runs = self.claims.iter().filter(|claim| !claim.rejected);
        let runs: usize = runs.map(|claim| claim.sent).sum();
        assert!(runs <= 1, "a call ran {runs} times: {self:#?}");
        for claim in &self.claims {
            let is_reported_not_run = claim.reported == Some(Outcome::NotRun);
            assert!(
                !(is_reported_not_run && claim.sent > 0),
                "a call that was sent was reported as not run: {self:#?}"
            );
            let other = |other: &&Outcomes| other.won && other.body != claim.body;
            assert!(
                !(claim.won && self.claims.iter().any(|claim| other(&claim))),
                "two bodies won the same key: {self:#?}"
            );
            let begun =
                |key: &Found| key.record.owner == claim.owner && key.record.state == State::Begun;
            assert!(
                !(is_reported_not_run
                    && self.background.is_empty()
                    && self.key.as_ref().is_some_and(begun)),
                "a record stays begun after its call was reported as not run: {self:#?}"
            );
        }
    }
}

fn answer() -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: Vec::new(),
    }
}

/// Visits every reachable state once and returns the number of states.
fn explore(first: World) -> usize {
    let hasher = RandomState::new();
    let mut seen = HashSet::new();
    let mut open = vec![first];
    while let Some(world) = open.pop() {
        if !seen.insert(hasher.hash_one(&world)) {
            continue;
        }
        world.check();
        open.extend(world.successors());
    }
    seen.len()
}

/// Guards against double and late sends, records that stay `begun` without a reason, and false "not run" reports when
/// the same call is submitted at two hosts and again after a refusal.
#[test]
fn a_repeated_call_runs_at_most_once() {
    let body = Digest::of(b"a");
    let states = explore(World::new([vec![body; 2], vec![body]], 2));
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were reached");
}

/// Guards against the same failures when more faults are combined.
#[test]
fn a_call_runs_at_most_once_under_more_faults() {
    let body = Digest::of(b"a");
    let states = explore(World::new([vec![body], vec![body]], 3));
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were reached");
}

/// Guards against one idempotency key that is won with two different request bodies.
#[test]
fn another_body_is_never_sent() {
    let first = Digest::of(b"a");
    let other = Digest::of(b"b");
    let states = explore(World::new([vec![first, other], vec![other]], 2));
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were reached");
}
