//! A model engine in virtual time.

use core::time::Duration;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Steps that a batch holds at most, as in the document.
const MAX_BATCH_STEPS: usize = 16;

/// Positions of a block of the prefix cache, as in the stand-in.
const CACHE_BLOCK_POSITIONS: u32 = 16;

/// What an engine does with steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It runs them.
    Healthy,
    /// It runs them this many times slower.
    Slow(f64),
    /// It answers each with an internal error.
    Failing,
    /// It refuses connections and has lost its sessions.
    Dead,
    /// It takes steps and never answers.
    Frozen,
}

/// A step at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of the request.
    pub request: usize,
    /// Number of the step.
    pub step: u64,
    /// Positions to run.
    pub positions: u32,
    /// Prefix of the prompt and its positions, for a step over a prompt.
    pub prefix: Option<(u32, u32)>,
}

/// A model engine. It runs one batch at a time, whose time is the sum of its steps' times, as the stand-in
/// engine does.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Positions in each second.
    pub throughput: f64,
    /// What it does with steps.
    pub health: Health,
    /// Steps that wait, in the order of arrival.
    queue: VecDeque<Job>,
    /// The batch that runs.
    running: Vec<Job>,
    /// Open sessions: request and attempt.
    sessions: BTreeSet<(usize, u32)>,
    /// Numbers of sessions at earlier times, oldest first.
    samples: VecDeque<(Duration, u32)>,
    /// Cached prefixes, the last used one at the back.
    prefixes: VecDeque<(u32, u32)>,
    /// Positions that the prefix cache holds.
    cache_capacity: u32,
    /// Positions that it has taken for running, those of failed steps included.
    pub processed_positions: u64,
    /// Prompt positions that were cached.
    pub cached_positions: u64,
}

impl Engine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(throughput: f64, cache_capacity: u32) -> Self {
        Self {
            throughput,
            health: Health::Healthy,
            queue: VecDeque::new(),
            running: Vec::new(),
            sessions: BTreeSet::new(),
            samples: VecDeque::new(),
            prefixes: VecDeque::new(),
            cache_capacity,
            processed_positions: 0,
            cached_positions: 0,
        }
    }

    /// Takes a step of an attempt.
    pub fn enqueue(&mut self, job: Job, attempt: u32) {
        self.sessions.insert((job.request, attempt));
        self.queue.push_back(job);
    }

    /// Ends a session.
    pub fn cancel(&mut self, request: usize, attempt: u32) {
        self.sessions.remove(&(request, attempt));
        // A new attempt may have a step here already only after this message, on the same link.
        self.queue.retain(|job| job.request != request);
    }

    /// Starts the next batch when the engine is idle; returns the time that it takes.
    pub fn start_batch(&mut self) -> Option<Duration> {
        if !self.running.is_empty() || self.queue.is_empty() {
            return None;
        }
        let count = self.queue.len().min(MAX_BATCH_STEPS);
        self.running = self.queue.drain(..count).collect();
        let mut positions = 0;
        for job in self.running.clone() {
            let cached = job
                .prefix
                .map_or(0, |(prefix, length)| self.use_prefix(prefix, length));
            let run = job.positions - cached.min(job.positions);
            positions += run;
            self.cached_positions += u64::from(cached);
        }
        self.processed_positions += u64::from(positions);
        let slowdown = match self.health {
            Health::Slow(factor) => factor,
            _ => 1.0,
        };
        Some(Duration::from_secs_f64(
            f64::from(positions) / self.throughput * slowdown,
        ))
    }

    /// Ends the batch and returns its steps.
    pub fn finish_batch(&mut self) -> Vec<Job> {
        core::mem::take(&mut self.running)
    }

    /// Loses everything in progress; returns the steps.
    pub fn crash(&mut self) -> Vec<Job> {
        self.health = Health::Dead;
        self.sessions.clear();
        self.prefixes.clear();
        let mut lost = self.finish_batch();
        lost.extend(self.queue.drain(..));
        lost
    }

    /// Keeps the number of sessions for late reports.
    pub fn sample_sessions(&mut self, now: Duration) {
        let count = u32::try_from(self.sessions.len()).unwrap_or(u32::MAX);
        self.samples.push_back((now, count));
    }

    /// The number of sessions `lag` ago, and when it was counted.
    pub fn reported_sessions(&mut self, now: Duration, lag: Duration) -> (Duration, u32) {
        let horizon = now.saturating_sub(lag);
        while self.samples.get(1).is_some_and(|next| next.0 <= horizon) {
            self.samples.pop_front();
        }
        self.samples.front().copied().unwrap_or_default()
    }

    /// Marks a prefix as used; returns its positions that were cached, in whole blocks.
    fn use_prefix(&mut self, prefix: u32, length: u32) -> u32 {
        let length = length / CACHE_BLOCK_POSITIONS * CACHE_BLOCK_POSITIONS;
        let found = self.prefixes.iter().position(|(other, _)| *other == prefix);
        if let Some(index) = found {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back((prefix, length));
        while self.prefixes.iter().map(|(_, length)| length).sum::<u32>() > self.cache_capacity {
            self.prefixes.pop_front();
        }
        if found.is_some() { length } else { 0 }
    }
}
