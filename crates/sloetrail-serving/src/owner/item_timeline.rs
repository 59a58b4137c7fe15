//! What has become of an item, as far as its owner has seen it: where its time went.

use sloetrail_clock::BootInstant;
use std::time::Duration;

/// The times of one item under one owner.
#[derive(Clone, Debug, Default)]
pub(super) struct ItemTimeline {
    first_run_at: Option<BootInstant>,
    pub(super) runs: usize,
    running: Duration,
    /// Events that its runs have made, those made again included.
    pub(super) generated_events: usize,
    text_completed_at: Option<BootInstant>,
    scored_at: Option<BootInstant>,
}

/// Where an item's time went, from the opening of its batch until it was listed. The
/// parts add up to the whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ItemTimes {
    /// From the opening of the batch to the first run.
    pub(super) waiting: Duration,
    /// At engines.
    pub(super) running: Duration,
    /// At no engine, between two runs.
    pub(super) between_runs: Duration,
    /// Being scored.
    pub(super) scoring: Duration,
    /// Being committed.
    pub(super) committing: Duration,
}

impl ItemTimeline {
    /// A run has begun.
    pub(super) fn run_started(&mut self, now: BootInstant) {
        self.first_run_at.get_or_insert(now);
        self.runs += 1;
    }

    /// A run has ended that took this long and made so many events.
    pub(super) fn run_ended(&mut self, took: Duration, events: usize) {
        self.running += took;
        self.generated_events += events;
    }

    /// The text is whole.
    pub(super) fn text_completed(&mut self, now: BootInstant) {
        self.text_completed_at = Some(now);
    }

    /// The result has gone to be committed.
    pub(super) fn scored(&mut self, now: BootInstant) {
        self.scored_at = Some(now);
    }

    /// Where the time went, if the batch was opened then and the item is listed now.
    pub(super) fn times(&self, opened: BootInstant, listed: BootInstant) -> ItemTimes {
        let first = self.first_run_at.unwrap_or(listed);
        let scored = self.scored_at.unwrap_or(listed);
        let completed = self.text_completed_at.unwrap_or(scored);
        let at_engines = completed.saturating_duration_since(first);
        let running = self.running.min(at_engines);
        ItemTimes {
            waiting: first.saturating_duration_since(opened),
            running,
            between_runs: at_engines - running,
            scoring: scored.saturating_duration_since(completed),
            committing: listed.saturating_duration_since(scored),
        }
    }
}
