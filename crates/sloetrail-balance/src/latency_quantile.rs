//! How long the slower of a service's answers take.

use std::time::Duration;

/// The part of the answers that takes no longer.
const QUANTILE: f64 = 0.9;
/// How much a single answer moves the estimate. A service that turns slow is known to be
/// after about ten answers, one that is fast again after about a hundred.
const STEP: f64 = 0.1;
/// Below this the estimate does not fall.
const LEAST: Duration = Duration::from_millis(1);

/// An estimate of the time within which nine of ten answers come. It follows the answers:
/// each one that took longer raises it, each other one lowers it by a ninth as much.
#[derive(Clone, Copy, Debug)]
pub struct LatencyQuantile {
    time: Duration,
}

impl Default for LatencyQuantile {
    fn default() -> Self {
        Self { time: LEAST }
    }
}

impl LatencyQuantile {
    /// Takes in how long an answer took.
    pub fn record(&mut self, took: Duration) {
        let factor = match took > self.time {
            true => 1.0 + STEP * QUANTILE,
            false => 1.0 - STEP * (1.0 - QUANTILE),
        };
        self.time = match self.time == LEAST {
            // A first answer is better than no knowledge.
            true => took.max(LEAST),
            false => self.time.mul_f64(factor).max(LEAST),
        };
    }

    /// Nine of ten answers come within this time.
    pub fn estimate(&self) -> Duration {
        self.time
    }
}
