//! Measures the event interval of an engine.
//!
//! Two figures are kept. The momentary interval follows the last few events. The lasting interval
//! is a mean over hundreds of events: other work on an engine's machine slows it down for parts
//! of a second, which averages out, while a slower kind of machine shows.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A new sample has a weight of one over this.
const SMOOTHING_DIVISOR: u64 = 6;
/// A new sample of the lasting interval has a weight of one over this, once there are as many.
const LASTING_SMOOTHING_DIVISOR: u64 = 512;

/// A gap above this multiple of the known interval is a stall, such as a version change, and is
/// not sampled.
const STALL_FACTOR: u64 = 10;
/// Samples required before an interval is reported.
const MIN_SAMPLES: u64 = 4;

const NANOS_PER_MICRO: u64 = 1_000;

/// The smoothed time between two events of a run, shared by all runs at an engine.
#[derive(Debug, Default)]
pub(super) struct EventIntervalMeter {
    interval_us: AtomicU64,
    /// In nanoseconds, since a sample changes it by a small share.
    lasting_ns: AtomicU64,
    samples: AtomicU64,
    lasting_samples: AtomicU64,
}

impl EventIntervalMeter {
    pub(super) fn record(&self, gap: Duration) {
        let gap_us = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
        let known_us = self.interval_us.load(Ordering::Relaxed);
        if self.microseconds().is_some() && gap_us > known_us.saturating_mul(STALL_FACTOR) {
            return;
        }
        let earlier_samples = self.samples.fetch_add(1, Ordering::Relaxed);
        let next_us = match earlier_samples {
            0 => gap_us,
            _ => smoothed(known_us, gap_us, SMOOTHING_DIVISOR),
        };
        self.interval_us.store(next_us, Ordering::Relaxed);
        let lasting_samples = self.lasting_samples.fetch_add(1, Ordering::Relaxed);
        let divisor = lasting_samples
            .saturating_add(1)
            .min(LASTING_SMOOTHING_DIVISOR);
        let gap_ns = gap_us.saturating_mul(NANOS_PER_MICRO);
        let lasting_ns = self.lasting_ns.load(Ordering::Relaxed);
        let next_ns = smoothed(lasting_ns, gap_ns, divisor);
        self.lasting_ns.store(next_ns, Ordering::Relaxed);
    }

    /// The momentary interval. None before `MIN_SAMPLES` samples.
    pub(super) fn microseconds(&self) -> Option<u64> {
        let has_samples = self.samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        has_samples.then(|| self.interval_us.load(Ordering::Relaxed))
    }

    /// The lasting interval. None before `MIN_SAMPLES` samples.
    pub(super) fn lasting_microseconds(&self) -> Option<u64> {
        let has_samples = self.lasting_samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        has_samples.then(|| self.lasting_ns.load(Ordering::Relaxed) / NANOS_PER_MICRO)
    }

    /// Forgets the momentary interval. The lasting one stays: a slow engine that only gets probes
    /// would otherwise have none.
    pub(super) fn reset(&self) {
        self.samples.store(0, Ordering::Relaxed);
    }
}

/// The average of `known`, with a weight of `divisor` less one, and a new sample.
fn smoothed(known: u64, sample: u64, divisor: u64) -> u64 {
    known.saturating_mul(divisor - 1).saturating_add(sample) / divisor
}

#[cfg(test)]
mod tests;
