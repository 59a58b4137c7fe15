//! Moves running items to faster engines.
//!
//! A step ends when its longest texts are complete, and by then most slots are free. A text is
//! moved to a faster engine with a free slot if the saved time outweighs the cost of processing
//! its prefix again. A slot is reserved on the target, the run is closed, and the item continues
//! on the target after its last event. While slots are scarce, the rules of `late_texts` apply
//! instead.

use super::{ActiveRun, OpenBatch, ServiceOwner};
use crate::events::{self, Event};
use crate::owner::engine::ModelRequirement;
use crate::owner::engines::{EnginePool, FreeEngine, SIMILAR_INTERVAL_FACTOR};
use crate::owner::event_interval::EventIntervalMeter;
use crate::owner::scarce_move::WithheldMove;
use crate::telemetry;
use sloetrail_batch::{Batch, BatchId, ItemIndex, LengthModel};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, whole_millis};
use std::time::Duration;

/// Minimum time that a move must save. It covers processing the prefix again, which takes tens of
/// milliseconds, and errors in the estimate of the remaining text.
pub(super) const MIN_GAIN: Duration = Duration::from_millis(250);
/// Minimum duration of a run before its first move. Until then the engine's event interval reflects
/// earlier runs.
const MIN_RUN_TIME: Duration = Duration::from_millis(400);
/// Minimum duration of a run after a move, since event intervals vary with load.
const MIN_STAY: Duration = Duration::from_millis(1_500);
/// A text is moved only if its remaining time is at least this share of the longest remaining
/// time in its batch. Moving a shorter text would not complete the batch sooner.
const MIN_CRITICAL_SHARE: f64 = 0.75;

/// A run that may be moved.
pub(super) struct Candidate {
    pub(super) index: ItemIndex,
    /// Expected number of events that remain.
    pub(super) remaining: f64,
    /// Event interval of the current engine.
    pub(super) event_interval_us: u64,
}

impl Candidate {
    /// Expected time until completion on the current engine.
    pub(super) fn time_left_us(&self) -> f64 {
        self.event_interval_us as f64 * self.remaining
    }

    /// Expected time saved by continuing on `engine`. None if it is not clearly faster.
    fn gain_on(&self, engine: &FreeEngine) -> Option<Duration> {
        let is_clearly_faster = self.event_interval_us as f64
            > engine.event_interval_us as f64 * SIMILAR_INTERVAL_FACTOR;
        let saved = self
            .event_interval_us
            .saturating_sub(engine.event_interval_us) as f64
            * self.remaining;
        is_clearly_faster.then(|| Duration::from_micros(saved as u64))
    }
}

impl ServiceOwner {
    /// Cancels runs on slow engines while fast engines have free slots. The items continue there
    /// from the text so far.
    pub(super) fn move_from_slow_engines(&mut self, now: BootInstant) {
        let matches_speed = self.is_matching_speed();
        let service = self.service.as_str();
        for open in self.batches.values_mut() {
            let model = open.batch.model.as_deref();
            let is_withheld = matches_speed && self.usage.is_scarce(model);
            let requirement = ModelRequirement {
                model: open.batch.model.as_deref(),
                oldest_version: open.batch.oldest_version,
            };
            if open.batch.waiting() > 0 {
                continue;
            }
            let mut slots = self.engines.free_fast_slots(requirement, now);
            for run in open.runs.values_mut() {
                let engine = self.engines.get(&run.engine);
                let is_slow = engine.is_some_and(|engine| engine.is_slow());
                if slots == 0 || !is_slow || run.cancel.is_cancelled() {
                    continue;
                }
                slots -= 1;
                if is_withheld {
                    run.withhold_move(service, WithheldMove::SlowEngine);
                    continue;
                }
                telemetry::item_moved(service, "slow_engine");
                run.cancel.cancel();
            }
        }
    }

