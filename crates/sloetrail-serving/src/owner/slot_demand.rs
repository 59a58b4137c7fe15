//! Slot demand of region-bound batches. Their owner keeps it in a small row, which the owner
//! that orders engines reads.
//!
//! The row is in the lease table, which every node follows, so reading it needs no call. It is
//! written under the owner's term, so an earlier owner cannot overwrite a later owner's row.

mod received;
mod reporter;

pub(super) use received::ReceivedDemands;
pub(super) use reporter::DemandReporter;

use crate::events::{self, Event};
use crate::rows;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloetrail_types::bounded;
use std::time::Duration;

/// Minimum time between two writes of an owner. Engine orders are at least 3 s apart, so more
/// frequent reports would change little.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// A row with demand is rewritten after this time, before it expires.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// A row with demand expires after this time. It covers a change of owner: lease expiry (5 s at
/// most), takeover by the successor (up to 2 s), its first report (2 s), and a slow table.
const DEMAND_VALIDITY: Duration = Duration::from_secs(12);

/// Slot demand of the batches of a set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SlotDemand {
    /// Mean number of slots in use since the last row, rounded up.
    #[serde(deserialize_with = "bounded::count")]
    pub(super) busy: usize,
    /// Slots that the items would use now if enough were free.
    #[serde(deserialize_with = "bounded::count")]
    pub(super) wanted: usize,
    /// Duration of the longest step completed since the last row, in percent of its target.
    pub(super) step_percent: Option<u32>,
}

impl SlotDemand {
    fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

/// Stored form of a [`SlotDemand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DemandRow {
    pub(super) demand: SlotDemand,
    /// Epoch of the owner that wrote the row.
    pub(super) epoch: u64,
    /// Write time by the table's clock, in milliseconds.
    pub(super) at_ms: u64,
}

impl DemandRow {
    pub(super) fn encode(&self) -> Bytes {
        let mut encoded = Vec::new();
        ciborium::into_writer(self, &mut encoded).expect("writing to a Vec cannot fail");
        Bytes::from(encoded)
    }

    /// Decodes a stored row. Logs a row that cannot be decoded and returns None.
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

/// The row of a set in this node's view of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoredDemand {
    Absent,
    Unreadable,
    /// May be written by an earlier owner.
    Row(DemandRow),
}

#[cfg(test)]
mod tests;
