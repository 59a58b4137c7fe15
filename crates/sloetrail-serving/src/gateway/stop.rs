//! What a stopping node answers to requests that it does not finish.
//!
//! Once the node refuses requests, one that has not started is refused at once, wherever it stands:
//! its body may be incomplete, or it may wait for a slot or for the table. One that has started is
//! answered by its own work, or with an unknown outcome when the last answers are due.

use crate::shutdown::Shutdown;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::whole_millis;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Other nodes take requests, so that a retry may follow soon. The jitter spreads the retries of callers
/// that are refused together.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const RETRY_JITTER: Duration = Duration::from_millis(100);

/// Whether a call may have taken effect.
#[derive(Debug, Default)]
pub(crate) struct CallProgress(AtomicBool);

impl CallProgress {
    /// Records that the call is about to be sent to a back end or written to the table.
    pub(crate) fn record_start(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    fn has_started(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Returns the problem that ends a call, once the node's stop ends it.
pub(crate) async fn wait_ended(shutdown: &Shutdown, progress: &CallProgress) -> Problem {
    shutdown.refusing().cancelled().await;
    if !progress.has_started() {
        return leaving("the request was not started");
    }
    shutdown.last_answer().cancelled().await;
    Problem::new(
        ResultCode::NodeStopped,
        "the node stopped before the outcome was known",
    )
}

/// The refusal of a request that has not run.
pub(crate) fn leaving(detail: impl Into<String>) -> Problem {
    let delay = MIN_RETRY_AFTER + RETRY_JITTER.mul_f64(rand::random());
    Problem::new(ResultCode::NodeLeaving, detail).with_retry_after_ms(whole_millis(delay))
}
