//! Which item goes to which engine, and when it is taken away again.

use super::{ActiveRun, OpenBatch, ServiceOwner};
use crate::back_end::BackEnd;
use crate::events::{self, Event};
use crate::owner::batch_scheduler::BatchScheduler;
use crate::owner::engine::ModelRequirement;
use crate::owner::engines::EnginePreference;
use crate::owner::event::OwnerEvent;
use crate::owner::run::{RunProgress, RunSpec, run_item};
use crate::telemetry;
use sloetrail_batch::{BatchId, ItemIndex};
use sloetrail_clock::BootInstant;
use sloetrail_types::EngineId;
use std::sync::Arc;

/// Ranks at an engine: items of groups that the trainer waits for, and the others.
const PRIORITY_WANTED: u8 = 5;
const PRIORITY_OTHER: u8 = 7;
/// The rank of items that are started while the lease has not been confirmed for longer
/// than it lasts: another owner, if there is one, displaces them.
const PRIORITY_UNCONFIRMED: u8 = 9;

impl ServiceOwner {
    /// Starts items while there are engines for them: first the items of groups that
    /// trainers wait for, of all batches in their turns, then the others.
    pub(super) fn fill(&mut self) {
        if !self.context.pause_guard.is_settled() {
            return;
        }
        let mut shares = std::mem::take(&mut self.shares);
        let open = self.batches.values();
        let under_way = open.map(|open| (&open.batch.header.tenant, open.runs.len()));
        shares.recount(under_way);
        for wanted in [true, false] {
            let open = self.batches.iter();
            let headers = open.map(|(id, open)| (id, &open.batch.header));
            let turns = BatchScheduler::new(&mut shares, headers);
            turns.run(|id| self.start_next(id, wanted));
        }
        if self.batches.is_empty() {
            shares.forget_idle();
        }
        self.shares = shares;
    }

    pub(super) fn priority(&self, wanted: bool) -> u8 {
        let lease = self.context.settings.bounds.lease;
        match wanted {
            _ if !self.term.is_confirmed_within(lease) => PRIORITY_UNCONFIRMED,
            true => PRIORITY_WANTED,
            false => PRIORITY_OTHER,
        }
    }

    /// Starts the next item of a batch; false if none waits or no engine takes it.
    fn start_next(&mut self, id: &BatchId, wanted: bool) -> bool {
        let priority = self.priority(wanted);
        self.set_held_aside(id);
        let Some(open) = self.batches.get(id) else {
            return false;
        };
        if open.is_wide_enough() {
            return false;
        }
        let next = open.batch.peek();
        if next.is_none_or(|index| open.batch.is_wanted(index) != wanted) {
            return false;
        }
        let demand = ModelRequirement {
            model: open.batch.model.as_deref(),
            oldest_version: open.batch.oldest_version,
        };
        let preference = self.preference(open, next);
        let connections = &self.context.connections;
        let is_connected = |back_end: &BackEnd| connections.has_resting(back_end);
        let now = BootInstant::now();
        let picked = self.engines.pick(demand, now, preference, is_connected);
        let Some(engine_id) = picked else {
            return false;
        };
        next.is_some_and(|index| self.start_on(id, index, engine_id, priority))
    }

    /// What counts for an item that is to be sent to an engine.
    fn preference(&self, open: &OpenBatch, index: Option<ItemIndex>) -> EnginePreference {
        let policies = self.context.settings.policies;
        let item = index.map(|index| open.batch.item(index));
        let is_deciding = item.is_some_and(|item| open.outlook.is_deciding(item, &self.lengths));
        match policies.prefer_fast_engines {
            false => EnginePreference::LeastLoaded,
            true if is_deciding || !policies.bounded_batch_width => EnginePreference::Fastest,
            true => EnginePreference::Connected,
        }
    }

    /// Starts an item that waits on an engine; false if either is not there.
    pub(super) fn start_on(
        &mut self,
        id: &BatchId,
        index: ItemIndex,
        engine_id: EngineId,
        priority: u8,
    ) -> bool {
        let Some(quarantine_permit) = self.passage(id, index) else {
            return false;
        };
        let Some(open) = self.batches.get_mut(id) else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return false;
        };
        if !open.batch.start(index) {
            return false;
        }
        engine.record_start();
        let item = open.batch.item(index);
        let run = ActiveRun {
            engine: engine_id.clone(),
            cancel: open.cancel.child_token(),
            progress: RunProgress::new(item.transcript.clone()),
            kept: open.kept.get(&index).copied().unwrap_or_default(),
            began: BootInstant::now(),
            has_moved: false,
            moves_to: None,
        };
        let spec = RunSpec {
            context: Arc::clone(&self.context),
            item: Arc::clone(&item.submitted),
            host: open.batch.header.host.clone(),
            tenant: open.batch.header.tenant.clone(),
            back_end: Arc::clone(&engine.back_end),
            oldest_version: open.batch.oldest_version,
            single_version: open.batch.header.single_version,
            priority,
            sends: engine.sends(),
            resend_bound: engine.resend_bound(),
            quarantine_permit,
            event_interval: Arc::clone(&engine.event_interval),
            progress: Arc::clone(&run.progress),
            cancel: run.cancel.clone(),
        };
        let model = open.batch.model.as_deref().unwrap_or_default();
        events::emit(&Event::ItemStarted {
            item: &item.submitted.id,
            batch: id,
            back_end: engine_id.as_str(),
            last_event: item.transcript.last_number().unwrap_or_default(),
            version: engine.version(model).0,
            waiting: open.batch.waiting(),
        });
        open.stories.entry(index).or_default().started(run.began);
        open.runs.insert(index, run);
        self.spawn_run(id.clone(), index, engine_id, spec);
        true
    }

    fn spawn_run(&self, batch: BatchId, index: ItemIndex, engine: EngineId, spec: RunSpec) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let began = BootInstant::now();
            let progress = Arc::clone(&spec.progress);
            let outcome = run_item(spec).await;
            let ended = OwnerEvent::RunEnded {
                batch,
                index,
                engine,
                outcome,
                transcript: progress.transcript(),
                took: began.elapsed(),
            };
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(ended);
        });
    }

    pub(super) fn tell_items(&self) {
        let open = self.batches.values();
        let waiting = open.map(|open| open.batch.waiting()).sum();
        let running = self.batches.values().map(|open| open.runs.len()).sum();
        telemetry::items(self.term.subject.name(), waiting, running);
        telemetry::scores_waiting(self.term.subject.name(), self.rewards.waiting());
    }
}