    /// Closes the runs of long texts that would complete sooner on a faster engine with a free
    /// slot.
    pub(super) fn move_long_texts(&mut self, now: BootInstant) {
        if !self.context.settings.policies.move_long_texts {
            return;
        }
        let matches_speed = self.is_matching_speed();
        let service = self.service.as_str();
        for (id, open) in &mut self.batches {
            let model = open.batch.model.as_deref();
            if matches_speed && self.usage.is_scarce(model) {
                continue;
            }
            let requirement = ModelRequirement {
                model: open.batch.model.as_deref(),
                oldest_version: open.batch.oldest_version,
            };
            let mut free = self.engines.free_engines(requirement, now).into_iter();
            let runs = open.runs.iter();
            let mut candidates: Vec<Candidate> = runs
                .filter_map(|(index, run)| {
                    let (engines, lengths) = (&self.engines, &self.lengths);
                    let interval_us = EventIntervalMeter::microseconds;
                    candidate(&open.batch, *index, run, engines, lengths, now, interval_us)
                })
                .collect();
            retain_critical(&mut candidates);
            let mut target = free.next();
            for candidate in candidates {
                let Some(engine) = &target else {
                    break;
                };
                let gain = candidate.gain_on(engine);
                let Some(gain) = gain.filter(|gain| *gain >= MIN_GAIN) else {
                    continue;
                };
                telemetry::item_moved(service, "long_text");
                close_for_move(id, open, &mut self.engines, &candidate, engine, gain, now);
                target = free.next();
            }
        }
    }

    /// Continues an item on the engine where a slot was reserved for its move.
    pub(super) fn resume_at(&mut self, id: &BatchId, index: ItemIndex, engine: EngineId) {
        self.engines.release_slot(Some(&engine));
        let Some(open) = self.batches.get(id) else {
            return;
        };
        let requirement = ModelRequirement {
            model: open.batch.model.as_deref(),
            oldest_version: open.batch.oldest_version,
        };
        let required = open.batch.is_required(index);
        let target = self.engines.get(&engine);
        // If the target cannot take the item, it waits in the queue for any engine.
        if target.is_some_and(|engine| engine.can_take(requirement, BootInstant::now())) {
            let priority = self.priority(required);
            self.start_item_on(id, index, engine, priority);
            self.mark_moved(id, index);
        }
    }

    fn mark_moved(&mut self, id: &BatchId, index: ItemIndex) {
        let open = self.batches.get_mut(id);
        if let Some(run) = open.and_then(|open| open.runs.get_mut(&index)) {
            run.has_moved = true;
        }
    }
}

/// Closes the run of a text so that it continues on `target`, where a slot is reserved for it.
pub(super) fn close_for_move(
    id: &BatchId,
    open: &mut OpenBatch,
    engines: &mut EnginePool,
    text: &Candidate,
    target: &FreeEngine,
    gain: Duration,
    now: BootInstant,
) {
    let Some(run) = open.runs.get_mut(&text.index) else {
        return;
    };
    events::emit(&Event::ItemMoved {
        item: &open.batch.item(text.index).submitted.id,
        batch: id,
        from: run.engine.as_str(),
        to: target.id.as_str(),
        remaining_events: text.remaining as u64,
        gain_ms: whole_millis(gain),
    });
    run.move_target = Some(target.id.clone());
    run.cancel.cancel();
    if let Some(engine) = engines.get_mut(&target.id) {
        engine.reserve_slot(now);
    }
}

/// Retains the texts that determine when their batch completes, sorted by remaining time, longest
/// first.
fn retain_critical(candidates: &mut Vec<Candidate>) {
    let times = candidates.iter().map(Candidate::time_left_us);
    let critical = times.fold(0.0, f64::max) * MIN_CRITICAL_SHARE;
    candidates.retain(|candidate| candidate.time_left_us() >= critical);
    candidates.sort_by(|left, right| right.time_left_us().total_cmp(&left.time_left_us()));
}

/// None if the run is too recent, cancelled, or its remaining time cannot be estimated yet.
pub(super) fn candidate(
    batch: &Batch,
    index: ItemIndex,
    run: &ActiveRun,
    engines: &EnginePool,
    lengths: &LengthModel,
    now: BootInstant,
    interval_us: impl Fn(&EventIntervalMeter) -> Option<u64>,
) -> Option<Candidate> {
    let min_run_time = match run.has_moved {
        true => MIN_STAY,
        false => MIN_RUN_TIME,
    };
    let is_recent = now < run.started_at + min_run_time;
    if is_recent || run.cancel.is_cancelled() {
        return None;
    }
    let event_interval_us = interval_us(&engines.get(&run.engine)?.event_interval)?;
    let generated = run.progress.event_count();
    let hint = batch.item(index).expected_length;
    let remaining = lengths.remaining_events(hint, generated)?;
    Some(Candidate {
        index,
        remaining,
        event_interval_us,
    })
}

#[cfg(test)]
mod tests;
