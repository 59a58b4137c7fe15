//! Which items decide when a batch is done, and how many are worth running at a time.
//!
//! A batch is done with its longest text. Items that are started all at once are done long
//! before that one, and each of them takes a place and a connection of its own. So no more
//! run at a time than let the others end with the longest text; longer texts go first in any
//! case. What is expected is wrong for many texts, so that a margin is added, and no item
//! waits for long.

use crate::{Batch, Item, ItemIndex, ItemState, LengthModel};
use std::time::Duration;

/// So many times the width that would do if all texts were as long as expected: whatever is
/// wrong in the hints makes the last text of a batch longer, not the mean one.
const MARGIN: f64 = 3.0;

/// A batch older than this holds nothing back: its runs may hang, and then no text ends with
/// which the width would grow. Ordinary texts take about half a second, the longest five.
const NARROW_FOR: Duration = Duration::from_secs(2);

/// Fewer are never worth holding back: the texts of a group of eight, which share a prompt.
const WIDTH_LEAST: usize = 8;

/// An item that is expected to be shorter than this share of the longest one does not decide
/// when its batch is done: hints that are off by a factor of two are rare.
const DECIDING_SHARE: f64 = 0.5;

/// What is expected of the unfinished items of a batch.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchEstimate {
    /// How many items should run at a time; nothing if there is no reason to hold any back.
    pub width: Option<usize>,
    /// What the longest item has left, in the unit of the hints.
    longest: f64,
}

impl BatchEstimate {
    /// True if the item, of which nothing runs, may be among those with which its batch ends.
    pub fn is_critical(&self, item: &Item, lengths: &LengthModel) -> bool {
        let left = lengths.remaining_units(item.expected_length, item.transcript.len());
        left >= self.longest * DECIDING_SHARE
    }
}

impl Batch {
    /// What is expected of the items at this age of the batch. `made` tells how many events a
    /// running text has.
    pub fn estimate(
        &self,
        lengths: &LengthModel,
        age: Duration,
        made: impl Fn(ItemIndex) -> usize,
    ) -> BatchEstimate {
        let (mut longest, mut all) = (0.0_f64, 0.0);
        for (index, item) in self.items().iter().enumerate() {
            let made = match item.state {
                ItemState::Waiting => item.transcript.len(),
                ItemState::Running => made(index),
                ItemState::Rewarding | ItemState::Committing | ItemState::Listed => continue,
            };
            let remaining = lengths.remaining_units(item.expected_length, made);
            longest = longest.max(remaining);
            all += remaining;
        }
        let width = MARGIN * lengths.hint_error() * all / longest;
        let holds_back = self.waiting() > 0 && age < NARROW_FOR && width.is_finite();
        BatchEstimate {
            width: holds_back.then(|| (width.ceil() as usize).max(WIDTH_LEAST)),
            longest,
        }
    }
}

#[cfg(test)]
mod tests;
