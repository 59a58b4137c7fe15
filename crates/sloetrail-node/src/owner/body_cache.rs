//! Bodies of recently finished samples, so that most pulls need no object reads.

use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

const CACHE_LIMIT_BYTES: usize = 32 * 1024 * 1024;

#[derive(Default)]
struct Entries {
    bodies: BTreeMap<String, Bytes>,
    order: VecDeque<String>,
    bytes: usize,
}

/// A cache bounded in bytes; the oldest entry goes first.
#[derive(Default)]
pub(crate) struct BodyCache {
    entries: Mutex<Entries>,
}

impl BodyCache {
    pub(crate) fn insert(&self, key: String, body: Bytes) {
        let mut entries = self.entries.lock().expect("not poisoned");
        entries.bytes += body.len();
        if let Some(replaced) = entries.bodies.insert(key.clone(), body) {
            entries.bytes -= replaced.len();
        } else {
            entries.order.push_back(key);
        }
        while entries.bytes > CACHE_LIMIT_BYTES
            && let Some(oldest) = entries.order.pop_front()
        {
            let removed = entries.bodies.remove(&oldest);
            entries.bytes -= removed.map_or(0, |body| body.len());
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<Bytes> {
        let entries = self.entries.lock().expect("not poisoned");
        entries.bodies.get(key).cloned()
    }
}
