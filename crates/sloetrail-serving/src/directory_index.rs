//! Which parts of a large directory a node holds.
//!
//! A node sends to a handful of back ends, and a directory of ten thousand takes 3.3 MB to read
//! and 25 MB to hold. So a node of a large fleet reads some ranges of its keys alone. The ranges
//! are the same for all nodes: an index row tells where each begins. Which of them a node
//! holds follows from rendezvous hashing of its name, so that nodes spread over all back ends,
//! and one that wants more goes on in an order that is its own.
//!
//! The index is a hint. Whatever it says, its ranges cover every key once, and a row that was
//! written or dropped since is found in the range in which its key lies. Only how evenly nodes
//! are spread depends on how old it is.

use crate::table::KeyRange;
use serde::{Deserialize, Serialize};
use sloetrail_types::rendezvous_weight;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// The most ranges: with 250 the row has some 4 KB, a sixteenth of what a table takes, and a
/// node of a directory of ten thousand rows holds fifteen of them.
const RANGES_MOST: usize = 250;

/// Where the ranges of a directory begin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DirectoryIndex {
    /// Rows of the directory when the index was made.
    pub(crate) rows: usize,
    /// The first keys of all ranges but the first one, rising.
    starts: Vec<String>,
}

impl DirectoryIndex {
    /// The index of a directory with these keys, which rise.
    pub(crate) fn from_keys<'a>(keys: impl ExactSizeIterator<Item = &'a String>) -> Self {
        let rows = keys.len();
        let range_rows = rows.div_ceil(RANGES_MOST).max(1);
        let starts = keys.step_by(range_rows).skip(1);
        Self {
            rows,
            starts: starts.cloned().collect(),
        }
    }

    /// The index that a row holds; nothing if it is none, or one that no node would write.
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        let index: Self = serde_json::from_slice(value).ok()?;
        let is_rising = index.starts.is_sorted_by(|left, right| left < right);
        let is_sound = is_rising && index.starts.len() < RANGES_MOST;
        is_sound.then_some(index)
    }

    /// The row's value.
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Numbers and texts can always be written.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// True if a directory of so many rows is spread otherwise than the index tells.
    pub(crate) fn is_outdated(&self, rows: usize) -> bool {
        rows > self.rows.saturating_mul(2) || rows < self.rows / 2
    }

    /// The ranges that a node holds which wants so many rows.
    pub(crate) fn ranges_for(&self, node: &str, rows: usize) -> KeyRanges {
        let count = self.starts.len() + 1;
        let per_range = self.rows.div_ceil(count).max(1);
        let mut order: Vec<usize> = (0..count).collect();
        order.sort_by_key(|range| Reverse(rendezvous_weight(node, &range.to_string())));
        order.truncate(rows.div_ceil(per_range));
        let held: BTreeSet<usize> = order.into_iter().collect();
        let ranges = held.into_iter().map(|range| KeySpan {
            from: match range {
                0 => String::new(),
                range => self.starts[range - 1].clone(),
            },
            to: self.starts.get(range).cloned(),
        });
        KeyRanges {
            spans: ranges.collect(),
            of: count,
        }
    }
}

/// Keys from one up to another.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KeySpan {
    from: String,
    /// The first key after it; nothing means no end.
    to: Option<String>,
}

impl KeySpan {
    fn contains(&self, key: &str) -> bool {
        let is_before_end = self.to.as_deref().is_none_or(|to| key < to);
        key >= self.from.as_str() && is_before_end
    }
}

/// The ranges of keys that a view holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyRanges {
    /// By rising keys.
    spans: Vec<KeySpan>,
    /// Of how many ranges they are.
    of: usize,
}

impl KeyRanges {
    /// Every key.
    pub(crate) fn all_keys() -> Self {
        Self {
            spans: vec![KeySpan {
                from: String::new(),
                to: None,
            }],
            of: 1,
        }
    }

    /// True if every key is held.
    pub(crate) fn covers_all(&self) -> bool {
        self.spans.len() >= self.of
    }

    /// True if a key is held.
    pub(crate) fn contains(&self, key: &str) -> bool {
        let after = self.spans.partition_point(|span| span.from.as_str() <= key);
        after > 0 && self.spans[after - 1].contains(key)
    }

    /// As many of these ranges as hold so many rows, if they hold `held` together; a node
    /// always leaves out the same ones.
    pub(crate) fn truncated(&self, node: &str, wanted: usize, held: usize) -> Self {
        let per_range = held.div_ceil(self.spans.len().max(1)).max(1);
        let mut spans = self.spans.clone();
        spans.sort_by_key(|span| Reverse(rendezvous_weight(node, &span.from)));
        spans.truncate(wanted.div_ceil(per_range));
        spans.sort_by(|left, right| left.from.cmp(&right.from));
        Self { spans, of: self.of }
    }

    /// How many rows there are in all, if so many are held.
    pub(crate) fn total_rows(&self, held: usize) -> usize {
        match self.spans.is_empty() {
            true => held,
            false => held * self.of / self.spans.len(),
        }
    }

    /// The ranges of a table's empty partition.
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
