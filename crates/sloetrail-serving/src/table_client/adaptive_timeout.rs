//! Timeout derived from the latency of earlier calls.

use std::time::Duration;

const MIN_TIMEOUT: Duration = Duration::from_millis(150);
const MAX_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Multiple of the typical latency after which a call times out.
const LATENCY_FACTOR: u32 = 6;
/// A new latency enters the moving average with a weight of one over this.
const SMOOTHING_DIVISOR: u32 = 4;

/// Timeout of a call, adapted to the observed latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveTimeout {
    typical_latency: Duration,
    timeouts: u32,
}

impl AdaptiveTimeout {
    /// Returns the timeout of the next call: a multiple of the typical latency, doubled for each
    /// consecutive timeout, within bounds.
    pub fn timeout(&self) -> Duration {
        let base = (self.typical_latency * LATENCY_FACTOR).max(MIN_TIMEOUT);
        let doubled = base.saturating_mul(2_u32.saturating_pow(self.timeouts));
        doubled.min(MAX_TIMEOUT)
    }

    pub fn typical_latency(&self) -> Duration {
        self.typical_latency
    }

    /// Records the latency of an answered call.
    pub fn record_answer(&mut self, took: Duration) {
        self.timeouts = 0;
        self.typical_latency = match took > self.typical_latency {
            // A higher latency counts at once, so that a slow table is not timed out.
            true => took,
            false => (self.typical_latency * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR,
        };
    }

    /// Records the duration of an answered long poll that could last up to `wait`. If it lasted
    /// that long, the excess is the latency. Otherwise the duration is only an upper bound of the
    /// latency.
    pub fn record_long_poll_answer(&mut self, took: Duration, wait: Duration) {
        if took >= wait {
            self.record_answer(took - wait);
        } else if took < self.typical_latency {
            self.record_answer(took);
        }
    }

    /// Records that a call timed out that had this timeout. Calls that time out together raise the
    /// timeout once: those with an earlier, shorter timeout are no evidence against the current one.
    pub fn record_timeout(&mut self, timeout: Duration) {
        if timeout >= self.timeout() {
            self.timeouts = self.timeouts.saturating_add(1);
        }
    }
}
