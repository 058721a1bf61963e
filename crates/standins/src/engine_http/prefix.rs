//! A prefix cache of limited size, whose events become readable after a delay and may be lost, which leaves
//! gaps in their numbers.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use mustardgate_protocol::engine::{CacheEvent, CacheEventPage};
use rand::Rng;

/// Largest number of events kept for readers.
const MAX_KEPT_EVENTS: usize = 4_096;

/// Behaviour of the prefix cache.
#[derive(Clone, Copy, Debug)]
pub struct PrefixOptions {
    /// Largest number of blocks in the cache.
    pub capacity_blocks: usize,
    /// Time after which an event can be read.
    pub event_lag: Duration,
    /// Probability that an event is lost.
    pub lost_event_ratio: f64,
}

/// Blocks of prompts in memory, the least recently used evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    options: PrefixOptions,
    blocks: BTreeMap<u64, u64>,
    clock: u64,
    sequence: u64,
    events: VecDeque<TimedEvent>,
}

#[derive(Clone, Copy, Debug)]
struct TimedEvent {
    readable_at: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(options: PrefixOptions) -> Self {
        Self {
            options,
            blocks: BTreeMap::new(),
            clock: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Stores the blocks of a prompt and returns how many leading ones were there already.
    pub fn store(&mut self, now: Instant, blocks: &[u64], rng: &mut impl Rng) -> usize {
        let hits = blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        for block in blocks {
            self.clock += 1;
            if self.blocks.insert(*block, self.clock).is_none() {
                self.push_event(now, *block, true, rng);
            }
        }
        while self.blocks.len() > self.options.capacity_blocks {
            self.evict_oldest(now, rng);
        }
        hits
    }

    /// Returns the readable events with a sequence number above `after`.
    pub fn events_after(&self, now: Instant, after: u64) -> CacheEventPage {
        let readable = self.events.iter().take_while(|timed| timed.readable_at <= now);
        let events: Vec<CacheEvent> = readable
            .map(|timed| timed.event)
            .filter(|event| event.sequence > after)
            .collect();
        let last = events.last().map_or(after, |event| event.sequence);
        CacheEventPage { events, last }
    }

    fn evict_oldest(&mut self, now: Instant, rng: &mut impl Rng) {
        let oldest = self
            .blocks
            .iter()
            .min_by_key(|(_, used)| **used)
            .map(|(block, _)| *block);
        if let Some(block) = oldest {
            self.blocks.remove(&block);
            self.push_event(now, block, false, rng);
        }
    }

    fn push_event(&mut self, now: Instant, block: u64, is_stored: bool, rng: &mut impl Rng) {
        self.sequence += 1;
        if rng.random_bool(self.options.lost_event_ratio) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            block,
            is_stored,
        };
        let readable_at = now + self.options.event_lag;
        self.events.push_back(TimedEvent { readable_at, event });
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
