//! Time as a test may hold it against the code under test: without what a busy machine adds.
//!
//! Bounds on how long something takes fail on a busy machine for reasons that are none of
//! the code's. A [`Stopwatch`] lets several tasks sleep for a moment, again and again, and
//! counts what each sleep took, but no more than a little beyond the moment: the rest is
//! time in which the machine did not run what was due. On an idle machine it shows what a
//! clock shows.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long each sleep is asked to take.
const SLEEP: Duration = Duration::from_millis(1);
/// What a sleep counts at most. Timers of an idle machine are up to 2 ms late.
const MAX_COUNTED_SLEEP: Duration = Duration::from_millis(5);
/// Tasks that sleep: a delay may strike one thread and spare the others.
const SLEEPER_COUNT: usize = 4;

/// A watch that stands still while the machine does not run what is due.
pub struct Stopwatch {
    /// What each task has counted, in microseconds.
    counts: Vec<Arc<AtomicU64>>,
    /// They end with the watch.
    _sleepers: JoinSet<()>,
}

impl Stopwatch {
    /// Starts a watch on the current runtime.
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

    /// The time since the start, less what the machine has added for any of the tasks.
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
