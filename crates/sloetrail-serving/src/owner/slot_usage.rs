//! How much of their engines' room the models use.

use std::collections::BTreeMap;

/// Weight of one observation in the average; they come ten times a second.
const SMOOTHING: f64 = 0.012;
/// What is left of a peak after one observation.
const PEAK_DECAY: f64 = 0.99;
/// Places that should be ready for use, for each one used at the peak.
const READY_SLOTS_PER_PEAK_SLOT: f64 = 2.0;
/// Engines that should have the newest version, for each place in use on average.
const NEWEST_SLOTS_PER_USED_SLOT: f64 = 2.0;
const MIN_NEWEST_SHARE: f64 = 0.5;

/// From this share of places used on average on, places are scarce: below it a step is
/// as long as its longest text, above it as long as its work.
const SCARCITY_THRESHOLD: f64 = 0.75;
/// Looks since the first item before that is judged.
const MIN_OBSERVATIONS: u32 = 30;
/// Weight of one observation in that average, once there were many.
const MIN_SCARCITY_WEIGHT: f64 = 0.02;

#[derive(Clone, Copy, Debug)]
struct Usage {
    average: f64,
    /// Looks since the first item.
    observations: u32,
    /// The average since then, which does not begin from the quiet before.
    average_since_first: f64,
    peak: f64,
}

/// The items of a model that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OpenItems {
    /// Those that run or wait for a place.
    pub(super) all: usize,
    /// Of these, the most that are to run at a time.
    pub(super) max_concurrent: usize,
}

/// The share of the places in use, by model.
#[derive(Debug, Default)]
pub(super) struct SlotUsage {
    models: BTreeMap<String, Usage>,
}

impl SlotUsage {
    /// Takes in how many places a model's items take of those that its engines have;
    /// items that wait for a place take one as well. Those that are held back on purpose
    /// need no place yet, but show how scarce places are.
    pub(super) fn record(&mut self, model: &str, items: OpenItems, slots: usize) {
        let slot_share = |items: usize| (items as f64 / slots.max(1) as f64).min(1.0);
        let share = slot_share(items.max_concurrent);
        let first = Usage {
            average: share,
            observations: 0,
            average_since_first: 0.0,
            peak: share,
        };
        let usage = self.models.entry(model.to_owned()).or_insert(first);
        usage.average += (share - usage.average) * SMOOTHING;
        usage.peak = share.max(usage.peak * PEAK_DECAY);
        if items.all > 0 || usage.observations > 0 {
            usage.observations = usage.observations.saturating_add(1);
            let weight = MIN_SCARCITY_WEIGHT.max(1.0 / f64::from(usage.observations));
            usage.average_since_first +=
                (slot_share(items.all) - usage.average_since_first) * weight;
        }
    }

    /// True if a model's places are nearly always in use.
    pub(super) fn is_scarce(&self, model: Option<&str>) -> bool {
        let usage = model.and_then(|model| self.models.get(model));
        usage.is_some_and(|usage| {
            usage.observations >= MIN_OBSERVATIONS && usage.average_since_first > SCARCITY_THRESHOLD
        })
    }

    /// The share of a model's engines that should be ready for use.
    pub(super) fn ready_share(&self, model: &str) -> f64 {
        let usage = self.models.get(model);
        let peak = usage.map_or(1.0, |usage| usage.peak);
        (peak * READY_SLOTS_PER_PEAK_SLOT).min(1.0)
    }

    /// Of the engines that should be ready, the share that should have the newest
    /// version.
    pub(super) fn newest_share(&self, model: &str) -> f64 {
        let usage = self.models.get(model);
        let average = usage.map_or(0.0, |usage| usage.average);
        (average * NEWEST_SLOTS_PER_USED_SLOT).clamp(MIN_NEWEST_SHARE, 1.0)
    }
}

#[cfg(test)]
mod tests;
