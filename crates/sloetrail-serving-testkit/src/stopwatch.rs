//! Time measurement that excludes scheduling delays of a busy machine.
//!
//! A [`Stopwatch`] runs several tasks that sleep repeatedly and sum the time of their sleeps.
//! Each sleep counts up to a maximum: the excess is time in which the machine did not run due
//! tasks. On an idle machine the result matches a clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The requested length of each sleep.
const SLEEP: Duration = Duration::from_millis(1);
/// The most that one sleep counts; above the timer lateness of an idle machine (2 ms).
const MAX_COUNTED_SLEEP: Duration = Duration::from_millis(5);
/// Several tasks, as a delay may affect only some threads.
const SLEEPER_COUNT: usize = 4;

/// Measures elapsed time, except while the machine does not run due tasks.
pub struct Stopwatch {
    /// The time that each task has counted, in microseconds.
    counts: Vec<Arc<AtomicU64>>,
    /// Aborted when the stopwatch is dropped.
    _sleepers: JoinSet<()>,
}

impl Stopwatch {
    /// Starts a stopwatch on the current runtime.
    pub fn start() -> Self {
        let mut sleepers = JoinSet::new();
        let mut counts = Vec::new();
        for _ in 0..SLEEPER_COUNT {
            let count = Arc::new(AtomicU64::new(0));
            sleepers.spawn(count_sleeps(Arc::clone(&count), Instant::now()));
            counts.push(count);
        }
        Self {
            counts,
            _sleepers: sleepers,
        }
    }

    /// The time since the start: the lowest count of all tasks, which excludes the most delay.
    pub fn elapsed(&self) -> Duration {
        let counts = self.counts.iter();
        let min_us = counts.map(|count| count.load(Ordering::SeqCst)).min();
        Duration::from_micros(min_us.unwrap_or_default())
    }
}

async fn count_sleeps(count: Arc<AtomicU64>, mut before: Instant) {
    loop {
        tokio::time::sleep(SLEEP).await;
        let now = Instant::now();
        let counted = (now - before).min(MAX_COUNTED_SLEEP);
        count.fetch_add(counted.as_micros() as u64, Ordering::SeqCst);
        before = now;
    }
}
