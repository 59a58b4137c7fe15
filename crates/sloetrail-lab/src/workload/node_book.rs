//! The nodes that callers know.

use rand::Rng;
use sloetrail_types::{NodeId, ZoneName};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// One node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookEntry {
    /// Its id.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it serves HTTP.
    pub address: SocketAddr,
}

/// The nodes that callers, trainers and operators may use now.
#[derive(Clone, Default)]
pub struct NodeBook {
    entries: Arc<Mutex<Vec<BookEntry>>>,
}

impl NodeBook {
    /// Adds a node.
    pub fn add(&self, entry: BookEntry) {
        self.entries.lock().expect("not poisoned").push(entry);
    }

    /// Removes a node.
    pub fn remove(&self, node: &NodeId) {
        let mut entries = self.entries.lock().expect("not poisoned");
        entries.retain(|entry| entry.node != *node);
    }

    /// Every node.
    pub fn all(&self) -> Vec<BookEntry> {
        self.entries.lock().expect("not poisoned").clone()
    }

    /// One node at random, if there is one.
    pub fn any(&self, random: &mut impl Rng) -> Option<BookEntry> {
        let entries = self.entries.lock().expect("not poisoned");
        match entries.len() {
            0 => None,
            count => Some(entries[random.random_range(0..count)].clone()),
        }
    }
}
