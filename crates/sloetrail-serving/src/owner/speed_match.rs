//! Matches waiting texts to free slots by the speed of the engine while slots are scarce.
//!
//! Load: batches wait for slots of engines that differ in speed. A long text at a slow engine ends
//! late although a faster engine frees a moment later, while a short text loses little there. An
//! engine at a fraction of the usual speed therefore gets the shortest texts and never stands idle
//! while items wait.

use sloetrail_batch::ItemIndex;
use std::time::Duration;

/// An engine is clearly slower above this multiple of the median lasting interval. Load alone
/// changes an interval by less than that.
const CLEARLY_SLOWER_FACTOR: f64 = 1.5;

/// The speed of an engine, by lasting event intervals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EngineSpeed {
    pub(super) interval_us: Option<u64>,
    pub(super) median_us: Option<u64>,
}

impl EngineSpeed {
    /// True if the engine is known to be clearly slower than the median.
    pub(super) fn is_clearly_slower(&self) -> bool {
        let slowness = self.interval_us.zip(self.median_us);
        slowness.is_some_and(|(interval_us, median_us)| {
            interval_us as f64 > median_us as f64 * CLEARLY_SLOWER_FACTOR
        })
    }

    /// The time that the engine takes for a number of events. An unknown interval counts as the
    /// median; None if that is unknown too.
    fn time_for(&self, events: f64) -> Option<Duration> {
        let interval_us = self.interval_us.or(self.median_us)?;
        Some(Duration::from_micros((interval_us as f64 * events) as u64))
    }
}

/// A waiting item's text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WaitingText {
    pub(super) index: ItemIndex,
    /// The expected remaining length, in the unit of the hints.
    pub(super) remaining_units: f64,
    /// The expected number of remaining events. None until the unit of the hints is known.
    pub(super) remaining_events: Option<f64>,
}

impl WaitingText {
    /// False if the text is expected to end on the engine after this time.
    fn ends_within(&self, useful_time_left: Option<Duration>, speed: EngineSpeed) -> bool {
        let needed = self
            .remaining_events
            .and_then(|events| speed.time_for(events));
        match (needed, useful_time_left) {
            (Some(needed), Some(time_left)) => needed <= time_left,
            _ => true,
        }
    }
}

/// Returns the text for a free slot at an engine. `texts` are of one class, in dispatch order;
/// `useful_time_left` is the time in which a complete batch is still of use to its trainer, None
/// without a run target.
///
/// A clearly slower engine takes the shortest text. Any other takes the first in dispatch order
/// that is expected to end within it, or the first if none is.
pub(super) fn choose_text(
    texts: impl Iterator<Item = WaitingText>,
    speed: EngineSpeed,
    useful_time_left: Option<Duration>,
) -> Option<ItemIndex> {
    let chosen = match speed.is_clearly_slower() {
        true => shortest(texts),
        false => first_in_time(texts, speed, useful_time_left),
    };
    chosen.map(|text| text.index)
}

fn shortest(texts: impl Iterator<Item = WaitingText>) -> Option<WaitingText> {
    texts.min_by(|left, right| left.remaining_units.total_cmp(&right.remaining_units))
}

fn first_in_time(
    texts: impl Iterator<Item = WaitingText>,
    speed: EngineSpeed,
    useful_time_left: Option<Duration>,
) -> Option<WaitingText> {
    let mut texts = texts;
    if useful_time_left.is_some_and(|time_left| time_left.is_zero()) {
        return texts.next();
    }
    let mut first = None;
    for text in texts {
        if text.ends_within(useful_time_left, speed) {
            return Some(text);
        }
        first.get_or_insert(text);
    }
    first
}

#[cfg(test)]
mod tests;
