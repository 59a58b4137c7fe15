//! Divides a large directory into key ranges, of which each node reads a few.
//!
//! A node sends to a handful of back ends and needs only part of a large directory. An index row
//! divides the keys into the same ranges for all nodes. Each node picks its ranges by rendezvous
//! hashing of its name, so that nodes spread over all back ends and a node that needs more rows
//! keeps the ranges it has.
//!
//! The index is a hint. Its ranges cover every key exactly once, so rows written since are found
//! in the range of their key. An outdated index only makes the ranges uneven.

use crate::table::KeyRange;
use serde::{Deserialize, Serialize};
use sloetrail_types::{bounded, rendezvous_weight};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Limits the size of the index row to about 4 KB, a sixteenth of what a table takes.
const MAX_RANGES: usize = 250;

/// The boundaries of a directory's key ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DirectoryIndex {
    /// The number of rows in the directory when the index was built.
    #[serde(deserialize_with = "bounded::count")]
    pub(crate) rows: usize,
    /// The first keys of all ranges except the first, in ascending order.
    starts: Vec<String>,
}

impl DirectoryIndex {
    /// Builds the index of a directory from its keys in ascending order.
    pub(crate) fn from_keys<'a>(keys: impl ExactSizeIterator<Item = &'a String>) -> Self {
        let rows = keys.len();
        let range_rows = rows.div_ceil(MAX_RANGES).max(1);
        let starts = keys.step_by(range_rows).skip(1);
        Self {
            rows,
            starts: starts.cloned().collect(),
        }
    }

    /// Decodes an index row; None if it is malformed, unsorted or has too many ranges.
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        let index: Self = serde_json::from_slice(value).ok()?;
        let is_ascending = index.starts.is_sorted_by(|left, right| left < right);
        let is_valid = is_ascending && index.starts.len() < MAX_RANGES;
        is_valid.then_some(index)
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        // Serializing numbers and strings can't fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// True if the directory has more than doubled or halved since the index was built.
    pub(crate) fn is_outdated(&self, rows: usize) -> bool {
        rows > self.rows.saturating_mul(2) || rows < self.rows / 2
    }

    /// Picks a node's ranges, enough for about `target_rows` rows.
    pub(crate) fn ranges_for(&self, node: &str, target_rows: usize) -> KeyRanges {
        let count = self.starts.len() + 1;
        let per_range = self.rows.div_ceil(count).max(1);
        let mut order: Vec<usize> = (0..count).collect();
        order.sort_by_key(|range| Reverse(rendezvous_weight(node, &range.to_string())));
        order.truncate(target_rows.div_ceil(per_range));
        let chosen: BTreeSet<usize> = order.into_iter().collect();
        let ranges = chosen.into_iter().map(|range| KeySpan {
            from: match range {
                0 => String::new(),
                range => self.starts[range - 1].clone(),
            },
            to: self.starts.get(range).cloned(),
        });
        KeyRanges {
            spans: ranges.collect(),
            total: count,
        }
    }
}

/// A half-open range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KeySpan {
    from: String,
    /// Exclusive; None if unbounded.
    to: Option<String>,
}

impl KeySpan {
    fn contains(&self, key: &str) -> bool {
        let is_before_end = self.to.as_deref().is_none_or(|to| key < to);
        key >= self.from.as_str() && is_before_end
    }
}

/// The key ranges of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyRanges {
    /// In ascending order of keys.
    spans: Vec<KeySpan>,
    /// The number of ranges that the directory is divided into.
    total: usize,
}

impl KeyRanges {
    pub(crate) fn all_keys() -> Self {
        Self {
            spans: vec![KeySpan {
                from: String::new(),
                to: None,
            }],
            total: 1,
        }
    }

    pub(crate) fn covers_all(&self) -> bool {
        self.spans.len() >= self.total
    }

    pub(crate) fn contains(&self, key: &str) -> bool {
        let after = self.spans.partition_point(|span| span.from.as_str() <= key);
        after > 0 && self.spans[after - 1].contains(key)
    }

    /// Keeps enough of these ranges for about `target_rows` rows, given that they have `rows`
    /// together. The choice is stable for a node.
    pub(crate) fn truncated(&self, node: &str, target_rows: usize, rows: usize) -> Self {
        let per_range = rows.div_ceil(self.spans.len().max(1)).max(1);
        let mut spans = self.spans.clone();
        spans.sort_by_key(|span| Reverse(rendezvous_weight(node, &span.from)));
        spans.truncate(target_rows.div_ceil(per_range));
        spans.sort_by(|left, right| left.from.cmp(&right.from));
        Self {
            spans,
            total: self.total,
        }
    }

    /// Estimates the rows of the table from the rows in these ranges.
    pub(crate) fn total_rows(&self, rows: usize) -> usize {
        match self.spans.is_empty() {
            true => rows,
            false => rows * self.total / self.spans.len(),
        }
    }

    /// These ranges as ranges of a table's default partition.
    pub(crate) fn in_table(&self, table: &str) -> impl Iterator<Item = KeyRange> {
        self.spans.iter().map(move |span| KeyRange {
            from: span.from.clone(),
            to: span.to.clone(),
            ..KeyRange::all(table, "")
        })
    }
}

#[cfg(test)]
mod tests;
