//! Estimates the remaining work of a batch: its critical items and its concurrency limit.
//!
//! A batch ends when its longest text ends. Starting all items at once does not end it earlier,
//! but occupies a slot and a connection for each item. The number of items in flight is therefore
//! limited so that the shorter texts end together with the longest. A margin covers errors of the
//! hints, and the limit is lifted at a maximum batch age.

use crate::{Batch, Item, ItemIndex, ItemState, LengthModel};
use std::time::Duration;

/// Factor on the concurrency that suffices for exact hints. Errors of the hints lengthen the
/// last text of a batch more than the mean.
const CONCURRENCY_MARGIN: f64 = 3.0;

/// Batch age from which concurrency is unlimited, so that hanging items cannot stall the batch.
/// Ordinary texts take about half a second, the longest about five.
const MAX_LIMITED_AGE: Duration = Duration::from_secs(2);

/// The texts of a group of eight, which share a prompt. Limiting a batch further saves nothing.
const MIN_CONCURRENCY: usize = 8;

/// Minimum length of a critical item as a share of the longest item. Hints that are off by more
/// than a factor of two are rare.
const MIN_CRITICAL_SHARE: f64 = 0.5;

/// The estimated work of the unfinished items of a batch.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchEstimate {
    /// The maximum number of items in flight. None if unlimited.
    pub concurrency_limit: Option<usize>,
    /// The remaining length of the longest item, in the unit of the hints.
    max_remaining: f64,
}

impl BatchEstimate {
    /// Returns true if the end of the batch may depend on this waiting item.
    pub fn is_critical(&self, item: &Item, lengths: &LengthModel) -> bool {
        let remaining = lengths.remaining_units(item.expected_length, item.transcript.len());
        remaining >= self.max_remaining * MIN_CRITICAL_SHARE
    }
}

impl Batch {
    /// Estimates the remaining work at this age of the batch. `generated_events` returns the
    /// number of events of a running item.
    pub fn estimate(
        &self,
        lengths: &LengthModel,
        age: Duration,
        generated_events: impl Fn(ItemIndex) -> usize,
    ) -> BatchEstimate {
        let (mut max_remaining, mut total_remaining) = (0.0_f64, 0.0);
        for (index, item) in self.items().iter().enumerate() {
            let events = match item.state {
                ItemState::Waiting => item.transcript.len(),
                ItemState::Running => generated_events(index),
                ItemState::Rewarding | ItemState::Committing | ItemState::Listed => continue,
            };
            let remaining = lengths.remaining_units(item.expected_length, events);
            max_remaining = max_remaining.max(remaining);
            total_remaining += remaining;
        }
        let concurrency =
            CONCURRENCY_MARGIN * lengths.hint_error() * total_remaining / max_remaining;
        let is_limited = self.waiting() > 0 && age < MAX_LIMITED_AGE && concurrency.is_finite();
        BatchEstimate {
            concurrency_limit: is_limited
                .then(|| (concurrency.ceil() as usize).max(MIN_CONCURRENCY)),
            max_remaining,
        }
    }
}

#[cfg(test)]
mod tests;
