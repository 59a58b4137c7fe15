//! What the batches of a set that is bound to regions take of the engines: a small row that
//! their owner keeps up to date, for the one that orders engines.
//!
//! The row lies with the leases, which every node follows, so nobody asks for it. It is
//! written within the owner's term: an earlier owner cannot write over a later one's.

mod received;
mod reporter;

pub(super) use received::ReceivedDemands;
pub(super) use reporter::DemandReporter;

use crate::events::{self, Event};
use crate::rows;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The least time between two rows of an owner: half a call a second for each set that has
/// work. An order is due three seconds after the one before at the earliest, so more would
/// change little.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// A row that stands for work is written again after this time, so that it does not age out.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// A row that stands for work counts for so long. Its owner may die: the lease then runs out
/// after 5 s at most and is taken up to 2 s later, and the successor reports 2 s after that; the
/// rest is for a slow table.
const DEMAND_VALIDITY: Duration = Duration::from_secs(12);

/// What the batches of a set take of the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SlotDemand {
    /// Places that their items took on average since the last row, rounded up.
    pub(super) busy: usize,
    /// Places that they would take now if there were enough.
    pub(super) wanted: usize,
    /// The longest of the steps that became whole since the last row, in percent of the time
    /// that it had.
    pub(super) step_percent: Option<u32>,
}

impl SlotDemand {
    /// True if there is nothing to tell.
    fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

/// A row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DemandRow {
    /// The demand.
    pub(super) demand: SlotDemand,
    /// The epoch of the owner that wrote it.
    pub(super) epoch: u64,
    /// When it was written, by the table's clock in milliseconds.
    pub(super) at_ms: u64,
}

impl DemandRow {
    /// The stored form.
    pub(super) fn encode(&self) -> Bytes {
        let mut encoded = Vec::new();
        ciborium::into_writer(self, &mut encoded).expect("memory takes every write");
        Bytes::from(encoded)
    }

    /// Reads the stored form. A row that cannot be read is told and left out.
    pub(super) fn decode(key: &str, stored: &[u8]) -> Option<Self> {
        match ciborium::from_reader(stored) {
            Ok(row) => Some(row),
            Err(error) => {
                events::emit(&Event::RowUnreadable {
                    table: rows::LEASES,
                    key,
                    detail: &error.to_string(),
                });
                None
            }
        }
    }
}

/// The row of a set, as the node that would write it knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoredDemand {
    /// There is none.
    Absent,
    /// It cannot be read.
    Unreadable,
    /// What it holds, by whichever owner.
    Row(DemandRow),
}

#[cfg(test)]
mod tests;
