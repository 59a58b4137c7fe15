//! Running estimate of a service's 90th percentile latency.

use std::time::Duration;

const QUANTILE: f64 = 0.9;
/// Relative change of the estimate per answer. A service that turns slow shows after about ten
/// answers, one that is fast again after about a hundred.
const STEP: f64 = 0.1;
const MIN_ESTIMATE: Duration = Duration::from_millis(1);

/// Estimate of the 90th percentile latency.
///
/// A slower answer raises the estimate and a faster one lowers it by a ninth as much, so that
/// the estimate settles where one answer in ten is slower.
#[derive(Clone, Copy, Debug)]
pub struct LatencyQuantile {
    estimate: Duration,
}

impl Default for LatencyQuantile {
    fn default() -> Self {
        Self {
            estimate: MIN_ESTIMATE,
        }
    }
}

impl LatencyQuantile {
    pub fn record(&mut self, latency: Duration) {
        let factor = match latency > self.estimate {
            true => 1.0 + STEP * QUANTILE,
            false => 1.0 - STEP * (1.0 - QUANTILE),
        };
        self.estimate = match self.estimate == MIN_ESTIMATE {
            // The first answer sets the estimate.
            true => latency.max(MIN_ESTIMATE),
            false => self.estimate.mul_f64(factor).max(MIN_ESTIMATE),
        };
    }

    pub fn estimate(&self) -> Duration {
        self.estimate
    }
}
