//! Moving items to other engines: off those that are much slower than the others, and
//! long texts to faster ones.
//!
//! A step ends with its longest texts, and by then most places are free. A text that is
//! being made on an engine slower than one with a free place is moved there if the time
//! that this saves is worth reading it again: its run is closed, and it goes on after
//! its last event. A place is kept for it meanwhile.

use super::{ActiveRun, ServiceOwner};
use crate::events::{self, Event};
use crate::owner::engine::ModelRequirement;
use crate::owner::engines::{EnginePool, FreeEngine, SIMILAR_INTERVAL_FACTOR};
use sloetrail_batch::{Batch, BatchId, ItemIndex, LengthModel};
use sloetrail_clock::BootInstant;
use sloetrail_types::EngineId;
use std::time::Duration;

/// A move must save at least this: reading the text again takes some tens of
/// milliseconds, and what remains of a text is an estimate.
const GAIN_LEAST: Duration = Duration::from_millis(250);
/// A run is not moved before: until then its engine's pace is that of earlier runs.
const RUN_LEAST: Duration = Duration::from_millis(400);
/// A text that has moved stays for this long: paces vary with the load.
const STAY_LEAST: Duration = Duration::from_millis(1_500);
/// A text is moved only if it has at least this share of what the longest of its batch has
/// left. The batch is done no sooner if another one is, and each move closes a connection and
/// has the text read again.
const CRITICAL_SHARE: f64 = 0.75;

/// A run that would be done sooner elsewhere.
struct Candidate {
    index: ItemIndex,
    /// Events that are still expected.
    remaining: f64,
    /// Microseconds an event where it runs.
    pace: u64,
}

impl Candidate {
    /// The time that it takes where it runs, in microseconds.
    fn time_left(&self) -> f64 {
        self.pace as f64 * self.remaining
    }

    /// The time that going on at an engine saves, if it is clearly faster.
    fn gain_at(&self, engine: &FreeEngine) -> Option<Duration> {
        let is_clear = self.pace as f64 > engine.event_interval_us as f64 * SIMILAR_INTERVAL_FACTOR;
        let saved = self.pace.saturating_sub(engine.event_interval_us) as f64 * self.remaining;
        is_clear.then(|| Duration::from_micros(saved as u64))
    }
}

impl ServiceOwner {
    /// Gives up runs on slow engines while others have free places; they go on there
    /// from the text that is kept.
    pub(super) fn move_from_slow_engines(&mut self, now: BootInstant) {
        for open in self.batches.values() {
            let demand = ModelRequirement {
                model: open.batch.model.as_deref(),
                oldest_version: open.batch.oldest_version,
            };
            if open.batch.waiting() > 0 {
                continue;
            }
            let mut places = self.engines.free_fast_slots(demand, now);
            for run in open.runs.values() {
                let engine = self.engines.get(&run.engine);
                let is_slow = engine.is_some_and(|engine| engine.is_slow());
                if places > 0 && is_slow && !run.cancel.is_cancelled() {
                    run.cancel.cancel();
                    places -= 1;
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
            let demand = ModelRequirement {
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
            keep_critical(&mut candidates);
            let mut target = free.next();
            for candidate in candidates {
                let Some(engine) = &target else {
                    break;
                };
                let gain = candidate.gain_at(engine);
                let Some(gain) = gain.filter(|gain| *gain >= GAIN_LEAST) else {
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
                run.moves_to = Some(engine.id.clone());
                run.cancel.cancel();
                if let Some(engine) = self.engines.get_mut(&engine.id) {
                    engine.reserve_slot(now);
                }
                target = free.next();
            }
        }
    }

    /// Goes on with an item whose run was closed so that it can move.
    pub(super) fn go_on_at(&mut self, id: &BatchId, index: ItemIndex, engine: EngineId) {
        self.engines.release_slot(Some(&engine));
        let Some(open) = self.batches.get(id) else {
            return;
        };
        let demand = ModelRequirement {
            model: open.batch.model.as_deref(),
            oldest_version: open.batch.oldest_version,
        };
        let wanted = open.batch.is_wanted(index);
        let target = self.engines.get(&engine);
        // Otherwise it waits and goes wherever there is room.
        if target.is_some_and(|engine| engine.can_take(demand, BootInstant::now())) {
            let priority = self.priority(wanted);
            self.start_on(id, index, engine, priority);
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
fn keep_critical(candidates: &mut Vec<Candidate>) {
    let times = candidates.iter().map(Candidate::time_left);
    let critical = times.fold(0.0, f64::max) * CRITICAL_SHARE;
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
    let stays_for = match run.has_moved {
        true => STAY_LEAST,
        false => RUN_LEAST,
    };
    let is_young = now < run.began + stays_for;
    if is_young || run.cancel.is_cancelled() {
        return None;
    }
    let pace = engines.get(&run.engine)?.event_interval.microseconds()?;
    let made = run.progress.event_count();
    let hinted = batch.item(index).expected_length;
    let remaining = lengths.remaining_events(hinted, made)?;
    Some(Candidate {
        index,
        remaining,
        pace,
    })
}

#[cfg(test)]
mod tests;
