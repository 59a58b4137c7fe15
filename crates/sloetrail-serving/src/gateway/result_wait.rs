//! The duration of a long poll for results.
//!
//! A trainer continues once the groups that it requires are complete. Answering it earlier
//! would delay the completing results until its next read, so the poll lasts until the required
//! groups are complete or the reader's waiting time is over.

use sloetrail_batch::{BatchHeader, ListedResult};
use sloetrail_clock::BootInstant;
use sloetrail_types::Timestamp;
use std::time::Duration;

const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Usual time between two reads of a trainer.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum bytes of text in one answer.
pub(super) const MAX_PAGE_BYTES: usize = 900_000;

/// The waiting time of one reader.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResultWait {
    started_at: BootInstant,
    wait: Duration,
    /// Maximum wait for more results while there are some.
    gather_wait: Duration,
}

impl ResultWait {
    /// The wait of a reader that arrived at `started_at` and waits up to `wait`. `now_ms` is the
    /// table's clock at that time; the batch counts as due if it is `None`.
    pub(super) fn new(
        started_at: BootInstant,
        wait: Duration,
        header: &BatchHeader,
        now_ms: Option<u64>,
    ) -> Self {
        let due_in = now_ms.map_or(Duration::ZERO, |now_ms| {
            header.due_at().since(Timestamp(now_ms))
        });
        Self {
            started_at,
            wait: wait.min(MAX_WAIT),
            // Once the batch is due every result counts: wait no longer than until the next read.
            gather_wait: due_in.max(READ_INTERVAL),
        }
    }

    /// The wait of a reader that needs any result, required or not.
    pub(super) fn for_any_result(started_at: BootInstant, wait: Duration) -> Self {
        Self {
            started_at,
            wait: wait.min(MAX_WAIT),
            gather_wait: Duration::ZERO,
        }
    }

    /// Returns when to answer the reader, given the results known so far.
    pub(super) fn wait_deadline(&self, known: &[ListedResult]) -> BootInstant {
        if known.is_empty() {
            return self.started_at + self.wait;
        }
        if is_enough(known) {
            return self.started_at;
        }
        self.started_at + self.wait.min(self.gather_wait)
    }
}

/// Returns true if the required groups are complete, or if the answer is full.
fn is_enough(known: &[ListedResult]) -> bool {
    let bytes: usize = known.iter().map(|result| result.text.len()).sum();
    bytes >= MAX_PAGE_BYTES || known.iter().any(|result| result.groups_are_whole)
}

#[cfg(test)]
mod tests;
