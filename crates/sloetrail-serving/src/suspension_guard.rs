//! Detects that the process was suspended, and delays the choice of back ends afterwards.
//!
//! After a suspension the cached rows may be stale: a back end may be leaving or its zone may be
//! evacuated. No back end is chosen until every source has applied the answer to a
//! read that was sent after the process resumed, or until [`SETTLE_TIMEOUT`] expires.

use crate::events::{self, Event};
use crate::follow::LastApplied;
use crate::tasks;
use parking_lot::Mutex;
use sloetrail_clock::BootInstant;
use sloetrail_types::whole_millis;
use std::sync::{Arc, Weak};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// A gap between two ticks that counts as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(800);
/// Time after which cached rows are used again, even if the table has not answered.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// When the process last ran and when it last resumed.
#[derive(Clone, Copy, Debug)]
struct SuspensionDetector {
    ticked_at: BootInstant,
    resumed_at: Option<BootInstant>,
}

impl SuspensionDetector {
    fn new(now: BootInstant) -> Self {
        Self {
            ticked_at: now,
            resumed_at: None,
        }
    }

    /// Records that the process is running. Returns the length of a suspension that just ended.
    fn record_tick(&mut self, now: BootInstant) -> Option<Duration> {
        let suspended_for = now.saturating_duration_since(self.ticked_at);
        self.ticked_at = now;
        if suspended_for < MIN_SUSPENSION {
            return None;
        }
        self.resumed_at = Some(now);
        Some(suspended_for)
    }

    /// Returns whether the cached rows may be used, given when the request for the last applied
    /// answer was sent.
    fn is_settled(&mut self, now: BootInstant, requested_at: Option<BootInstant>) -> bool {
        let Some(resumed_at) = self.resumed_at else {
            return true;
        };
        let was_requested_since =
            requested_at.is_some_and(|requested_at| requested_at > resumed_at);
        let had_time = now.saturating_duration_since(resumed_at) >= SETTLE_TIMEOUT;
        if was_requested_since || had_time {
            self.resumed_at = None;
        }
        self.resumed_at.is_none()
    }
}

/// Prevents decisions based on rows that were cached before a suspension.
pub(crate) struct SuspensionGuard {
    /// When the last applied answers were requested: for the directory, the operator's rows and
    /// the recorded crashes.
    sources: Vec<LastApplied>,
    state: Mutex<SuspensionDetector>,
}

impl SuspensionGuard {
    /// Starts a guard over the given sources. Its task ends when the guard is dropped.
    pub(crate) fn start(sources: impl Into<Vec<LastApplied>>) -> Arc<Self> {
        let guard = Arc::new(Self {
            sources: sources.into(),
            state: Mutex::new(SuspensionDetector::new(BootInstant::now())),
        });
        let watched = Arc::downgrade(&guard);
        tasks::spawn_part("suspension guard", move || {
            let watched = Weak::clone(&watched);
            async move {
                while let Some(guard) = watched.upgrade() {
                    guard.record_tick();
                    drop(guard);
                    tokio::time::sleep(TICK).await;
                }
            }
        });
        guard
    }

    fn record_tick(&self) {
        let suspended_for = self.state.lock().record_tick(BootInstant::now());
        if let Some(suspended_for) = suspended_for {
            events::emit(&Event::ProcessPaused {
                paused_ms: whole_millis(suspended_for),
            });
        }
    }

    /// Returns whether back ends may be chosen from the cached rows.
    pub(crate) fn is_settled(&self) -> bool {
        self.record_tick();
        let request_times = self.sources.iter().map(|applied| *applied.borrow());
        let requested_at = request_times.min().flatten();
        let mut state = self.state.lock();
        state.is_settled(BootInstant::now(), requested_at)
    }

    /// Waits until back ends may be chosen from the cached rows.
    pub(crate) async fn wait_settled(&self) {
        while !self.is_settled() {
            tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests;
