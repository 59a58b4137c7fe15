//! How long a reader of results that gives a waiting time is kept waiting.
//!
//! A trainer goes on once the groups that it waits for are whole, and reads about twice a
//! second. A reader that was answered with results that complete nothing leaves, and the
//! results that complete its step lie unread until it comes again. So it is kept while
//! nothing that it can use is there, within the time that it gave.

use sloetrail_batch::{BatchHeader, ListedResult};
use sloetrail_clock::BootInstant;
use std::time::Duration;

/// The most that a reader is kept, whatever it asks for: a second, as trainers ask.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// How often trainers read, by the operators' pages: about twice a second.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of text that one answer may hold.
pub(super) const MAX_PAGE_BYTES: usize = 900_000;

/// The time of one reader.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResultWait {
    began: BootInstant,
    wait: Duration,
    /// How long it may be kept for more than it has.
    gathering: Duration,
}

impl ResultWait {
    /// A reader that came at `began` and waits for `wait`. `now_ms` is the table's clock then;
    /// without it the batch counts as due.
    pub(super) fn new(
        began: BootInstant,
        wait: Duration,
        header: &BatchHeader,
        now_ms: Option<u64>,
    ) -> Self {
        let due_at_ms = header.accepted_at_ms + header.run_target_ms;
        let due_in_ms = now_ms.map_or(0, |now_ms| due_at_ms.saturating_sub(now_ms));
        let due_in = Duration::from_millis(due_in_ms);
        Self {
            began,
            wait: wait.min(MAX_WAIT),
            // Each group counts once the batch is due; the reader is kept no longer then than
            // it would have stayed away.
            gathering: due_in.max(READ_INTERVAL),
        }
    }

    /// A reader that can use any result.
    pub(super) fn for_any_result(began: BootInstant, wait: Duration) -> Self {
        Self {
            began,
            wait: wait.min(MAX_WAIT),
            gathering: Duration::ZERO,
        }
    }

    /// Until when the reader is kept, with what is known for it.
    pub(super) fn wait_deadline(&self, known: &[ListedResult]) -> BootInstant {
        if known.is_empty() {
            return self.began + self.wait;
        }
        if is_enough(known) {
            return self.began;
        }
        self.began + self.wait.min(self.gathering)
    }
}

/// True if a reader need not wait for more: the groups that its trainer waits for are whole,
/// or one answer holds no more.
fn is_enough(known: &[ListedResult]) -> bool {
    let bytes: usize = known.iter().map(|result| result.text.len()).sum();
    bytes >= MAX_PAGE_BYTES || known.iter().any(|result| result.groups_are_whole)
}

#[cfg(test)]
mod tests;
