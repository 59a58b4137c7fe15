//! Submissions at this node whose outcome is open: still being committed, or without an answer.
//!
//! The header of such a batch may be written after it was looked for, so that a resubmission must
//! not be refused as not run.

use parking_lot::Mutex;
use sloetrail_batch::BatchId;
use sloetrail_clock::BootInstant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longer than the time that a route gives a submission and its retries.
const MAX_OPEN_TIME: Duration = Duration::from_secs(60);

/// The submissions whose outcome is open, by batch and number of the submission.
#[derive(Default)]
pub(super) struct UnsettledSubmissions {
    begun_at: Mutex<BTreeMap<(BatchId, u64), BootInstant>>,
}

/// A submission whose outcome is open. It remains open if this is dropped without being settled,
/// as when its caller disconnects.
#[must_use]
pub(super) struct OpenSubmission<'a> {
    all: &'a UnsettledSubmissions,
    key: (BatchId, u64),
}

impl UnsettledSubmissions {
    pub(super) fn begin(&self, id: &str) -> OpenSubmission<'_> {
        let now = BootInstant::now();
        let mut begun_at = self.begun_at.lock();
        begun_at.retain(|_, begun_at| now.saturating_duration_since(*begun_at) <= MAX_OPEN_TIME);
        let of_batch = begun_at.range((id.to_owned(), 0)..=(id.to_owned(), u64::MAX));
        let number = of_batch.last().map_or(0, |((_, number), _)| number + 1);
        let key = (id.to_owned(), number);
        begun_at.insert(key.clone(), now);
        OpenSubmission { all: self, key }
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        let begun_at = self.begun_at.lock();
        let mut of_batch = begun_at.range((id.to_owned(), 0)..=(id.to_owned(), u64::MAX));
        of_batch.next().is_some()
    }
}

impl OpenSubmission<'_> {
    /// Records that the table has settled the outcome.
    pub(super) fn settle(self) {
        self.all.begun_at.lock().remove(&self.key);
    }
}

#[cfg(test)]
mod tests;
