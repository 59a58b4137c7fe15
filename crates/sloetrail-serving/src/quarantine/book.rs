//! Reports and clearances, as the table and this node tell them.

use crate::events::{self, Event};
use crate::follow::TableView;
use crate::rows;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloetrail_quarantine::{Clearance, CrashReport, Judgement, judge};
use sloetrail_types::RowVersion;
use std::collections::BTreeMap;
use std::time::Duration;

/// Entries that are counted. A rack of forty back ends that ends at once is told of by a few
/// hundred; each takes about 300 bytes. Of more than these the oldest are left out.
const ENTRIES_MOST: usize = 2_000;

/// What a row says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Entry {
    /// A back end has crashed.
    Crashed(CrashReport),
    /// A request has been answered or released.
    Cleared(Clearance),
}

impl Entry {
    /// When it was found, in milliseconds of the table's clock.
    pub(super) fn at_ms(&self) -> u64 {
        match self {
            Entry::Crashed(report) => report.at_ms,
            Entry::Cleared(clearance) => clearance.at_ms,
        }
    }

    /// The value of its row.
    pub(super) fn value(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Reads the value of a row.
    pub(super) fn read(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }
}

/// An entry of the table, with the version of its row.
#[derive(Clone, Debug)]
struct Told {
    version: RowVersion,
    /// Nothing if the row cannot be read.
    entry: Option<Entry>,
}

/// All entries that are known, by the keys of their rows.
#[derive(Debug, Default)]
pub(super) struct Book {
    told: BTreeMap<String, Told>,
    /// Those of this node that the table has not told yet.
    own: BTreeMap<String, Entry>,
}

impl Book {
    /// Adds an entry of this node.
    pub(super) fn add_own(&mut self, key: String, entry: Entry) {
        self.own.insert(key, entry);
        while self.own.len() > ENTRIES_MOST {
            self.own.pop_first();
        }
    }

    /// Takes in the table's rows; false if nothing has changed.
    pub(super) fn take_view(&mut self, view: &TableView) -> bool {
        let rows = view.rows.range(rows::quarantine_key_range());
        let versions = rows.clone().map(|(key, row)| (key, row.version));
        let known = self.told.iter().map(|(key, told)| (key, told.version));
        if versions.eq(known) {
            return false;
        }
        let mut before = std::mem::take(&mut self.told);
        for (key, row) in rows {
            let known = before.remove(key);
            let known = known.filter(|known| known.version == row.version);
            let told = known.unwrap_or_else(|| Told {
                version: row.version,
                entry: read(key, &row.value),
            });
            self.told.insert(key.clone(), told);
            self.own.remove(key);
        }
        true
    }

    /// How requests stand, by the entries that are not older than `hold`.
    pub(super) fn judge(&self, now_ms: Option<u64>, hold: Duration) -> Judgement {
        let since_ms = now_ms
            .unwrap_or_default()
            .saturating_sub(hold.as_millis() as u64);
        let told = self.told.values().filter_map(|told| told.entry.as_ref());
        let entries = told.chain(self.own.values());
        let mut entries: Vec<&Entry> = entries.filter(|entry| entry.at_ms() >= since_ms).collect();
        if entries.len() > ENTRIES_MOST {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.at_ms()));
            entries.truncate(ENTRIES_MOST);
        }
        let reports = entries.iter().filter_map(|entry| match entry {
            Entry::Crashed(report) => Some(report),
            Entry::Cleared(_) => None,
        });
        let clearances = entries.iter().filter_map(|entry| match entry {
            Entry::Cleared(clearance) => Some(clearance),
            Entry::Crashed(_) => None,
        });
        judge(reports, clearances)
    }

    /// The rows that are older than `hold`, or past the number that is counted.
    pub(super) fn outdated(&self, now_ms: u64, hold: Duration) -> Vec<(String, RowVersion)> {
        let since_ms = now_ms.saturating_sub(hold.as_millis() as u64);
        let mut by_age: Vec<(u64, &String, RowVersion)> = self
            .told
            .iter()
            .map(|(key, told)| {
                let at_ms = told.entry.as_ref().map(Entry::at_ms).unwrap_or_default();
                (at_ms, key, told.version)
            })
            .collect();
        by_age.sort();
        let surplus = by_age.len().saturating_sub(ENTRIES_MOST);
        let outdated = by_age.into_iter().enumerate();
        outdated
            .filter(|(place, (at_ms, _, _))| *place < surplus || *at_ms < since_ms)
            .map(|(_, (_, key, version))| (key.clone(), version))
            .collect()
    }
}

/// An entry that cannot be read says nothing of any request; it is told once, and deleted with
/// those past their time.
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
