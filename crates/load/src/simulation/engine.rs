//! Simulated model engine.

use core::time::Duration;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Maximum number of steps in a batch, as in the configuration document.
const MAX_BATCH_STEPS: usize = 16;

/// Number of positions in a block of the prefix cache, as in the fake engine.
const CACHE_BLOCK_POSITIONS: u32 = 16;

/// Health of an engine, which determines how it handles steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Runs steps at its throughput.
    Healthy,
    /// Runs steps slower by this factor.
    Slow(f64),
    /// Answers each step with an internal error.
    Failing,
    /// Refuses connections and has lost its sessions.
    Dead,
    /// Accepts steps and never answers.
    Frozen,
}

/// A step at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of the request.
    pub request: usize,
    /// Number of the step.
    pub step: u64,
    /// Number of positions to run.
    pub positions: u32,
    /// Index and length in positions of the prompt prefix, for a step over a prompt.
    pub prefix: Option<(u32, u32)>,
}

/// A simulated engine. Like the fake engine, it runs one batch at a time, and the time of a batch is the sum of
/// the times of its steps.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Throughput in token positions per second.
    pub throughput: f64,
    /// Health of the engine.
    pub health: Health,
    /// Queued steps in the order of arrival.
    queue: VecDeque<Job>,
    /// Steps of the running batch.
    running: Vec<Job>,
    /// Open sessions by request and attempt.
    sessions: BTreeSet<(usize, u32)>,
    /// Sampled session counts with their times, oldest first.
    samples: VecDeque<(Duration, u32)>,
    /// Cached prefixes with their lengths, least recently used first.
    prefixes: VecDeque<(u32, u32)>,
    /// Capacity of the prefix cache in positions.
    cache_capacity: u32,
    /// Number of positions started, including those of failed steps.
    pub processed_positions: u64,
    /// Number of prompt positions taken from the prefix cache.
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

    /// Queues a step of an attempt and opens its session.
    pub fn enqueue(&mut self, job: Job, attempt: u32) {
        self.sessions.insert((job.request, attempt));
        self.queue.push_back(job);
    }

    /// Closes a session and removes the queued steps of its request.
    pub fn cancel(&mut self, request: usize, attempt: u32) {
        self.sessions.remove(&(request, attempt));
        // Steps of a newer attempt follow this message on the same link, so none of them is queued yet.
        self.queue.retain(|job| job.request != request);
    }

    /// Starts the next batch if the engine is idle and steps are queued; returns its run time.
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

    /// Ends the running batch and returns its steps.
    pub fn finish_batch(&mut self) -> Vec<Job> {
        core::mem::take(&mut self.running)
    }

    /// Marks the engine as dead and drops all sessions and cached prefixes; returns the lost steps.
    pub fn crash(&mut self) -> Vec<Job> {
        self.health = Health::Dead;
        self.sessions.clear();
        self.prefixes.clear();
        let mut lost = self.finish_batch();
        lost.extend(self.queue.drain(..));
        lost
    }

    /// Samples the number of sessions for delayed reports.
    pub fn sample_sessions(&mut self, now: Duration) {
        let count = u32::try_from(self.sessions.len()).unwrap_or(u32::MAX);
        self.samples.push_back((now, count));
    }

    /// Returns the number of sessions `lag` ago, preceded by the time of its sample.
    pub fn reported_sessions(&mut self, now: Duration, lag: Duration) -> (Duration, u32) {
        let horizon = now.saturating_sub(lag);
        while self.samples.get(1).is_some_and(|next| next.0 <= horizon) {
            self.samples.pop_front();
        }
        self.samples.front().copied().unwrap_or_default()
    }

    /// Marks a prefix as most recently used and evicts others beyond the capacity. Returns the number of its
    /// positions that were cached, in whole blocks.
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
