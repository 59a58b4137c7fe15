//! Decides when one node acquires, renews and releases one lease.

use crate::LeaseRecord;
use sloetrail_types::{Epoch, NodeId, RowVersion, Timestamp};
use std::time::Duration;

const RENEWALS_PER_DURATION: u32 = 3;

/// A lease row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    pub version: RowVersion,
    pub record: LeaseRecord,
}

/// A conditional write requested by the watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseAction {
    /// The version that the row must have. None if the row must be absent.
    pub expected: Option<RowVersion>,
    pub record: LeaseRecord,
}

/// Tracks one lease on behalf of one node.
#[derive(Debug)]
pub struct LeaseWatcher {
    node: NodeId,
    duration: Duration,
    epoch_floor: Epoch,
    observed: Option<ObservedLease>,
    unchanged_since: Option<Timestamp>,
    renewed_at: Timestamp,
}

impl LeaseWatcher {
    /// Creates a watcher without any observation.
    pub fn new(node: NodeId, duration: Duration) -> Self {
        Self {
            node,
            duration,
            epoch_floor: Epoch(0),
            observed: None,
            unchanged_since: None,
            renewed_at: Timestamp::default(),
        }
    }

    /// Sets how long the lease lasts without a renewal. The duration only decides how soon an
    /// unresponsive holder is replaced; its epoch decides which of its writes are accepted.
    pub fn set_duration(&mut self, duration: Duration) {
        self.duration = duration;
    }

    /// Sets an epoch that no deleted lease exceeds. This node takes leases over only under higher
    /// epochs, since a lease that is created again has no record of its last one.
    pub fn set_epoch_floor(&mut self, epoch_floor: Epoch) {
        self.epoch_floor = epoch_floor;
    }

    /// Returns the epoch under which this node holds the lease, according to the last
    /// observation.
    pub fn held_epoch(&self) -> Option<Epoch> {
        let record = &self.observed.as_ref()?.record;
        (record.holder.as_ref() == Some(&self.node)).then_some(record.epoch)
    }

    /// Returns the holder according to the last observation.
    pub fn holder(&self) -> Option<&NodeId> {
        self.observed.as_ref()?.record.holder.as_ref()
    }

    /// Returns the holder and its epoch according to the last observation.
    pub fn term(&self) -> Option<(&NodeId, Epoch)> {
        let record = &self.observed.as_ref()?.record;
        Some((record.holder.as_ref()?, record.epoch))
    }

    /// Records the row as just read or written.
    pub fn observe(&mut self, now: Timestamp, lease: Option<ObservedLease>) {
        let changed = self.unchanged_since.is_none() || self.observed != lease;
        if changed {
            self.unchanged_since = Some(now);
            self.observed = lease;
        }
    }

    /// Returns the write that is due now, if any. `rank` is this node's rank among the
    /// candidates: higher ranks wait longer, so that candidates do not race.
    pub fn next_action(&mut self, now: Timestamp, rank: u32) -> Option<LeaseAction> {
        let unchanged_since = self.unchanged_since?;
        let Some(observed) = &self.observed else {
            return self.take_over_after(now, unchanged_since, Duration::ZERO, rank);
        };
        if observed.record.holder.as_ref() == Some(&self.node) {
            return self.renewal(now);
        }
        let wait = match observed.record.holder {
            None => Duration::ZERO,
            Some(_) => self.duration,
        };
        self.take_over_after(now, unchanged_since, wait, rank)
    }

    /// Returns the write that takes the lease over regardless of its holder, for a caller that
    /// knows the holder to be gone. None before the first observation.
    pub fn take_over(&self) -> Option<LeaseAction> {
        self.unchanged_since?;
        Some(self.take_over_action())
    }

    /// Records that the last requested renewal failed: the next one is due immediately.
    pub fn renewal_failed(&mut self) {
        self.renewed_at = Timestamp::default();
    }

    /// Returns the write that releases the lease, if this node holds it.
    pub fn release(&self) -> Option<LeaseAction> {
        let observed = self.observed.as_ref()?;
        self.held_epoch()?;
        Some(LeaseAction {
            expected: Some(observed.version),
            record: observed.record.released(),
        })
    }

    fn renewal(&mut self, now: Timestamp) -> Option<LeaseAction> {
        let observed = self.observed.as_ref()?;
        if now.since(self.renewed_at) < self.duration / RENEWALS_PER_DURATION {
            return None;
        }
        self.renewed_at = now;
        Some(LeaseAction {
            expected: Some(observed.version),
            record: observed.record.renewed(),
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
        let previous = self.observed.as_ref();
        let last_epoch = previous.map(|lease| lease.record.epoch);
        let last_epoch = last_epoch.unwrap_or_default().max(self.epoch_floor);
        LeaseAction {
            expected: previous.map(|lease| lease.version),
            record: LeaseRecord::taken_by(&self.node, last_epoch),
        }
    }
}
