//! The highest capacity of each model in the last seconds.
//!
//! While engines restart, drain or recover from a loss, the momentary capacity drops for a short
//! time. A backlog computed from it would refuse batches that fit.

use sloetrail_clock::BootInstant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Several times the duration of a weight change, which is about 0.9 s.
const WINDOW: Duration = Duration::from_secs(5);

/// Samples of the capacity of each model within a window.
#[derive(Debug, Default)]
pub(in crate::owner) struct RecentCapacities {
    samples: BTreeMap<String, Vec<(BootInstant, f64)>>,
}

impl RecentCapacities {
    /// Records the capacities of all models, in events per second. Models that are no longer
    /// among them are forgotten.
    pub(in crate::owner) fn record(
        &mut self,
        now: BootInstant,
        capacities: impl IntoIterator<Item = (String, f64)>,
    ) {
        let mut earlier = std::mem::take(&mut self.samples);
        for (model, capacity) in capacities {
            let mut samples = earlier.remove(&model).unwrap_or_default();
            samples.retain(|(at, _)| now.saturating_duration_since(*at) <= WINDOW);
            samples.push((now, capacity));
            self.samples.insert(model, samples);
        }
    }

    /// The highest recent capacity of a model; zero if none is known.
    pub(in crate::owner) fn highest(&self, model: &str) -> f64 {
        let samples = self.samples.get(model).into_iter().flatten();
        samples.map(|(_, capacity)| *capacity).fold(0.0, f64::max)
    }
}
