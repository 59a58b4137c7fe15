//! How long to wait for an answer.

use std::time::Duration;

const LEAST: Duration = Duration::from_millis(150);
const MOST: Duration = Duration::from_millis(3_000);
/// An answer may take this many times the ordinary one.
const FACTOR: u32 = 6;
/// Weight of a new measurement, as a divisor.
const SMOOTHING: u32 = 4;

/// How long to wait for an answer, learnt from those that came.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveTimeout {
    ordinary: Duration,
    silences: u32,
}

impl AdaptiveTimeout {
    /// How long to wait for the next answer: several times an ordinary one, doubled
    /// for each silence in a row, within bounds.
    pub fn timeout(&self) -> Duration {
        let ordinary = (self.ordinary * FACTOR).max(LEAST);
        let doubled = ordinary.saturating_mul(2_u32.saturating_pow(self.silences));
        doubled.min(MOST)
    }

    /// How long an ordinary answer takes.
    pub fn typical_latency(&self) -> Duration {
        self.ordinary
    }

    /// An answer took this long.
    pub fn record_answer(&mut self, took: Duration) {
        self.silences = 0;
        self.ordinary = match took > self.ordinary {
            // A table that turns slow is believed at once.
            true => took,
            false => (self.ordinary * (SMOOTHING - 1) + took) / SMOOTHING,
        };
    }

    /// An answer that could be held open for `wait` took this long. One that was held
    /// to the end tells what it took on top; an earlier one tells only that an ordinary
    /// answer takes no longer.
    pub fn record_long_poll_answer(&mut self, took: Duration, wait: Duration) {
        if took >= wait {
            self.record_answer(took - wait);
        } else if took < self.ordinary {
            self.record_answer(took);
        }
    }

    /// No answer came in time.
    pub fn record_timeout(&mut self) {
        self.silences = self.silences.saturating_add(1);
    }
}
