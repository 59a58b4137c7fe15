//! How fast an engine makes events.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Weight of a new measurement, as a divisor.
const SMOOTHING: u64 = 6;

/// A gap this many times the known pace is a stall, as while weights change, and tells
/// nothing of the pace.
const STALL_FACTOR: u64 = 10;
/// Measurements before the pace is believed.
const MEASUREMENTS_LEAST: u64 = 4;

/// A smoothed time between two events of one run, shared by the runs on an engine.
#[derive(Debug, Default)]
pub(super) struct EventIntervalMeter {
    microseconds: AtomicU64,
    measurements: AtomicU64,
}

impl EventIntervalMeter {
    /// Takes in the time between two events.
    pub(super) fn record(&self, gap: Duration) {
        let gap = gap.as_micros() as u64;
        let known = self.microseconds.load(Ordering::Relaxed);
        if self.microseconds().is_some() && gap > known.saturating_mul(STALL_FACTOR) {
            return;
        }
        let next = match self.measurements.fetch_add(1, Ordering::Relaxed) {
            0 => gap,
            _ => (known * (SMOOTHING - 1) + gap) / SMOOTHING,
        };
        self.microseconds.store(next, Ordering::Relaxed);
    }

    /// The smoothed time in microseconds; nothing before the first few events.
    pub(super) fn microseconds(&self) -> Option<u64> {
        let measured = self.measurements.load(Ordering::Relaxed) >= MEASUREMENTS_LEAST;
        measured.then(|| self.microseconds.load(Ordering::Relaxed))
    }

    /// Forgets what was measured.
    pub(super) fn reset(&self) {
        self.measurements.store(0, Ordering::Relaxed);
    }
}
