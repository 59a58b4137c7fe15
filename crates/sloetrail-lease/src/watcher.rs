//! What one node does about one lease.

use crate::LeaseRecord;
use sloetrail_types::{Epoch, NodeId, RowVersion, Timestamp};
use std::time::Duration;

const RENEWALS_PER_DURATION: u32 = 3;

/// A lease row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    /// The row's version.
    pub version: RowVersion,
    /// The row's value.
    pub record: LeaseRecord,
}

/// A conditional write that the watcher asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseAction {
    /// The version that the row must have; nothing means absent.
    pub expected: Option<RowVersion>,
    /// The record to write.
    pub record: LeaseRecord,
}

/// Watches one lease on behalf of one node.
#[derive(Debug)]
pub struct LeaseWatcher {
    node: NodeId,
    duration: Duration,
    seen: Option<ObservedLease>,
    unchanged_since: Option<Timestamp>,
    renewed_at: Timestamp,
}

impl LeaseWatcher {
    /// A watcher that has seen nothing yet.
    pub fn new(node: NodeId, duration: Duration) -> Self {
        Self {
            node,
            duration,
            seen: None,
            unchanged_since: None,
            renewed_at: Timestamp::default(),
        }
    }

    /// Changes how long the lease lasts without a renewal. It decides only how soon a
    /// lost holder is replaced: what a holder may write is decided by its epoch.
    pub fn set_duration(&mut self, duration: Duration) {
        self.duration = duration;
    }

    /// The epoch under which this node holds the lease, as far as it knows.
    pub fn held_epoch(&self) -> Option<Epoch> {
        let record = &self.seen.as_ref()?.record;
        (record.holder.as_ref() == Some(&self.node)).then_some(record.epoch)
    }

    /// The holder, as far as this node knows.
    pub fn holder(&self) -> Option<&NodeId> {
        self.seen.as_ref()?.record.holder.as_ref()
    }

    /// The holder and its epoch, as far as this node knows.
    pub fn term(&self) -> Option<(&NodeId, Epoch)> {
        let record = &self.seen.as_ref()?.record;
        Some((record.holder.as_ref()?, record.epoch))
    }

    /// Takes in the row as it was just read or written.
    pub fn observe(&mut self, now: Timestamp, lease: Option<ObservedLease>) {
        let changed = self.unchanged_since.is_none() || self.seen != lease;
        if changed {
            self.unchanged_since = Some(now);
            self.seen = lease;
        }
    }

    /// What to write now, if anything. `rank` is this node's place among the
    /// candidates: later ones wait longer, so that they do not race.
    pub fn next_action(&mut self, now: Timestamp, rank: u32) -> Option<LeaseAction> {
        let unchanged_since = self.unchanged_since?;
        let Some(seen) = &self.seen else {
            return self.take_over_after(now, unchanged_since, Duration::ZERO, rank);
        };
        if seen.record.holder.as_ref() == Some(&self.node) {
            return self.renewal(now);
        }
        let wait = match seen.record.holder {
            None => Duration::ZERO,
            Some(_) => self.duration,
        };
        self.take_over_after(now, unchanged_since, wait, rank)
    }

    /// The write that takes the lease over at once, whoever holds it: for a caller
    /// that knows the holder to be gone. Nothing before the first observation.
    pub fn take_over(&self) -> Option<LeaseAction> {
        self.unchanged_since?;
        Some(self.take_over_action())
    }

    /// The renewal that was last asked for was not done: the next one is due at once.
    pub fn renewal_failed(&mut self) {
        self.renewed_at = Timestamp::default();
    }

    /// The write that gives the lease up, if this node holds it.
    pub fn release(&self) -> Option<LeaseAction> {
        let seen = self.seen.as_ref()?;
        self.held_epoch()?;
        Some(LeaseAction {
            expected: Some(seen.version),
            record: seen.record.released(),
        })
    }

    fn renewal(&mut self, now: Timestamp) -> Option<LeaseAction> {
        let seen = self.seen.as_ref()?;
        if now.since(self.renewed_at) < self.duration / RENEWALS_PER_DURATION {
            return None;
        }
        self.renewed_at = now;
        Some(LeaseAction {
            expected: Some(seen.version),
            record: seen.record.renewed(),
        })
    }

    fn take_over_after(
        &self,
        now: Timestamp,
        unchanged_since: Timestamp,
        wait: Duration,
        rank: u32,
    ) -> Option<LeaseAction> {
        let rank_wait = self.duration / RENEWALS_PER_DURATION * rank;
        if now.since(unchanged_since) < wait + rank_wait {
            return None;
        }
        Some(self.take_over_action())
    }

    fn take_over_action(&self) -> LeaseAction {
        let previous = self.seen.as_ref();
        LeaseAction {
            expected: previous.map(|lease| lease.version),
            record: LeaseRecord::taken_by(&self.node, previous.map(|lease| &lease.record)),
        }
    }
}
