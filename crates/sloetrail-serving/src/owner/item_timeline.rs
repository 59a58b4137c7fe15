//! Timeline of an item under one owner: when it waited, ran, was scored and committed.

use sloetrail_clock::BootInstant;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub(super) struct ItemTimeline {
    first_run_at: Option<BootInstant>,
    pub(super) runs: usize,
    running: Duration,
    /// Events that its runs generated, including repeated ones.
    pub(super) generated_events: usize,
    /// When its last run ended without a complete text. None while it runs.
    interrupted_at: Option<BootInstant>,
    text_completed_at: Option<BootInstant>,
    scored_at: Option<BootInstant>,
}

/// Durations of an item's phases. They add up to the time from the opening of its batch until
/// it was listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ItemTimes {
    /// From the opening of the batch until the first run.
    pub(super) waiting: Duration,
    pub(super) running: Duration,
    /// On no engine, after the first run began and before the text was complete.
    pub(super) between_runs: Duration,
    pub(super) scoring: Duration,
    pub(super) committing: Duration,
}

impl ItemTimeline {
    /// Records the start of a run. Returns how long the item has been at no engine since its last
    /// run; None for the first run.
    pub(super) fn run_started(&mut self, now: BootInstant) -> Option<Duration> {
        self.first_run_at.get_or_insert(now);
        self.runs += 1;
        let interrupted_at = self.interrupted_at.take()?;
        Some(now.saturating_duration_since(interrupted_at))
    }

    /// Records that a run ended without a complete text.
    pub(super) fn interrupted(&mut self, now: BootInstant) {
        self.interrupted_at = Some(now);
    }

    /// How long the item has been at no engine since its last run. None if it runs or has not run.
    pub(super) fn interrupted_for(&self, now: BootInstant) -> Option<Duration> {
        let interrupted_at = self.interrupted_at?;
        Some(now.saturating_duration_since(interrupted_at))
    }

    /// Adds a run's duration and the number of events that it generated.
    pub(super) fn run_ended(&mut self, took: Duration, events: usize) {
        self.running += took;
        self.generated_events += events;
    }

    pub(super) fn text_completed(&mut self, now: BootInstant) {
        self.interrupted_at = None;
        self.text_completed_at = Some(now);
    }

    /// Marks the end of scoring, when the result is sent to the committer.
    pub(super) fn scored(&mut self, now: BootInstant) {
        self.scored_at = Some(now);
    }

    /// Splits the time from `opened` to `listed` into phases.
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
