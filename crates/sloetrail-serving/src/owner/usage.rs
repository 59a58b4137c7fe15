//! How much of their engines' room the models use.

use std::collections::BTreeMap;

/// Weight of one look in the average; looks come ten times a second.
const SMOOTHING: f64 = 0.012;
/// What is left of a peak after one look.
const PEAK_KEPT: f64 = 0.99;
/// Places that should be ready for use, for each one used at the peak.
const READY_FOR_PEAK: f64 = 2.0;
const READY_LEAST: f64 = 0.1;
/// Engines that should have the newest version, for each place in use on average.
const NEWEST_FOR_USED: f64 = 2.0;
const NEWEST_LEAST: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Usage {
    average: f64,
    peak: f64,
}

/// The share of the places in use, by model.
#[derive(Debug, Default)]
pub(super) struct PlaceUsage {
    models: BTreeMap<String, Usage>,
}

impl PlaceUsage {
    /// Takes in how many places a model's items take of those that its engines have;
    /// items that wait for a place take one as well.
    pub(super) fn note(&mut self, model: &str, items: usize, places: usize) {
        let share = (items as f64 / places.max(1) as f64).min(1.0);
        let first = Usage {
            average: share,
            peak: share,
        };
        let usage = self.models.entry(model.to_owned()).or_insert(first);
        usage.average += (share - usage.average) * SMOOTHING;
        usage.peak = share.max(usage.peak * PEAK_KEPT);
    }

    /// The share of a model's engines that should be ready for use.
    pub(super) fn ready_share(&self, model: &str) -> f64 {
        let usage = self.models.get(model);
        let peak = usage.map_or(1.0, |usage| usage.peak);
        (peak * READY_FOR_PEAK).clamp(READY_LEAST, 1.0)
    }

    /// Of the engines that should be ready, the share that should have the newest
    /// version.
    pub(super) fn newest_share(&self, model: &str) -> f64 {
        let usage = self.models.get(model);
        let average = usage.map_or(0.0, |usage| usage.average);
        (average * NEWEST_FOR_USED).clamp(NEWEST_LEAST, 1.0)
    }
}
