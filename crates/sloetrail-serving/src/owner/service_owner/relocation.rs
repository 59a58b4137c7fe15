//! Moving items to other engines: off those that are much slower than the others, and
//! long texts to faster ones.
//!
//! A step ends with its longest texts, and by then most places are free. A text that is
//! being made on an engine slower than one with a free place is moved there if the time
//! that this saves is worth reading it again: its run is closed, and it goes on after
//! its last event. A place is kept for it meanwhile.

use super::{ActiveRun, ServiceOwner};
use crate::events::{self, Event};
use crate::owner::engine::Demand;
use crate::owner::engines::{EnginePool, FreeEngine, PACE_STEP};
use sloetrail_batch::{Batch, BatchId, ItemIndex, LengthModel};
use sloetrail_clock::BootInstant;
use sloetrail_types::EngineId;
use std::time::Duration;

/// A move must save at least this: reading the text again takes some tens of
/// milliseconds, and what remains of a text is an estimate.
const MIN_GAIN: Duration = Duration::from_millis(250);
/// A run is not moved before: until then its engine's pace is that of earlier runs.
const MIN_RUN_TIME: Duration = Duration::from_millis(400);
/// A text that has moved stays for this long: paces vary with the load.
const MIN_STAY: Duration = Duration::from_millis(1_500);
/// A text is moved only if it has at least this share of what the longest of its batch has
/// left. The batch is done no sooner if another one is, and each move closes a connection and
/// has the text read again.
const MIN_CRITICAL_SHARE: f64 = 0.75;

/// A run that would be done sooner elsewhere.
struct Candidate {
    index: ItemIndex,
    /// Events that are still expected.
    remaining: f64,
    /// Microseconds an event where it runs.
    event_interval_us: u64,
}

impl Candidate {
    /// The time that it takes where it runs, in microseconds.
    fn time_left(&self) -> f64 {
        self.event_interval_us as f64 * self.remaining
    }

    /// The time that going on at an engine saves, if it is clearly faster.
    fn gain_on(&self, engine: &FreeEngine) -> Option<Duration> {
        let is_clearly_faster = self.event_interval_us as f64 > engine.pace as f64 * PACE_STEP;
        let saved = self.event_interval_us.saturating_sub(engine.pace) as f64 * self.remaining;
        is_clearly_faster.then(|| Duration::from_micros(saved as u64))
    }
}

impl ServiceOwner {
    /// Gives up runs on slow engines while others have free places; they go on there
    /// from the text that is kept.
    pub(super) fn move_from_slow_engines(&mut self, now: BootInstant) {
        for open in self.batches.values() {
            let demand = Demand {
                model: open.batch.model.as_deref(),
                oldest_version: open.batch.oldest_version,
            };
            if open.batch.waiting() > 0 {
                continue;
            }
            let mut slots = self.engines.fast_places(demand, now);
            for run in open.runs.values() {
                let engine = self.engines.get(&run.engine);
                let is_slow = engine.is_some_and(|engine| engine.is_slow());
                if slots > 0 && is_slow && !run.cancel.is_cancelled() {
                    run.cancel.cancel();
                    slots -= 1;
                }
            }
        }
    }

    /// Closes the runs of long texts that would be done sooner on a faster engine with
    /// a free place.
    pub(super) fn move_long_texts(&mut self, now: BootInstant) {
        if !self.context.settings.policies.move_long_texts {
            return;
        }
        for (id, open) in &mut self.batches {
            let demand = Demand {
                model: open.batch.model.as_deref(),
                oldest_version: open.batch.oldest_version,
            };
            let mut free = self.engines.free_engines(demand, now).into_iter();
            let runs = open.runs.iter();
            let mut candidates: Vec<Candidate> = runs
                .filter_map(|(index, run)| {
                    candidate(&open.batch, *index, run, &self.engines, &self.lengths, now)
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
                let Some(run) = open.runs.get_mut(&candidate.index) else {
                    continue;
                };
                events::emit(&Event::ItemMoved {
                    item: &open.batch.item(candidate.index).submitted.id,
                    batch: id,
                    from: run.engine.as_str(),
                    to: engine.id.as_str(),
                    remaining_events: candidate.remaining as u64,
                    gain_ms: gain.as_millis() as u64,
                });
                run.move_target = Some(engine.id.clone());
                run.cancel.cancel();
                if let Some(engine) = self.engines.get_mut(&engine.id) {
                    engine.keep_place(now);
                }
                target = free.next();
            }
        }
    }

    /// Goes on with an item whose run was closed so that it can move.
    pub(super) fn resume_at(&mut self, id: &BatchId, index: ItemIndex, engine: EngineId) {
        self.engines.release_place(Some(&engine));
        let Some(open) = self.batches.get(id) else {
            return;
        };
        let demand = Demand {
            model: open.batch.model.as_deref(),
            oldest_version: open.batch.oldest_version,
        };
        let required = open.batch.is_wanted(index);
        let target = self.engines.get(&engine);
        // Otherwise it waits and goes wherever there is room.
        if target.is_some_and(|engine| engine.can_take(demand, BootInstant::now())) {
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

/// Leaves the texts that decide when their batch is done, the longest first.
fn retain_critical(candidates: &mut Vec<Candidate>) {
    let times = candidates.iter().map(Candidate::time_left);
    let critical = times.fold(0.0, f64::max) * MIN_CRITICAL_SHARE;
    candidates.retain(|candidate| candidate.time_left() >= critical);
    candidates.sort_by(|left, right| right.time_left().total_cmp(&left.time_left()));
}

fn candidate(
    batch: &Batch,
    index: ItemIndex,
    run: &ActiveRun,
    engines: &EnginePool,
    lengths: &LengthModel,
    now: BootInstant,
) -> Option<Candidate> {
    let min_run_time = match run.has_moved {
        true => MIN_STAY,
        false => MIN_RUN_TIME,
    };
    let is_recent = now < run.started_at + min_run_time;
    if is_recent || run.cancel.is_cancelled() {
        return None;
    }
    let event_interval_us = engines.get(&run.engine)?.pace.microseconds()?;
    let made = run.progress.events();
    let hint = batch.item(index).expected_length;
    let remaining = lengths.remaining_events(hint, made)?;
    Some(Candidate {
        index,
        remaining,
        event_interval_us,
    })
}

#[cfg(test)]
mod tests;
