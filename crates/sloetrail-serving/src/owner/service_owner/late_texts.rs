//! Moves running texts that would be late to faster engines while slots are scarce.

use super::relocation::{Candidate, MIN_GAIN, candidate, close_for_move};
use super::{ActiveRun, OpenBatch, ServiceOwner};
use crate::owner::engine::ModelRequirement;
use crate::owner::engines::{EnginePool, FreeEngine};
use crate::owner::event_interval::EventIntervalMeter;
use crate::owner::scarce_move::{MoveDecision, MoveOffer, RunningText, WithheldMove, decide_move};
use crate::telemetry;
use sloetrail_batch::LengthModel;
use sloetrail_clock::BootInstant;

const CAUSE: &str = "late_text";

impl ServiceOwner {
    /// Closes runs whose texts would be late, and would end much sooner on a faster engine with a
    /// free slot. Acts for batches of models with scarce slots.
    pub(super) fn move_late_texts(&mut self, now: BootInstant) {
        let policies = self.context.settings.policies;
        if !policies.move_long_texts || !self.is_matching_speed() {
            return;
        }
        let service = self.service.as_str();
        for (id, open) in &mut self.batches {
            if !self.usage.is_scarce(open.batch.model.as_deref()) {
                continue;
            }
            let requirement = ModelRequirement {
                model: open.batch.model.as_deref(),
                oldest_version: open.batch.oldest_version,
            };
            let engines = &mut self.engines;
            let free = engines.free_engines_by_lasting_interval(requirement, now);
            let mut free = free.into_iter().peekable();
            if free.peek().is_none() {
                continue;
            }
            for text in texts_by_time_left(open, engines, &self.lengths, now) {
                let Some(target) = free.peek() else {
                    break;
                };
                match decide(open, engines, &text, target) {
                    MoveDecision::Move(gain) => {
                        telemetry::item_moved(service, CAUSE);
                        close_for_move(id, open, engines, &text, target, gain, now);
                        free.next();
                    }
                    MoveDecision::Withheld(cause) => {
                        if let Some(run) = open.runs.get_mut(&text.index) {
                            run.withhold_move(service, cause);
                        }
                    }
                    MoveDecision::NoGain => {}
                }
            }
        }
    }
}

impl ActiveRun {
    /// Counts a withheld move, once for each run.
    pub(super) fn withhold_move(&mut self, service: &str, cause: WithheldMove) {
        if !std::mem::replace(&mut self.is_move_withheld, true) {
            telemetry::item_move_withheld(service, cause.as_str());
        }
    }
}

/// The running texts of a batch that may be moved, longest remaining time first.
fn texts_by_time_left(
    open: &OpenBatch,
    engines: &EnginePool,
    lengths: &LengthModel,
    now: BootInstant,
) -> Vec<Candidate> {
    let interval_us = EventIntervalMeter::lasting_microseconds;
    let runs = open.runs.iter();
    let mut texts: Vec<Candidate> = runs
        .filter_map(|(index, run)| {
            candidate(&open.batch, *index, run, engines, lengths, now, interval_us)
        })
        .collect();
    texts.sort_by(|left, right| right.time_left_us().total_cmp(&left.time_left_us()));
    texts
}

fn decide(
    open: &OpenBatch,
    engines: &EnginePool,
    text: &Candidate,
    target: &FreeEngine,
) -> MoveDecision {
    let running = RunningText {
        remaining_events: text.remaining,
        interval_us: text.event_interval_us,
        time_left: open.time_left(),
    };
    let offer = MoveOffer {
        interval_us: target.event_interval_us,
        discarded_events: discarded_events(open, engines, text, target),
        stall: MIN_GAIN,
    };
    decide_move(running, offer)
}

/// Events that a move discards: all of a text that must have one version, if the target has
/// another one.
fn discarded_events(
    open: &OpenBatch,
    engines: &EnginePool,
    text: &Candidate,
    target: &FreeEngine,
) -> usize {
    let model = open.batch.model.as_deref().unwrap_or_default();
    let target_version = engines.get(&target.id).map(|engine| engine.version(model));
    let run = open.runs.get(&text.index);
    let version = run.and_then(|run| run.progress.version());
    let is_restarted = open.batch.header.single_version && version != target_version;
    match run {
        Some(run) if is_restarted => run.progress.event_count(),
        _ => 0,
    }
}
