//! Knowing that the process did not run for a while.
//!
//! A process that was stopped and wakes believes what it believed before. Until the
//! directory and the operator's rows have answered a question that was asked after it woke,
//! or had time to, no back end is chosen: one of them may have left meanwhile, or its zone
//! may be evacuated.

use crate::events::{self, Event};
use crate::follow::TakenIn;
use sloetrail_clock::BootInstant;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// A tick that comes this late means that the process did not run.
const PAUSE_LEAST: Duration = Duration::from_millis(800);
/// A change is told within this time after the process woke, if the table answers.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const SETTLE_STEP: Duration = Duration::from_millis(10);

/// When the process last ran and when it last woke.
#[derive(Clone, Copy, Debug)]
struct Wakefulness {
    ticked_at: BootInstant,
    woken_at: Option<BootInstant>,
}

impl Wakefulness {
    fn new(now: BootInstant) -> Self {
        Self {
            ticked_at: now,
            woken_at: None,
        }
    }

    /// Notes that the process runs; returns how long it did not, if that was long.
    fn note(&mut self, now: BootInstant) -> Option<Duration> {
        let paused = now.saturating_duration_since(self.ticked_at);
        self.ticked_at = now;
        if paused < PAUSE_LEAST {
            return None;
        }
        self.woken_at = Some(now);
        Some(paused)
    }

    /// True unless the process has just woken and the question that was answered last
    /// was asked before.
    fn is_settled(&mut self, now: BootInstant, asked_at: Option<BootInstant>) -> bool {
        let Some(woken_at) = self.woken_at else {
            return true;
        };
        let was_asked_since = asked_at.is_some_and(|asked_at| asked_at > woken_at);
        let had_time = now.saturating_duration_since(woken_at) >= SETTLE_TIME;
        if was_asked_since || had_time {
            self.woken_at = None;
        }
        self.woken_at.is_none()
    }
}

/// Keeps beliefs from before a pause from being acted on.
pub(crate) struct SuspensionGuard {
    /// What back ends are chosen by, as far as it was taken in: the directory, the operator's
    /// rows and the crashes under requests.
    beliefs: Vec<TakenIn>,
    state: Mutex<Wakefulness>,
}

impl SuspensionGuard {
    /// A guard over what back ends are chosen by; it watches until it is dropped.
    pub(crate) fn start(beliefs: impl Into<Vec<TakenIn>>) -> Arc<Self> {
        let guard = Arc::new(Self {
            beliefs: beliefs.into(),
            state: Mutex::new(Wakefulness::new(BootInstant::now())),
        });
        let watched = Arc::downgrade(&guard);
        tokio::spawn(async move {
            while let Some(guard) = watched.upgrade() {
                guard.note();
                drop(guard);
                tokio::time::sleep(TICK).await;
            }
        });
        guard
    }

    fn note(&self) {
        let paused = self
            .state
            .lock()
            .expect("not poisoned")
            .note(BootInstant::now());
        if let Some(paused) = paused {
            events::emit(&Event::ProcessPaused {
                paused_ms: paused.as_millis() as u64,
            });
        }
    }

    /// True if back ends may be chosen on what is believed now.
    pub(crate) fn is_settled(&self) -> bool {
        self.note();
        let asked = self.beliefs.iter().map(|taken_in| *taken_in.borrow());
        let asked_at = asked.min().flatten();
        let mut state = self.state.lock().expect("not poisoned");
        state.is_settled(BootInstant::now(), asked_at)
    }

    /// Waits until back ends may be chosen.
    pub(crate) async fn wait_settled(&self) {
        while !self.is_settled() {
            tokio::time::sleep(SETTLE_STEP).await;
        }
    }
}

#[cfg(test)]
mod tests;
