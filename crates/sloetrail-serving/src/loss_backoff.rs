//! Exponential backoff for back ends that lose requests.
//!
//! The directory does not show that a back end has crashed until its row is deleted, and the row
//! does not change when the back end recovers. A back end that lost a request is therefore
//! retried after a delay that doubles with each further loss and resets on success.

use sloetrail_clock::BootInstant;
use std::time::Duration;

const INITIAL_DELAY: Duration = Duration::from_millis(60);
/// Delay after a back end refused a request because it is full.
pub(crate) const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_DOUBLINGS: u32 = 5;
/// Losses within this time of the last one that counted do not count.
const LOSS_MERGE_WINDOW: Duration = Duration::from_millis(50);

/// Backoff state of one back end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LossBackoff {
    losses: u32,
    /// The last loss that counted.
    last_loss: Option<BootInstant>,
    until: Option<BootInstant>,
}

impl LossBackoff {
    /// Records that a request or run was lost.
    pub(crate) fn record_loss(&mut self, now: BootInstant) {
        let is_same_cause = self
            .last_loss
            .is_some_and(|last| now.saturating_duration_since(last) < LOSS_MERGE_WINDOW);
        if is_same_cause {
            return;
        }
        self.last_loss = Some(now);
        let doublings = self.losses.min(MAX_DOUBLINGS);
        self.losses += 1;
        self.until = Some(now + INITIAL_DELAY * 2_u32.pow(doublings));
    }

    /// Records that the back end refused a request without running it.
    pub(crate) fn record_refusal(&mut self, now: BootInstant) {
        let until = now + REFUSAL_BACKOFF;
        self.until = self.until.max(Some(until));
    }

    /// Resets the backoff after a completed request or run.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the back end may be tried.
    pub(crate) fn is_over(&self, now: BootInstant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Returns the remaining delay. None if the back end may be tried.
    pub(crate) fn remaining(&self, now: BootInstant) -> Option<Duration> {
        let until = self.until.filter(|until| now < *until)?;
        Some(until - now)
    }

    /// Returns whether the last attempt was lost or refused.
    pub(crate) fn is_suspect(&self) -> bool {
        self.until.is_some()
    }
}

#[cfg(test)]
mod tests;
