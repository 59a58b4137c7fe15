//! How much of their engines' room the models use.

use std::collections::BTreeMap;

/// Weight of one look in what is known; looks come ten times a second.
const SMOOTHING: f64 = 0.012;
/// Engines that should have the newest version, for each place in use.
const NEWEST_FOR_USED: f64 = 2.0;
const NEWEST_LEAST: f64 = 0.5;

/// The smoothed share of the places in use, by model.
#[derive(Debug, Default)]
pub(super) struct PlaceUsage {
    used: BTreeMap<String, f64>,
}

impl PlaceUsage {
    /// Takes in how many places a model's items take of those that its engines have;
    /// items that wait for a place take one as well.
    pub(super) fn note(&mut self, model: &str, items: usize, places: usize) {
        let share = (items as f64 / places.max(1) as f64).min(1.0);
        let used = self.used.entry(model.to_owned()).or_insert(share);
        *used += (share - *used) * SMOOTHING;
    }

    /// The share of a model's engines that should have the newest version.
    pub(super) fn newest_share(&self, model: &str) -> f64 {
        let used = self.used.get(model).copied().unwrap_or_default();
        (used * NEWEST_FOR_USED).clamp(NEWEST_LEAST, 1.0)
    }
}
