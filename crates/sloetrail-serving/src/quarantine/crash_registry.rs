//! Crash reports and clearances, from the table and from this node.

use crate::events::{self, Event};
use crate::follow::TableView;
use crate::rows;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloetrail_quarantine::{Clearance, CrashAssessment, CrashReport, assess};
use sloetrail_types::{RowVersion, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Entries that an assessment considers. The oldest beyond this count are dropped. A rack of forty
/// back ends that fails at once gives a few hundred entries of about 300 bytes.
const MAX_ENTRIES: usize = 2_000;

/// The value of a quarantine row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Entry {
    Crashed(CrashReport),
    Cleared(Clearance),
}

impl Entry {
    /// When the crash or clearance was recorded, in milliseconds of the table's clock.
    pub(super) fn at_ms(&self) -> u64 {
        match self {
            Entry::Crashed(report) => report.at_ms,
            Entry::Cleared(clearance) => clearance.at_ms,
        }
    }

    /// Encodes the value of the row.
    pub(super) fn value(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Decodes the value of a row.
    pub(super) fn read(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }
}

/// An entry read from the table.
#[derive(Clone, Debug)]
struct StoredEntry {
    version: RowVersion,
    /// None if the row could not be decoded.
    entry: Option<Entry>,
}

/// All known entries by row key.
#[derive(Debug, Default)]
pub(super) struct CrashRegistry {
    stored: BTreeMap<String, StoredEntry>,
    /// Entries of this node that have not been read back from the table yet.
    unconfirmed: BTreeMap<String, Entry>,
}

impl CrashRegistry {
    /// Adds an entry of this node until the table confirms it.
    pub(super) fn add_unconfirmed(&mut self, key: String, entry: Entry) {
        self.unconfirmed.insert(key, entry);
        while self.unconfirmed.len() > MAX_ENTRIES {
            self.unconfirmed.pop_first();
        }
    }

    /// Applies the table's rows. Returns false if nothing has changed.
    pub(super) fn apply_view(&mut self, view: &TableView) -> bool {
        let rows = view.rows.range(rows::quarantine_key_range());
        let versions = rows.clone().map(|(key, row)| (key, row.version));
        let known = self
            .stored
            .iter()
            .map(|(key, stored)| (key, stored.version));
        if versions.eq(known) {
            return false;
        }
        let mut before = std::mem::take(&mut self.stored);
        for (key, row) in rows {
            let known = before.remove(key);
            let known = known.filter(|known| known.version == row.version);
            let stored = known.unwrap_or_else(|| StoredEntry {
                version: row.version,
                entry: read(key, &row.value),
            });
            self.stored.insert(key.clone(), stored);
            self.unconfirmed.remove(key);
        }
        true
    }

    /// Assesses requests by the entries that are not older than `retention`.
    pub(super) fn assess(&self, now_ms: Option<u64>, retention: Duration) -> CrashAssessment {
        let since_ms = Timestamp(now_ms.unwrap_or_default()).before(retention).0;
        let stored = self
            .stored
            .values()
            .filter_map(|stored| stored.entry.as_ref());
        let entries = stored.chain(self.unconfirmed.values());
        let mut entries: Vec<&Entry> = entries.filter(|entry| entry.at_ms() >= since_ms).collect();
        if entries.len() > MAX_ENTRIES {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.at_ms()));
            entries.truncate(MAX_ENTRIES);
        }
        let reports = entries.iter().filter_map(|entry| match entry {
            Entry::Crashed(report) => Some(report),
            Entry::Cleared(_) => None,
        });
        let clearances = entries.iter().filter_map(|entry| match entry {
            Entry::Cleared(clearance) => Some(clearance),
            Entry::Crashed(_) => None,
        });
        assess(reports, clearances)
    }

    /// Returns the rows that are older than `retention` or exceed [`MAX_ENTRIES`].
    pub(super) fn expired_rows(
        &self,
        now_ms: u64,
        retention: Duration,
    ) -> Vec<(String, RowVersion)> {
        let since_ms = Timestamp(now_ms).before(retention).0;
        let mut by_age: Vec<(u64, &String, RowVersion)> = self
            .stored
            .iter()
            .map(|(key, stored)| {
                let at_ms = stored.entry.as_ref().map(Entry::at_ms).unwrap_or_default();
                (at_ms, key, stored.version)
            })
            .collect();
        by_age.sort();
        let surplus = by_age.len().saturating_sub(MAX_ENTRIES);
        let expired = by_age.into_iter().enumerate();
        expired
            .filter(|(position, (at_ms, _, _))| *position < surplus || *at_ms < since_ms)
            .map(|(_, (_, key, version))| (key.clone(), version))
            .collect()
    }
}

/// Returns None and logs the row if it cannot be decoded. Such a row counts for no request, and
/// is deleted as the oldest.
fn read(key: &str, value: &[u8]) -> Option<Entry> {
    Entry::read(value)
        .map_err(|error| {
            events::emit(&Event::RowUnreadable {
                table: rows::LEASES,
                key,
                detail: &error.to_string(),
            });
        })
        .ok()
}
