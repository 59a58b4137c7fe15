//! Slot utilization of each model's engines.

use std::collections::BTreeMap;

/// Weight of one observation in the average, at ten observations per second.
const SMOOTHING: f64 = 0.012;
/// Factor by which the peak decays per observation.
const PEAK_DECAY: f64 = 0.99;
/// Ratio of the share of ready engines to the peak share of slots used.
const READY_SHARE_FACTOR: f64 = 2.0;
/// Ratio of the share of ready engines with the newest version to the mean share of slots used.
const NEWEST_SHARE_FACTOR: f64 = 2.0;
const MIN_NEWEST_SHARE: f64 = 0.5;

/// Slots are scarce above this mean utilization: a step's duration then depends on its total
/// work rather than on its longest text.
const SCARCITY_THRESHOLD: f64 = 0.75;
/// Minimum number of observations, counted from the first item, before slots count as scarce.
const MIN_OBSERVATIONS: u32 = 30;
/// Lower bound on the weight of one observation in the average since the first item.
const MIN_SCARCITY_WEIGHT: f64 = 0.02;

#[derive(Clone, Copy, Debug)]
struct Usage {
    average: f64,
    /// Observations since the first item.
    observations: u32,
    /// Average since the first item, so that the idle time before it does not count.
    average_since_first: f64,
    peak: f64,
}

/// Open items of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OpenItems {
    /// Items that run or wait for a slot.
    pub(super) all: usize,
    /// Maximum number of these items to run at the same time.
    pub(super) max_concurrent: usize,
}

/// Share of slots in use, by model.
#[derive(Debug, Default)]
pub(super) struct SlotUsage {
    models: BTreeMap<String, Usage>,
}

impl SlotUsage {
    /// Records an observation of a model's open items and of the slots of its engines. Waiting
    /// items count as using a slot. Items beyond `max_concurrent` count only for scarcity.
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

    /// True if a model's slots are nearly always in use.
    pub(super) fn is_scarce(&self, model: Option<&str>) -> bool {
        let usage = model.and_then(|model| self.models.get(model));
        usage.is_some_and(|usage| {
            usage.observations >= MIN_OBSERVATIONS && usage.average_since_first > SCARCITY_THRESHOLD
        })
    }

    /// Returns the share of a model's engines that should be ready for use.
    pub(super) fn ready_share(&self, model: &str) -> f64 {
        let usage = self.models.get(model);
        let peak = usage.map_or(1.0, |usage| usage.peak);
        (peak * READY_SHARE_FACTOR).min(1.0)
    }

    /// Returns the share of the ready engines that should have the newest version.
    pub(super) fn newest_share(&self, model: &str) -> f64 {
        let usage = self.models.get(model);
        let average = usage.map_or(0.0, |usage| usage.average);
        (average * NEWEST_SHARE_FACTOR).clamp(MIN_NEWEST_SHARE, 1.0)
    }
}

#[cfg(test)]
mod tests;
