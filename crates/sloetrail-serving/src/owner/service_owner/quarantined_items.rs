//! Quarantined items: items that are not sent to engines because engines crashed while running
//! them.
//!
//! A quarantined item is set aside from the queue of its batch, so that it does not block the
//! items behind it. It returns to the queue when it is released. When it may be tried, it starts at
//! an engine before the items that wait in queues. Its trial ends with its run, or as soon as the
//! run has passed the event at which engines crashed.

use super::{OpenBatch, ServiceOwner};
use crate::events::{self, Event};
use crate::owner::engine::{Engine, ModelRequirement};
use crate::owner::item_trials::{ItemKey, ItemTrial, ItemTrials, TrialEnd};
use crate::owner::run::RunOutcome;
use crate::quarantine::{Permission, QuarantinePermit, RequestIdentity, TrialDelays};
use crate::telemetry;
use sloetrail_batch::{BatchId, DispatchClass, ItemIndex};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, whole_millis};
use std::collections::BTreeMap;
use std::time::Duration;

/// How often running trials are checked for progress.
const TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An item that was set aside from the queue of its batch.
struct HeldItem {
    permit: QuarantinePermit,
    since: BootInstant,
}

#[derive(Default)]
pub(super) struct QuarantinedItems {
    items: BTreeMap<ItemKey, HeldItem>,
    trials: ItemTrials,
    /// The permits of items whose trials are about to start.
    trial_permits: BTreeMap<ItemKey, QuarantinePermit>,
}

impl QuarantinedItems {
    /// When the running trials are to be checked next. None if there are none.
    pub(super) fn next_trial_check(&self, now: BootInstant) -> Option<BootInstant> {
        (!self.trials.is_empty()).then(|| now + TRIAL_CHECK_INTERVAL)
    }
}

impl ServiceOwner {
    /// Returns the permit that decides whether an item may be sent to engines. None if its batch
    /// is not open.
    pub(super) fn quarantine_permit(
        &mut self,
        id: &BatchId,
        index: ItemIndex,
    ) -> Option<QuarantinePermit> {
        let key = (id.clone(), index);
        if let Some(on_trial) = self.quarantined.trial_permits.remove(&key) {
            return Some(on_trial);
        }
        let open = self.batches.get(id)?;
        let (header, item) = (&open.batch.header, &open.batch.item(index).submitted);
        let identity = RequestIdentity::of_item(header.tenant.as_ref(), &header.host, item);
        let delays = TrialDelays::of_held_request(header.run_target.duration());
        let quarantine = &self.context.quarantine;
        let permit = QuarantinePermit::new(quarantine, &self.service, identity, delays);
        Some(permit)
    }

    /// Sets the quarantined items aside that are next of their class in a batch's queue.
    pub(super) fn set_aside_quarantined(&mut self, id: &BatchId, class: DispatchClass) {
        let next = |batches: &BTreeMap<BatchId, OpenBatch>| {
            let open = batches.get(id)?;
            open.batch.next_of_class(class)
        };
        while let Some(index) = next(&self.batches) {
            if !self.set_aside_if_quarantined(id, index) {
                return;
            }
        }
    }

    /// Sets a waiting item aside if it is quarantined. Returns true if it was set aside.
    pub(super) fn set_aside_if_quarantined(&mut self, id: &BatchId, index: ItemIndex) -> bool {
        if self.context.quarantine.assessment().is_empty(&self.service) {
            return false;
        }
        let Some(permit) = self.quarantine_permit(id, index) else {
            return false;
        };
        if permit.is_open() {
            return false;
        }
        let Some(open) = self.batches.get_mut(id) else {
            return false;
        };
        open.batch.remove_from_queue(index);
        let permission = permit.permission();
        events::emit(&Event::ItemHeld {
            item: &open.batch.item(index).submitted.id,
            batch: id,
            digest: &permit.digest().to_string(),
            permission: permission.as_str(),
            wait_ms: whole_millis(permission.remaining()),
        });
        let since = BootInstant::now();
        let key = (id.clone(), index);
        self.quarantined
            .items
            .insert(key, HeldItem { permit, since });
        true
    }

    /// Ends the trials of items that have proved innocent, and returns released items to their
    /// queues.
    pub(super) fn update_quarantined_items(&mut self) {
        self.end_passed_trials();
        let batches = &self.batches;
        self.quarantined
            .items
            .retain(|(id, _), _| batches.contains_key(id));
        let released = self.quarantined.items.iter();
        let released = released.filter(|(_, held)| held.permit.is_open());
        let released: Vec<ItemKey> = released.map(|(key, _)| key.clone()).collect();
        for key in released {
            self.put_back(&key, "released");
        }
        if self.quarantined.items.is_empty() && self.quarantined.trials.is_empty() {
            self.quarantined.trials.reset();
        }
    }

    /// Starts the trials that are due as far as engines have room for them: those of items first
    /// that were not on trial before, then of those that have waited longest.
    pub(super) fn start_trials(&mut self) {
        self.end_passed_trials();
        let has_room = self.quarantined.trials.has_room();
        if !has_room || !self.engines.any_has_room(BootInstant::now()) {
            return;
        }
        let held = self.quarantined.items.iter();
        let due = held.filter_map(|(key, held)| match held.permit.permission() {
            Permission::OnTrial { is_alone } => Some((is_alone, held.since, key.clone())),
            _ => None,
        });
        let mut due: Vec<(bool, BootInstant, ItemKey)> = due.collect();
        due.sort();
        for (is_alone, _, key) in due {
            if !self.quarantined.trials.has_room() {
                return;
            }
            if let Some(engine) = self.trial_engine(&key, is_alone) {
                self.start_trial(&key, engine, is_alone);
            }
        }
    }

