//! Which whole text is scored next, and how many at a time.
//!
//! Hundreds of texts may become whole at once, and the applications that score them have a
//! few dozen places. So no more are under way than this node may have there; the others
//! wait here without asking, those of groups that a trainer waits for first, and of these
//! the oldest. While there is no place at all, one text at a time asks now and then.

use sloetrail_batch::{BatchId, ItemIndex};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, ServiceName, Urgency};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a text rests after a failure, and the texts of a lane after one of them has found
/// no place: a back end that was lost is left alone for 60 ms at first, and the directory
/// tells of changes within 0.1 s.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// How long a text rests that is kept from back ends: it may be tried, or is released, seconds
/// later at the soonest.
const WITHHELD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Texts that need places at the same back ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScoringTarget {
    /// The service; nothing while no route leads to one.
    pub(super) service: Option<ServiceName>,
    /// Where the texts may be scored.
    pub(super) regions: AllowedRegions,
}

/// A text that is to be scored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ScoringTask {
    pub(super) batch: BatchId,
    pub(super) index: ItemIndex,
    pub(super) target: ScoringTarget,
    pub(super) rank: Rank,
    /// Answers of failure so far.
    pub(super) failures: usize,
    /// The number of its arrival in the queue.
    arrival: u64,
}

impl ScoringTask {
    /// A text that was not tried yet.
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

/// The order among texts: the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// False if the trainer waits for the text's group.
    pub(super) is_optional: bool,
    /// The order among batches.
    pub(super) batch: (Urgency, u64),
}

/// What became of one try at a score.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScoringOutcome {
    /// The text needs no other.
    Settled,
    /// It was sent and has no score; it is tried again after a pause.
    Failed,
    /// No back end had a place; it is tried again once one may have.
    NoFreeSlot,
    /// Back ends crash under it, and it was not sent; others go on meanwhile.
    Withheld,
}

/// Texts wait in the order of their ranks, and with the same rank of their arrivals.
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

/// The texts of one owner that are to be scored.
#[derive(Debug, Default)]
pub(super) struct RewardQueue {
    targets: BTreeMap<ScoringTarget, TargetQueue>,
    /// Those that failed, and until when they rest, the first to be tried again first.
    delayed: Vec<(BootInstant, ScoringTask)>,
    arrivals: u64,
}

impl RewardQueue {
    /// Takes in a text.
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

    /// Takes out the texts to score now; each is under way until [`RewardQueue::tried`].
    /// `places` tells how many of a lane may be under way. One may be in any case: it finds
    /// out whether there is a place again.
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
            let max_in_flight = slots(target).max(1);
            while state.in_flight < max_in_flight
                && let Some((_, scoring)) = state.waiting.pop_first()
            {
                state.in_flight += 1;
                started.push(scoring);
            }
        }
        started
    }

    /// Takes in what became of a text that was under way.
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
                ScoringOutcome::Settled | ScoringOutcome::Failed | ScoringOutcome::Withheld => None,
            };
        }
        match outcome {
            ScoringOutcome::Settled => {}
            ScoringOutcome::Failed => self.delay(now + RETRY_DELAY, scoring),
            ScoringOutcome::Withheld => self.delay(now + WITHHELD_RETRY_DELAY, scoring),
            ScoringOutcome::NoFreeSlot => self.insert(scoring),
        }
        self.targets.retain(|_, target| !target.is_empty());
    }

    /// Drops the texts that need no score any more and are not under way.
    pub(super) fn retain(&mut self, is_needed: impl Fn(&ScoringTask) -> bool) {
        for target in self.targets.values_mut() {
            target.waiting.retain(|_, scoring| is_needed(scoring));
        }
        self.delayed.retain(|(_, scoring)| is_needed(scoring));
        self.targets.retain(|_, target| !target.is_empty());
    }

    /// When a rest ends after which something may be started that is not now.
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

    /// How many texts wait.
    pub(super) fn waiting(&self) -> usize {
        let waiting = self.targets.values().map(|target| target.waiting.len());
        waiting.sum::<usize>() + self.delayed.len()
    }

    fn delay(&mut self, until: BootInstant, scoring: ScoringTask) {
        let position = self.delayed.partition_point(|(other, _)| *other <= until);
        self.delayed.insert(position, (until, scoring));
    }

    fn requeue_due(&mut self, now: BootInstant) {
        let over = self.delayed.partition_point(|(until, _)| *until <= now);
        let due: Vec<ScoringTask> = self
            .delayed
            .drain(..over)
            .map(|(_, scoring)| scoring)
            .collect();
        for scoring in due {
            self.insert(scoring);
        }
    }
}

#[cfg(test)]
mod tests;
