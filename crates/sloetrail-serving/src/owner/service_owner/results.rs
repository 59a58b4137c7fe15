//! What becomes of a run: its engine judged, the result listed.

use super::ServiceOwner;
use crate::events::{self, Event};
use crate::owner::committer::CommitRequest;
use crate::owner::event::Committed;
use crate::owner::run::RunOutcome;
use crate::telemetry;
use sloetrail_batch::{
    BatchId, DeathCause, ItemIndex, ItemState, ListedResult, ResultState, RunFailure, Transcript,
};
use sloetrail_clock::BootInstant;
use sloetrail_types::EngineId;
use std::time::Duration;

impl ServiceOwner {
    pub(super) fn run_ended(
        &mut self,
        id: &BatchId,
        index: ItemIndex,
        engine: &EngineId,
        (outcome, transcript): (RunOutcome, Transcript),
        took: Duration,
    ) {
        telemetry::run_ended(self.service.as_str(), outcome.word(), took);
        self.judge_engine(engine, outcome);
        let Some(open) = self.batches.get_mut(id) else {
            return;
        };
        if open.batch.item(index).state != ItemState::Running {
            return;
        }
        let story = open.stories.entry(index).or_default();
        let known = open.batch.item(index).transcript.len();
        story.run_ended(took, transcript.len().saturating_sub(known));
        let mut moves_to = None;
        if let Some(run) = open.runs.remove(&index) {
            open.kept.insert(index, run.kept);
            moves_to = run.moves_to;
        }
        if outcome == RunOutcome::Whole {
            let hinted = open.batch.item(index).expected_length;
            self.lengths.note(hinted, transcript.len());
            self.engines.release_place(moves_to.as_ref());
            story.text_is_whole(BootInstant::now());
            open.batch.text_is_whole(index, transcript);
            self.begin_reward(id, index);
            return;
        }
        events::emit(&Event::ItemInterrupted {
            item: &open.batch.item(index).submitted.id,
            batch: id,
            back_end: engine.as_str(),
            outcome: outcome.word(),
            events: transcript.len(),
            took_ms: took.as_millis() as u64,
        });
        open.batch.keep(index, transcript);
        if outcome == RunOutcome::WrongVersion && open.batch.header.single_version {
            open.batch.begin_anew(index);
        }
        let failure = match outcome {
            RunOutcome::Failed => RunFailure::Failed,
            RunOutcome::Impossible => RunFailure::Impossible,
            _ => RunFailure::Interrupted,
        };
        let death = open.batch.run_failed(index, failure);
        if open.batch.item(index).transcript.is_empty() {
            open.kept.remove(&index);
        }
        if failure == RunFailure::Failed && death.is_none() {
            let request = CommitRequest::Failed {
                batch: id.clone(),
                index,
                failed_runs: open.batch.failed_runs(index),
            };
            // The committer ends only with the term.
            let _ = self.commits.send(request);
        }
        match (death, moves_to) {
            (Some(cause), moves_to) => {
                self.engines.release_place(moves_to.as_ref());
                self.give_up(id, index, cause);
            }
            (None, Some(engine)) => self.go_on_at(id, index, engine),
            (None, None) => {}
        }
    }

    fn judge_engine(&mut self, id: &EngineId, outcome: RunOutcome) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        match outcome {
            RunOutcome::NotRun | RunOutcome::WrongVersion => engine.refused(),
            RunOutcome::WrongInstance
            | RunOutcome::NotSent
            | RunOutcome::Lost
            | RunOutcome::Silent => engine.lost(),
            RunOutcome::Whole | RunOutcome::Failed | RunOutcome::Impossible => engine.finished(),
            RunOutcome::HeldBack | RunOutcome::Cancelled => {}
        }
    }

    pub(super) fn succeed(&mut self, id: &BatchId, index: ItemIndex, score: Option<String>) {
        if let Some(open) = self.batches.get_mut(id) {
            let story = open.stories.entry(index).or_default();
            story.scored(BootInstant::now());
            let result = open.batch.succeed(index, score);
            self.list(id, index, result);
        }
    }

    pub(super) fn give_up(&mut self, id: &BatchId, index: ItemIndex, cause: DeathCause) {
        let Some(open) = self.batches.get_mut(id) else {
            return;
        };
        let result = open.batch.give_up(index);
        events::emit(&Event::ItemDead {
            item: &result.id,
            batch: id,
            cause: match cause {
                DeathCause::Impossible => "impossible",
                DeathCause::RunsFailed => "its runs failed",
                DeathCause::RewardFailed => "its reward call failed",
                DeathCause::Expired => "its time of retention is over",
            },
        });
        self.list(id, index, result);
    }

    fn list(&self, id: &BatchId, index: ItemIndex, result: ListedResult) {
        let request = CommitRequest::List {
            batch: id.clone(),
            index,
            result,
        };
        // The committer ends only with the term.
        let _ = self.commits.send(request);
    }

    pub(super) fn committed(&mut self, committed: Committed) {
        let state = match committed.result.state {
            ResultState::Succeeded => "succeeded",
            ResultState::Dead => "dead",
        };
        telemetry::result_listed(state, committed.took);
        let versions: Vec<u64> = committed
            .result
            .versions
            .iter()
            .map(|version| version.0)
            .collect();
        events::emit(&Event::ItemListed {
            item: &committed.result.id,
            batch: &committed.batch,
            position: committed.position,
            versions: &versions,
            commit_ms: committed.took.as_millis() as u64,
        });
        let Some(open) = self.batches.get_mut(&committed.batch) else {
            return;
        };
        if open.batch.listed(committed.index) {
            let age = open.opened_age + open.opened_at.elapsed();
            let header = open.batch.header.clone();
            self.record_step(&header, age);
            self.tell_step(&committed.batch, committed.index);
        }
    }

    /// Tells that the groups that a trainer waits for are whole, and where the time of
    /// the item went that was the last of them.
    fn tell_step(&self, id: &BatchId, last: ItemIndex) {
        let Some(open) = self.batches.get(id) else {
            return;
        };
        let now = BootInstant::now();
        let groups = open.batch.groups();
        let story = open.stories.get(&last).cloned().unwrap_or_default();
        let times = story.times(open.opened_at, now);
        let pace = self.engines.fastest_pace().unwrap_or_default();
        let least = Duration::from_micros(pace.saturating_mul(groups.longest() as u64));
        let age = open.opened_age + now.saturating_duration_since(open.opened_at);
        events::emit(&Event::StepWhole {
            batch: id,
            groups: groups.wanted(),
            age_ms: milliseconds(age),
            opened_ms: milliseconds(open.opened_age),
            item: &open.batch.item(last).submitted.id,
            wanted: open.batch.is_wanted(last),
            waiting_ms: milliseconds(times.waiting),
            running_ms: milliseconds(times.running),
            between_runs_ms: milliseconds(times.between_runs),
            scoring_ms: milliseconds(times.scoring),
            committing_ms: milliseconds(times.committing),
            runs: story.runs,
            events_made: story.events_made,
            longest_events: groups.longest(),
            least_ms: milliseconds(least),
            epoch: self.term.epoch.0,
        });
    }
}

fn milliseconds(time: Duration) -> u64 {
    time.as_millis() as u64
}