    /// Returns the engine for the trial of a held item: the one with the fewest trials, then with the
    /// fewest items. None if no engine may have the trial now.
    fn trial_engine(&self, (id, index): &ItemKey, is_alone: bool) -> Option<EngineId> {
        let open = self.batches.get(id)?;
        let held = self.quarantined.items.get(&(id.clone(), *index))?;
        let trials = &self.quarantined.trials;
        if trials.includes(held.permit.digest()) {
            return None;
        }
        let requirement = ModelRequirement {
            model: open.batch.model.as_deref(),
            oldest_version: open.batch.oldest_version,
        };
        let now = BootInstant::now();
        let takes_work = |(_, engine): &(&EngineId, &Engine)| engine.takes_work();
        let count = self.engines.iter().filter(takes_work).count();
        let able = self.engines.iter().filter(|(id, engine)| {
            engine.can_take(requirement, now) && trials.may_start_at(id, is_alone, count)
        });
        let best = able.min_by_key(|(id, engine)| (trials.count_at(id), engine.running));
        best.map(|(id, _)| id.clone())
    }

    fn start_trial(&mut self, key: &ItemKey, engine: EngineId, is_alone: bool) {
        let Some(held) = self.quarantined.items.get(key) else {
            return;
        };
        let mut permit = held.permit.clone();
        permit.start_trial();
        let (id, index) = key;
        let Some(open) = self.batches.get(id) else {
            return;
        };
        let required = open.batch.is_required(*index);
        let last_event = open.batch.item(*index).transcript.last_number();
        let trial = ItemTrial {
            engine: engine.clone(),
            digest: permit.digest(),
            is_alone,
            last_suspect_event: last_event
                .max(permit.last_suspect_event())
                .unwrap_or_default(),
        };
        self.put_back(key, "trial");
        self.quarantined.trial_permits.insert(key.clone(), permit);
        let priority = self.priority(required);
        if self.start_item_on(id, *index, engine, priority) {
            self.quarantined.trials.start(key.clone(), trial);
        }
        self.quarantined.trial_permits.remove(key);
    }

    /// Ends the trials of items that have passed the event at which engines crashed, and clears the
    /// items.
    fn end_passed_trials(&mut self) {
        let has_passed = |((id, index), trial): &(&ItemKey, &ItemTrial)| {
            let open = self.batches.get(id);
            let run = open.and_then(|open| open.runs.get(index));
            let last_event = run.and_then(|run| run.progress.last_event());
            last_event > Some(trial.last_suspect_event)
        };
        let passed = self.quarantined.trials.iter().filter(has_passed);
        let passed: Vec<ItemKey> = passed.map(|(key, _)| key.clone()).collect();
        for key in passed {
            if let Some(trial) = self.quarantined.trials.end(&key, TrialEnd::Passed) {
                self.context
                    .quarantine
                    .record_passed_trial(&self.service, trial.digest);
                self.log_trial_end(&trial, "passed");
            }
        }
    }

    /// Ends the trial of an item whose run has ended.
    pub(super) fn trial_run_ended(&mut self, id: &BatchId, index: ItemIndex, outcome: RunOutcome) {
        let end = match outcome {
            RunOutcome::Completed | RunOutcome::Failed | RunOutcome::Impossible => TrialEnd::Passed,
            RunOutcome::Lost => TrialEnd::Lost,
            _ => TrialEnd::Undecided,
        };
        if let Some(trial) = self.quarantined.trials.end(&(id.clone(), index), end) {
            self.log_trial_end(&trial, outcome.as_str());
        }
    }

    fn log_trial_end(&self, trial: &ItemTrial, outcome: &str) {
        events::emit(&Event::TrialEnded {
            digest: &trial.digest.to_string(),
            service: self.service.as_str(),
            back_end: trial.engine.as_str(),
            outcome,
        });
    }

    /// Returns an item to the queue of its batch.
    fn put_back(&mut self, key: &ItemKey, cause: &str) {
        let Some(held) = self.quarantined.items.remove(key) else {
            return;
        };
        let (id, index) = key;
        let Some(open) = self.batches.get_mut(id) else {
            return;
        };
        open.batch.requeue(*index);
        let held_for = held.since.elapsed();
        telemetry::item_freed(self.service.as_str(), held_for);
        events::emit(&Event::ItemFreed {
            item: &open.batch.item(*index).submitted.id,
            batch: id,
            digest: &held.permit.digest().to_string(),
            cause,
            held_ms: whole_millis(held_for),
        });
    }

    pub(super) fn report_quarantined_items(&self) {
        let items = self.quarantined.items.values();
        let longest = items.map(|held| held.since.elapsed()).max();
        telemetry::items_quarantined(
            self.term.resource.name(),
            self.quarantined.items.len(),
            longest.unwrap_or_default(),
        );
    }
}
