//! Scores complete texts through their reward calls and lists the results.

use super::ServiceOwner;
use crate::owner::event::OwnerEvent;
use crate::owner::reward::{self, RewardFailure, RewardOutcome, ScoringRequest};
use crate::owner::reward_queue::{Rank, ScoringOutcome, ScoringTarget, ScoringTask};
use crate::tasks;
use sloetrail_batch::{BatchId, DeathCause, ItemIndex, ItemState};
use sloetrail_clock::BootInstant;
use std::sync::Arc;

impl ServiceOwner {
    /// Queues a complete text for scoring. Lists it right away if it has no reward call.
    pub(super) fn enqueue_scoring(&mut self, id: &BatchId, index: ItemIndex) {
        let Some(open) = self.batches.get(id) else {
            return;
        };
        let header = &open.batch.header;
        let Some(call) = &open.batch.item(index).submitted.reward else {
            self.list_as_succeeded(id, index, None);
            return;
        };
        let target = reward::scoring_target(&self.context, call, &header.allowed_regions);
        let rank = Rank {
            is_optional: !open.batch.is_in_required_group(index),
            batch: header.urgency(),
        };
        self.rewards
            .push(ScoringTask::new(id.clone(), index, target, rank));
    }

    /// Starts scoring queued texts while slots are free.
    pub(super) fn start_scorings(&mut self) {
        let context = Arc::clone(&self.context);
        let slots = |target: &ScoringTarget| match &target.service {
            Some(service) => context.pools.sample_slots(service, &target.regions),
            None => 0,
        };
        for scoring in self.rewards.start(BootInstant::now(), slots) {
            self.start_scoring(scoring);
        }
    }

    /// Drops queued texts whose batch has ended or whose item is dead.
    pub(super) fn drop_unneeded_scorings(&mut self) {
        let batches = &self.batches;
        self.rewards.retain(|scoring| {
            let open = batches.get(&scoring.batch);
            open.is_some_and(|open| open.needs_score(scoring.index))
        });
    }

    fn start_scoring(&mut self, scoring: ScoringTask) {
        let open = self.batches.get(&scoring.batch);
        let Some(open) = open.filter(|open| open.needs_score(scoring.index)) else {
            self.rewards
                .finish_attempt(BootInstant::now(), scoring, ScoringOutcome::Settled);
            return;
        };
        let submitted = Arc::clone(&open.batch.item(scoring.index).submitted);
        let header = open.batch.header.clone();
        let cancel = open.cancel.child_token();
        let context = Arc::clone(&self.context);
        let sender = self.sender.clone();
        tasks::spawn("scoring", async move {
            let outcome = match &submitted.reward {
                Some(call) => {
                    let request = ScoringRequest {
                        item: &submitted.id,
                        reward: call,
                        header: &header,
                        failures: scoring.failures,
                    };
                    let score = reward::score(&context, &request, &cancel);
                    let outcome = tasks::catch("scoring", score).await;
                    // The text is scored again; the panic says nothing about the call.
                    outcome.unwrap_or(RewardOutcome::NoScore(RewardFailure::INTERRUPTED))
                }
                None => RewardOutcome::Cancelled,
            };
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::RewardEnded(scoring, outcome));
        });
    }

    pub(super) fn reward_ended(&mut self, mut scoring: ScoringTask, outcome: RewardOutcome) {
        let now = BootInstant::now();
        let open = self.batches.get(&scoring.batch);
        let is_needed = open.is_some_and(|open| open.needs_score(scoring.index));
        let (id, index) = (scoring.batch.clone(), scoring.index);
        let failure = match outcome {
            RewardOutcome::NoScore(failure) if is_needed => failure,
            settled => {
                self.rewards
                    .finish_attempt(now, scoring, ScoringOutcome::Settled);
                if let (RewardOutcome::Scored(score), true) = (settled, is_needed) {
                    self.list_as_succeeded(&id, index, Some(score));
                }
                return;
            }
        };
        scoring.failures += failure.failed_answers;
        if scoring.failures >= failure.max_failures {
            self.rewards
                .finish_attempt(now, scoring, ScoringOutcome::Settled);
            self.list_as_dead(&id, index, DeathCause::RewardFailed);
            return;
        }
        self.rewards
            .finish_attempt(now, scoring, attempt_outcome(failure));
    }
}

impl super::OpenBatch {
    /// True if the item's text is complete and not yet scored.
    fn needs_score(&self, index: ItemIndex) -> bool {
        self.batch.item(index).state == ItemState::Rewarding
    }
}

fn attempt_outcome(failure: RewardFailure) -> ScoringOutcome {
    match failure {
        failure if failure.found_no_slot => ScoringOutcome::NoFreeSlot,
        _ => ScoringOutcome::Failed,
    }
}
