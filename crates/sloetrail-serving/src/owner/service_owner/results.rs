//! Handles ended runs: updates the engine's state and lists results.

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
use sloetrail_types::{EngineId, whole_millis};
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
        telemetry::run_ended(self.service.as_str(), outcome.as_str(), took);
        self.update_engine_after_run(engine, outcome);
        let Some(open) = self.batches.get_mut(id) else {
            return;
        };
        if open.batch.item(index).state != ItemState::Running {
            return;
        }
        let timeline = open.timelines.entry(index).or_default();
        let known_events = open.batch.item(index).transcript.len();
        timeline.run_ended(took, transcript.len().saturating_sub(known_events));
        let mut move_target = None;
        if let Some(run) = open.runs.remove(&index) {
            open.checkpointed_events
                .insert(index, run.checkpointed_events);
            move_target = run.move_target;
        }
        if outcome == RunOutcome::Completed {
            let hint = open.batch.item(index).expected_length;
            self.lengths.record(hint, transcript.len());
            self.engines.release_slot(move_target.as_ref());
            timeline.text_completed(BootInstant::now());
            open.batch.record_complete_text(index, transcript);
            self.enqueue_scoring(id, index);
            return;
        }
        events::emit(&Event::ItemInterrupted {
            item: &open.batch.item(index).submitted.id,
            batch: id,
            back_end: engine.as_str(),
            outcome: outcome.as_str(),
            events: transcript.len(),
            took_ms: whole_millis(took),
        });
        timeline.interrupted(BootInstant::now());
        open.batch.set_transcript(index, transcript);
        let mixes_versions =
            outcome == RunOutcome::WrongVersion && open.batch.header.single_version;
        let is_wrong = matches!(outcome, RunOutcome::WrongFirstEvent | RunOutcome::TooLong);
        if mixes_versions || is_wrong {
            open.batch.restart_text(index);
        }
        let failure = match outcome {
            RunOutcome::Failed => RunFailure::Failed,
            RunOutcome::Impossible => RunFailure::Impossible,
            _ => RunFailure::Interrupted,
        };
        let death = open.batch.record_run_failure(index, failure);
        if open.batch.item(index).transcript.is_empty() {
            open.checkpointed_events.remove(&index);
        }
        if failure == RunFailure::Failed && death.is_none() {
            let request = CommitRequest::RecordFailedRuns {
                batch: id.clone(),
                index,
                failed_runs: open.batch.failed_runs(index),
            };
            // The committer stops only when the term ends.
            let _ = self.commits.send(request);
        }
        match (death, move_target) {
            (Some(cause), move_target) => {
                self.engines.release_slot(move_target.as_ref());
                self.list_as_dead(id, index, cause);
            }
            (None, Some(engine)) => self.resume_at(id, index, engine),
            (None, None) => {}
        }
    }

    fn update_engine_after_run(&mut self, id: &EngineId, outcome: RunOutcome) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        match outcome {
            RunOutcome::NotRun | RunOutcome::WrongVersion => engine.record_refusal(),
            RunOutcome::WrongInstance
            | RunOutcome::NotSent
            | RunOutcome::Lost
            | RunOutcome::WrongFirstEvent
            | RunOutcome::TooLong
            | RunOutcome::Unresponsive => engine.record_loss(),
            RunOutcome::Completed | RunOutcome::Failed | RunOutcome::Impossible => {
                engine.record_completion()
            }
            RunOutcome::Withheld | RunOutcome::Cancelled => {}
        }
    }

    pub(super) fn list_as_succeeded(
        &mut self,
        id: &BatchId,
        index: ItemIndex,
        score: Option<String>,
    ) {
        if let Some(open) = self.batches.get_mut(id) {
            let timeline = open.timelines.entry(index).or_default();
            timeline.scored(BootInstant::now());
            let result = open.batch.succeed(index, score);
            self.list_result(id, index, result);
        }
    }

    pub(super) fn list_as_dead(&mut self, id: &BatchId, index: ItemIndex, cause: DeathCause) {
        let Some(open) = self.batches.get_mut(id) else {
            return;
        };
        let result = open.batch.mark_dead(index);
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
        self.list_result(id, index, result);
    }

    fn list_result(&self, id: &BatchId, index: ItemIndex, result: ListedResult) {
        let request = CommitRequest::ListResult {
            batch: id.clone(),
            index,
            result,
        };
        // The committer stops only when the term ends.
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
            commit_ms: whole_millis(committed.took),
        });
        let Some(open) = self.batches.get_mut(&committed.batch) else {
            return;
        };
        if open.batch.record_listed(committed.index) {
            let age = open.age_at_open + open.opened_at.elapsed();
            let header = open.batch.header.clone();
            self.record_step(&header, age);
            self.count_if_late(&header, age);
            self.report_step(&committed.batch, committed.index);
        }
    }

    /// Logs that all required groups are complete, with the phase times of the last item.
    fn report_step(&self, id: &BatchId, last: ItemIndex) {
        let Some(open) = self.batches.get(id) else {
            return;
        };
        let now = BootInstant::now();
        let groups = open.batch.groups();
        let timeline = open.timelines.get(&last).cloned().unwrap_or_default();
        let times = timeline.times(open.opened_at, now);
        let event_interval_us = self.engines.min_event_interval_us().unwrap_or_default();
        let min_time =
            Duration::from_micros(event_interval_us.saturating_mul(groups.max_events() as u64));
        let age = open.age_at_open + now.saturating_duration_since(open.opened_at);
        events::emit(&Event::StepWhole {
            batch: id,
            groups: groups.required(),
            age_ms: milliseconds(age),
            opened_ms: milliseconds(open.age_at_open),
            item: &open.batch.item(last).submitted.id,
            wanted: open.batch.is_required(last),
            waiting_ms: milliseconds(times.waiting),
            waited_while_others_free_ms: milliseconds(open.waited_while_others_free),
            running_ms: milliseconds(times.running),
            between_runs_ms: milliseconds(times.between_runs),
            scoring_ms: milliseconds(times.scoring),
            committing_ms: milliseconds(times.committing),
            runs: timeline.runs,
            events_made: timeline.generated_events,
            longest_events: groups.max_events(),
            least_ms: milliseconds(min_time),
            epoch: self.term.epoch.0,
        });
    }
}

fn milliseconds(time: Duration) -> u64 {
    whole_millis(time)
}
