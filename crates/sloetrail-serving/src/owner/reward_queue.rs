//! Queue of complete texts that wait to be scored.
//!
//! Far more texts may complete at once than the scoring applications have slots. At most as
//! many scoring calls are in flight as this node may use slots; other texts wait here, those of
//! required groups first, then by age of the batch. While no slot is free, one text at a time
//! is retried after a delay.

use sloetrail_batch::{BatchId, ItemIndex};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, ServiceName, Timestamp, Urgency};
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay of a text after a failure, and of all texts of a target after an attempt found no free
/// slot. A lost back end is avoided for 60 ms at first, and the directory shows changes within
/// 0.1 s.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// The back ends that may score a text. Texts with the same target compete for the same slots.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScoringTarget {
    /// None while no route leads to a service.
    pub(super) service: Option<ServiceName>,
    /// Regions where the texts may be scored.
    pub(super) regions: AllowedRegions,
}

/// A complete text that needs a score.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ScoringTask {
    pub(super) batch: BatchId,
    pub(super) index: ItemIndex,
    pub(super) target: ScoringTarget,
    pub(super) rank: Rank,
    /// Failed answers so far.
    pub(super) failures: usize,
    /// Sequence number in the order of arrival.
    arrival: u64,
}

impl ScoringTask {
    pub(super) fn new(batch: BatchId, index: ItemIndex, target: ScoringTarget, rank: Rank) -> Self {
        Self {
            batch,
            index,
            target,
            rank,
            failures: 0,
            arrival: 0,
        }
    }
}

/// Scoring order; the lowest rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// False if the text's group is required.
    pub(super) is_optional: bool,
    /// Urgency of the batch, then its acceptance time.
    pub(super) batch: (Urgency, Timestamp),
}

/// Outcome of an attempt, as far as the queue is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScoringOutcome {
    /// The text needs no further attempt.
    Settled,
    /// The call was sent but gave no score. The text is retried after a delay.
    Failed,
    /// No back end had a free slot. The text keeps its position, and its target is delayed.
    NoFreeSlot,
}

/// Texts are ordered by rank, then by arrival.
type QueuePosition = (Rank, u64);

#[derive(Debug, Default)]
struct TargetQueue {
    waiting: BTreeMap<QueuePosition, ScoringTask>,
    in_flight: usize,
    not_before: Option<BootInstant>,
}

impl TargetQueue {
    fn is_delayed(&self, now: BootInstant) -> bool {
        self.not_before.is_some_and(|moment| now < moment)
    }

    fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.in_flight == 0
    }
}

/// Texts of one owner that need a score.
#[derive(Debug, Default)]
pub(super) struct RewardQueue {
    targets: BTreeMap<ScoringTarget, TargetQueue>,
    /// Texts that wait for a retry, ordered by the time of the retry.
    delayed: Vec<(BootInstant, ScoringTask)>,
    arrivals: u64,
}

impl RewardQueue {
    pub(super) fn push(&mut self, mut scoring: ScoringTask) {
        self.arrivals += 1;
        scoring.arrival = self.arrivals;
        self.insert(scoring);
    }

    fn insert(&mut self, scoring: ScoringTask) {
        let position = (scoring.rank, scoring.arrival);
        let target = self.targets.entry(scoring.target.clone()).or_default();
        target.waiting.insert(position, scoring);
    }

    /// Removes the texts to score now. Each is in flight until [`RewardQueue::finish_attempt`].
    /// `slots` returns how many texts of a target may be in flight; one always may, to detect
    /// when a slot is free again.
    pub(super) fn start(
        &mut self,
        now: BootInstant,
        slots: impl Fn(&ScoringTarget) -> usize,
    ) -> Vec<ScoringTask> {
        self.requeue_due(now);
        let mut started = Vec::new();
        for (target, state) in &mut self.targets {
            if state.waiting.is_empty() || state.is_delayed(now) {
                continue;
            }
            let limit = slots(target).max(1);
            while state.in_flight < limit
                && let Some((_, scoring)) = state.waiting.pop_first()
            {
                state.in_flight += 1;
                started.push(scoring);
            }
        }
        started
    }

    /// Records the outcome of an attempt for a text that was in flight.
    pub(super) fn finish_attempt(
        &mut self,
        now: BootInstant,
        scoring: ScoringTask,
        outcome: ScoringOutcome,
    ) {
        if let Some(target) = self.targets.get_mut(&scoring.target) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.not_before = match outcome {
                ScoringOutcome::NoFreeSlot => Some(now + RETRY_DELAY),
                ScoringOutcome::Settled | ScoringOutcome::Failed => None,
            };
        }
        match outcome {
            ScoringOutcome::Settled => {}
            ScoringOutcome::Failed => self.delay(now + RETRY_DELAY, scoring),
            ScoringOutcome::NoFreeSlot => self.insert(scoring),
        }
        self.targets.retain(|_, target| !target.is_empty());
    }

    /// Drops waiting and delayed texts that need no score any more. Texts in flight stay.
    pub(super) fn retain(&mut self, is_needed: impl Fn(&ScoringTask) -> bool) {
        for target in self.targets.values_mut() {
            target.waiting.retain(|_, scoring| is_needed(scoring));
        }
        self.delayed.retain(|(_, scoring)| is_needed(scoring));
        self.targets.retain(|_, target| !target.is_empty());
    }

    /// Returns when the next delay ends after which a text may start.
    pub(super) fn next_due(&self, now: BootInstant) -> Option<BootInstant> {
        let targets = self
            .targets
            .values()
            .filter(|target| !target.waiting.is_empty());
        let of_targets = targets.filter_map(|target| target.not_before);
        let of_texts = self.delayed.first().map(|(until, _)| *until);
        of_targets
            .filter(|moment| now < *moment)
            .chain(of_texts)
            .min()
    }

    /// Returns the number of waiting and delayed texts.
    pub(super) fn waiting(&self) -> usize {
        let waiting = self.targets.values().map(|target| target.waiting.len());
        waiting.sum::<usize>() + self.delayed.len()
    }

    fn delay(&mut self, until: BootInstant, scoring: ScoringTask) {
        let position = self.delayed.partition_point(|(other, _)| *other <= until);
        self.delayed.insert(position, (until, scoring));
    }

    fn requeue_due(&mut self, now: BootInstant) {
        let due_count = self.delayed.partition_point(|(until, _)| *until <= now);
        let due: Vec<ScoringTask> = self
            .delayed
            .drain(..due_count)
            .map(|(_, scoring)| scoring)
            .collect();
        for scoring in due {
            self.insert(scoring);
        }
    }
}

#[cfg(test)]
mod tests;
