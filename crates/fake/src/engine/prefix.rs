//! Prefix cache of a stand-in engine.

use core::time::Duration;
use std::collections::VecDeque;

use agatemill_core::Digest;
use agatemill_core::layer;
use agatemill_engine::Event;

/// Positions of a block, the unit in which prefixes are kept.
const BLOCK: usize = 16;

/// Prompt prefixes in blocks; the one that was used longest ago is evicted first.
///
/// It holds digests only: the values are cheap to compute again, and the engine just takes no time for them.
#[derive(Debug)]
pub struct Prefixes {
    /// Invariant: at most `capacity` blocks, the last used one at the back.
    blocks: VecDeque<Digest>,
    capacity: usize,
    /// Changes, oldest first.
    events: Vec<Published>,
}

#[derive(Debug)]
struct Published {
    at: Duration,
    event: Event,
}

impl Prefixes {
    /// Creates an empty cache for this many positions.
    #[must_use]
    pub fn new(positions: u32) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity: positions as usize / BLOCK,
            events: Vec::new(),
        }
    }

    /// Number of leading positions of the input that are cached; stores the other whole blocks.
    pub fn visit(&mut self, layers: layer::Range, inputs: &[u64], now: Duration) -> u32 {
        let mut cached = 0;
        let mut known = true;
        let mut bytes = layers.to_string().into_bytes();
        for block in inputs.chunks_exact(BLOCK) {
            bytes.extend(block.iter().flat_map(|input| input.to_le_bytes()));
            let digest = Digest::of(&bytes);
            bytes = digest.as_bytes().to_vec();
            known = self.touch(digest, now) && known;
            cached += if known { 16 } else { 0 };
        }
        cached
    }

    /// Marks a block as used and stores it when it is new; whether it was there.
    fn touch(&mut self, block: Digest, now: Duration) -> bool {
        let found = self.blocks.iter().position(|other| *other == block);
        if let Some(index) = found {
            self.blocks.remove(index);
        } else if self.capacity > 0 {
            self.publish(block, true, now);
        } else {
            return false;
        }
        self.blocks.push_back(block);
        while self.blocks.len() > self.capacity {
            if let Some(evicted) = self.blocks.pop_front() {
                self.publish(evicted, false, now);
            }
        }
        found.is_some()
    }

    fn publish(&mut self, prefix: Digest, stored: bool, now: Duration) {
        let number = self.events.len() as u64 + 1;
        let event = Event {
            number,
            prefix,
            stored,
        };
        self.events.push(Published { at: now, event });
    }

    /// Events up to the time `until` with a number above `after`, without every `gap`-th one.
    #[must_use]
    pub fn events(&self, after: u64, until: Duration, gap: u64) -> Vec<Event> {
        let kept = |event: &&Event| gap == 0 || !event.number.is_multiple_of(gap);
        let ready = self.events.iter().filter(|published| published.at <= until);
        let events = ready.map(|published| &published.event);
        let newer = events.filter(|event| event.number > after);
        newer.filter(kept).cloned().collect()
    }
}
