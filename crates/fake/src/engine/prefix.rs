//! Prefix cache of a fake engine.

use core::time::Duration;
use std::collections::VecDeque;

use agatemill_core::Digest;
use agatemill_core::layer;
use agatemill_engine::Event;

/// Positions in a block, the unit of the cache.
const BLOCK_POSITIONS: u32 = 16;

/// Cache of prompt prefixes in blocks, with LRU eviction.
///
/// It stores only digests: the engine recomputes the values, which is cheap, and charges no time for cached positions.
#[derive(Debug)]
pub struct Prefixes {
    /// Invariant: at most `capacity` blocks, the most recently used one at the back.
    blocks: VecDeque<Digest>,
    capacity: usize,
    /// Events, oldest first.
    events: Vec<Announcement>,
}

#[derive(Debug)]
struct Announcement {
    at: Duration,
    event: Event,
}

impl Prefixes {
    /// Creates an empty cache with room for `positions` prompt positions.
    #[must_use]
    pub fn new(positions: u32) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity: (positions / BLOCK_POSITIONS) as usize,
            events: Vec::new(),
        }
    }

    /// Returns the number of leading positions of the input that are cached, and caches all other complete blocks.
    pub fn access(&mut self, layers: layer::Range, inputs: &[u64], now: Duration) -> u32 {
        let mut cached = 0;
        let mut is_prefix = true;
        let mut bytes = layers.to_string().into_bytes();
        for block in inputs.chunks_exact(BLOCK_POSITIONS as usize) {
            bytes.extend(block.iter().flat_map(|input| input.to_le_bytes()));
            let digest = Digest::of(&bytes);
            bytes = digest.as_bytes().to_vec();
            is_prefix = self.touch(digest, now) && is_prefix;
            cached += if is_prefix { BLOCK_POSITIONS } else { 0 };
        }
        cached
    }

    /// Marks a block as most recently used and adds it if it is new; returns whether it was cached.
    fn touch(&mut self, block: Digest, now: Duration) -> bool {
        let found = self.blocks.iter().position(|other| *other == block);
        if let Some(index) = found {
            self.blocks.remove(index);
        } else if self.capacity > 0 {
            self.announce(block, true, now);
        } else {
            return false;
        }
        self.blocks.push_back(block);
        while self.blocks.len() > self.capacity {
            if let Some(evicted) = self.blocks.pop_front() {
                self.announce(evicted, false, now);
            }
        }
        found.is_some()
    }

    fn announce(&mut self, prefix: Digest, stored: bool, now: Duration) {
        let number = self.events.len() as u64 + 1;
        let event = Event {
            number,
            prefix,
            stored,
        };
        self.events.push(Announcement { at: now, event });
    }

    /// Events up to the time `until` with a number above `after`, omitting every `gap`-th event; 0 omits none.
    #[must_use]
    pub fn events(&self, after: u64, until: Duration, gap: u64) -> Vec<Event> {
        let is_delivered = |event: &&Event| gap == 0 || !event.number.is_multiple_of(gap);
        let ready = self
            .events
            .iter()
            .filter(|announcement| announcement.at <= until);
        let events = ready.map(|announcement| &announcement.event);
        let newer = events.filter(|event| event.number > after);
        newer.filter(is_delivered).cloned().collect()
    }
}
