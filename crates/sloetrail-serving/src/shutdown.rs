//! The stages of a node's stop.
//!
//! A stage begins at a fixed time after the stop signal, and nothing outside the node can delay
//! it. Work that waits for the table, a peer, a back end or a caller runs beside the stages.
//!
//! | stage | from | the node |
//! | --- | --- | --- |
//! | unready | the signal | reports that it is not ready, releases its leases, takes requests |
//! | refusing | [`TAKING_TIME`] | accepts no connections and starts no requests at back ends |
//! | last answer | [`GRACE_MARGIN`] before the end | answers the requests that are still in flight |

use sloetrail_clock::BootInstant;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How long a stopping node takes requests, so that the platform sees first that it is not ready.
const TAKING_TIME: Duration = Duration::from_millis(2_500);
/// Time reserved at the end of the grace period for the last answers, writes and the exit.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// How long callers may take to receive the last answers; within [`GRACE_MARGIN`].
const LAST_ANSWER_TIME: Duration = Duration::from_millis(300);

/// The times at which the stages of a stop begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopSchedule {
    pub(crate) signalled_at: BootInstant,
    pub(crate) refuse_at: BootInstant,
    pub(crate) last_answer_at: BootInstant,
    /// When the connections to callers are closed.
    pub(crate) close_at: BootInstant,
}

impl StopSchedule {
    pub(crate) fn new(signalled_at: BootInstant, grace: Duration) -> Self {
        let last_answer_at = signalled_at + grace.saturating_sub(GRACE_MARGIN);
        Self {
            signalled_at,
            refuse_at: last_answer_at.min(signalled_at + TAKING_TIME),
            last_answer_at,
            close_at: last_answer_at + LAST_ANSWER_TIME,
        }
    }
}

/// The present stage of a node. All clones show the same stage.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    schedule: Arc<OnceLock<StopSchedule>>,
    unready: CancellationToken,
    refusing: CancellationToken,
    last_answer: CancellationToken,
}

impl Shutdown {
    /// Enters the first stage.
    pub(crate) fn begin(&self, schedule: StopSchedule) {
        // A node stops once.
        let _ = self.schedule.set(schedule);
        self.unready.cancel();
    }

    pub(crate) fn refuse_requests(&self) {
        self.refusing.cancel();
    }

    pub(crate) fn give_last_answers(&self) {
        self.last_answer.cancel();
    }

    /// Cancelled once the node was told to stop.
    pub(crate) fn stopping(&self) -> &CancellationToken {
        &self.unready
    }

    /// Cancelled once the node starts no more requests.
    pub(crate) fn refusing(&self) -> &CancellationToken {
        &self.refusing
    }

    /// Cancelled once the requests in flight have to be answered.
    pub(crate) fn last_answer(&self) -> &CancellationToken {
        &self.last_answer
    }

    /// Returns the time until the last answers; None unless the node is stopping.
    pub(crate) fn remaining(&self) -> Option<Duration> {
        let schedule = self.schedule.get()?;
        let now = BootInstant::now();
        Some(schedule.last_answer_at.saturating_duration_since(now))
    }

    /// True while the node starts requests at back ends.
    pub(crate) fn starts_requests(&self) -> bool {
        !self.refusing.is_cancelled()
    }
}

#[cfg(test)]
mod tests;
