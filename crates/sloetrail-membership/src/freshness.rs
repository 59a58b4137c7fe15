//! Whether a node's configuration is known to be still in force.
//!
//! An apply is only answered as accepted once a majority of zones hold its
//! revision. So a node may act on its revision if, within a bound, either the
//! table was read and held no higher one, or a majority of zones was heard from
//! and none of them held a higher one. A node that is cut off from both stops
//! choosing engines after the bound.

use crate::ZoneTable;
use sloetrail_types::{Revision, Timestamp, ZoneName};
use std::collections::BTreeSet;
use std::time::Duration;

/// The evidence that a node has for its revision.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigurationFreshness {
    table_read_at: Option<Timestamp>,
    own_revision: Revision,
    highest_heard: Revision,
}

impl ConfigurationFreshness {
    /// The node now holds `revision`.
    pub fn hold(&mut self, revision: Revision) {
        self.own_revision = self.own_revision.max(revision);
    }

    /// Another node, or the table, was heard to hold `revision`.
    pub fn hear(&mut self, revision: Revision) {
        self.highest_heard = self.highest_heard.max(revision);
    }

    /// The table was read at `at` and held `revision`.
    pub fn table_read(&mut self, at: Timestamp, revision: Revision) {
        self.hear(revision);
        self.table_read_at = self.table_read_at.max(Some(at));
    }

    /// True if a higher revision is known to exist.
    pub fn is_behind(&self) -> bool {
        self.highest_heard > self.own_revision
    }

    /// When the table was last read, by this node or one it heard from.
    pub fn table_read_at(&self) -> Option<Timestamp> {
        self.table_read_at
    }

    /// When this node's revision was last known to be in force.
    pub fn confirmed_at(
        &self,
        zones: &ZoneTable,
        configured: &BTreeSet<ZoneName>,
    ) -> Option<Timestamp> {
        // A zone's revision and the time of its news are taken in together, so they
        // are judged together: news that shows a higher revision never confirms.
        if self.is_behind() || zones.highest_revision() > self.own_revision {
            return None;
        }
        self.table_read_at.max(majority_heard_at(zones, configured))
    }

    /// True if the revision was known to be in force within `bound`.
    pub fn is_fresh(
        &self,
        now: Timestamp,
        zones: &ZoneTable,
        configured: &BTreeSet<ZoneName>,
        bound: Duration,
    ) -> bool {
        self.confirmed_at(zones, configured)
            .is_some_and(|at| now.since(at) <= bound)
    }
}

/// The latest time by which a majority of zones, the own one included, was heard from.
fn majority_heard_at(zones: &ZoneTable, configured: &BTreeSet<ZoneName>) -> Option<Timestamp> {
    let others_needed = configured.len() / 2;
    let mut times: Vec<Timestamp> = zones.heard_at(configured).collect();
    times.sort_by(|a, b| b.cmp(a));
    match others_needed {
        0 => None,
        needed => times.get(needed - 1).copied(),
    }
}
