//! Measures the event interval of an engine.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A new sample has a weight of one over this.
const SMOOTHING_DIVISOR: u64 = 6;

/// A gap above this multiple of the known interval is a stall, such as a version change, and is
/// not sampled.
const STALL_FACTOR: u64 = 10;
/// Samples required before an interval is reported.
const MIN_SAMPLES: u64 = 4;

/// The smoothed time between two events of a run, shared by all runs at an engine.
#[derive(Debug, Default)]
pub(super) struct EventIntervalMeter {
    interval_us: AtomicU64,
    samples: AtomicU64,
}

impl EventIntervalMeter {
    pub(super) fn record(&self, gap: Duration) {
        let gap_us = gap.as_micros() as u64;
        let known_us = self.interval_us.load(Ordering::Relaxed);
        if self.microseconds().is_some() && gap_us > known_us.saturating_mul(STALL_FACTOR) {
            return;
        }
        let next_us = match self.samples.fetch_add(1, Ordering::Relaxed) {
            0 => gap_us,
            _ => (known_us * (SMOOTHING_DIVISOR - 1) + gap_us) / SMOOTHING_DIVISOR,
        };
        self.interval_us.store(next_us, Ordering::Relaxed);
    }

    /// The smoothed interval. None before `MIN_SAMPLES` samples.
    pub(super) fn microseconds(&self) -> Option<u64> {
        let has_samples = self.samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        has_samples.then(|| self.interval_us.load(Ordering::Relaxed))
    }

    pub(super) fn reset(&self) {
        self.samples.store(0, Ordering::Relaxed);
    }
}
