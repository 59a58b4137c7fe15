//! The bounded cache of prompt prefixes, and the events that it publishes late
//! and with gaps.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use sloetrail_types::digest;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const ENTRIES_LIMIT: usize = 256;
const EVENTS_KEPT: usize = 1_024;
const PREFIX_CHARACTERS: usize = 32;
const EVENT_LAG: Duration = Duration::from_millis(500);
const LOST_EVENT_PERCENT: u32 = 5;

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It was added.
    Added,
    /// It was evicted.
    Evicted,
}

/// One event. The numbers of lost ones are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; each event has the next one.
    pub sequence: u64,
    /// The digest of the prefix.
    pub prefix: u64,
    /// What happened.
    pub change: CacheChange,
}

/// The cache of one engine; the least recently used prefix goes first.
pub struct PrefixCache {
    prefixes: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
    random: StdRng,
}

impl PrefixCache {
    /// An empty cache; the seed chooses which events are lost.
    pub fn new(seed: u64) -> Self {
        Self {
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            next_sequence: 1,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Uses a prompt's prefix; true if it was cached.
    pub fn use_prefix(&mut self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARACTERS).collect();
        let prefix = digest(prefix.as_bytes());
        if let Some(place) = self.prefixes.iter().position(|known| *known == prefix) {
            self.prefixes.remove(place);
            self.prefixes.push_back(prefix);
            return true;
        }
        self.prefixes.push_back(prefix);
        self.publish(prefix, CacheChange::Added);
        if self.prefixes.len() > ENTRIES_LIMIT
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.publish(evicted, CacheChange::Evicted);
        }
        false
    }

    /// Forgets everything, as after a change of weights.
    pub fn clear(&mut self) {
        while let Some(evicted) = self.prefixes.pop_front() {
            self.publish(evicted, CacheChange::Evicted);
        }
    }

    /// The events after a number that are old enough to be published.
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let published = self.events.iter();
        published
            .filter(|(at, event)| at.elapsed() >= EVENT_LAG && event.sequence > sequence)
            .map(|(_, event)| *event)
            .collect()
    }

    fn publish(&mut self, prefix: u64, change: CacheChange) {
        let event = CacheEvent {
            sequence: self.next_sequence,
            prefix,
            change,
        };
        self.next_sequence += 1;
        if self.random.random_range(0..100) < LOST_EVENT_PERCENT {
            return;
        }
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
