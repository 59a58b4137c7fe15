//! Dispatches items to engines.

use super::{ActiveRun, OpenBatch, ServiceOwner};
use crate::back_end::BackEnd;
use crate::events::{self, Event};
use crate::owner::batch_scheduler::{BatchScheduler, StartOutcome, TurnRule};
use crate::owner::engine::ModelRequirement;
use crate::owner::engines::EnginePreference;
use crate::owner::event::OwnerEvent;
use crate::owner::run::{RunOutcome, RunProgress, RunSpec, run_item};
use crate::tasks;
use crate::telemetry;
use sloetrail_balance::TenantShares;
use sloetrail_batch::{BatchHeader, BatchId, DispatchClass, ItemIndex};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, whole_millis};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Priorities at the engine of items in required groups and of other items. Lower values run
/// first.
const PRIORITY_REQUIRED: u8 = 5;
const PRIORITY_OTHER: u8 = 7;
/// Priority of items that are started while the lease is unconfirmed for longer than its
/// duration, so that items of a newer owner displace them.
const PRIORITY_UNCONFIRMED: u8 = 9;

impl ServiceOwner {
    /// Starts items while engines have free slots: the required items of all batches in turn, then the
    /// other items. Under triage, the items of one urgency go by class before the next urgency.
    pub(super) fn dispatch_items(&mut self) {
        if !self.context.suspension_guard.is_settled() {
            return;
        }
        let mut shares = std::mem::take(&mut self.shares);
        let open = self.batches.values();
        let in_flight = open.map(|open| (&open.batch.header.tenant, open.runs.len()));
        shares.recount(in_flight);
        match self.triage.turn_rule() {
            TurnRule::ItemsInFlight => self.dispatch_required_first(&mut shares),
            rule @ TurnRule::EngineTime { .. } => self.dispatch_by_class(&mut shares, rule),
        }
        if self.batches.is_empty() {
            shares.forget_idle();
        }
        self.shares = shares;
    }

    fn dispatch_required_first(&mut self, shares: &mut TenantShares) {
        for class in [DispatchClass::InTime, DispatchClass::NotRequired] {
            let headers = batch_headers(&self.batches);
            let scheduler = BatchScheduler::new(shares, TurnRule::ItemsInFlight, headers);
            scheduler.run(|id| {
                let next = self
                    .batches
                    .get(id)
                    .and_then(|open| open.batch.next_class());
                next == Some(class) && self.start_next_item(id, class) == StartOutcome::Started
            });
        }
    }

    fn dispatch_by_class(&mut self, shares: &mut TenantShares, rule: TurnRule) {
        let mut starts_since_late = std::mem::take(&mut self.triage.starts_since_late);
        let headers = batch_headers(&self.batches);
        let scheduler = BatchScheduler::new(shares, rule, headers);
        scheduler.run_by_class(&mut starts_since_late, |id, class| {
            self.start_next_item(id, class)
        });
        self.triage.starts_since_late = starts_since_late;
    }

    pub(super) fn priority(&self, required: bool) -> u8 {
        let lease = self.context.settings.bounds.lease;
        match required {
            _ if !self.term.is_confirmed_within(lease) => PRIORITY_UNCONFIRMED,
            true => PRIORITY_REQUIRED,
            false => PRIORITY_OTHER,
        }
    }

    /// Starts the next item of a class of a batch.
    fn start_next_item(&mut self, id: &BatchId, class: DispatchClass) -> StartOutcome {
        let priority = self.priority(class != DispatchClass::NotRequired);
        let Some(open) = self.batches.get(id) else {
            return StartOutcome::NoItem;
        };
        if open.has_enough_runs() {
            return StartOutcome::NoRoom;
        }
        let Some(next) = open.batch.next_of_class(class) else {
            return StartOutcome::NoItem;
        };
        let requirement = ModelRequirement {
            model: open.batch.model.as_deref(),
            oldest_version: open.batch.oldest_version,
        };
        let preference = self.preference(open, next);
        let connections = &self.context.connections;
        let is_connected = |back_end: &BackEnd| connections.has_idle(back_end);
        let now = BootInstant::now();
        let picked = self
            .engines
            .pick(requirement, now, preference, is_connected);
        let Some(engine_id) = picked else {
            return StartOutcome::NoRoom;
        };
        let index = self.item_for_engine(id, class, &engine_id);
        let has_started =
            index.is_some_and(|index| self.start_item_on(id, index, engine_id, priority));
        match has_started {
            true => StartOutcome::Started,
            false => StartOutcome::NoItem,
        }
    }

    /// Returns how to choose an engine for an item.
    fn preference(&self, open: &OpenBatch, index: ItemIndex) -> EnginePreference {
        let policies = self.context.settings.policies;
        let item = open.batch.item(index);
        let is_critical = open.estimate.is_critical(item, &self.lengths);
        match policies.prefer_fast_engines {
            false => EnginePreference::LeastLoaded,
            true if self.matches_speed(open.batch.model.as_deref()) => {
                EnginePreference::FastestLasting
            }
            true if is_critical || !policies.bounded_batch_width => EnginePreference::Fastest,
            true => EnginePreference::Connected,
        }
    }

    /// Starts a waiting item on an engine. False if the item does not wait or the engine is gone.
    pub(super) fn start_item_on(
        &mut self,
        id: &BatchId,
        index: ItemIndex,
        engine_id: EngineId,
        priority: u8,
    ) -> bool {
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
            checkpointed_events: open
                .checkpointed_events
                .get(&index)
                .copied()
                .unwrap_or_default(),
            started_at: BootInstant::now(),
            has_moved: false,
            move_target: None,
            is_move_withheld: false,
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
            event_interval: Arc::clone(&engine.event_interval),
            progress: Arc::clone(&run.progress),
            cancel: run.cancel.clone(),
        };
        let timeline = open.timelines.entry(index).or_default();
        let interrupted_for = timeline.run_started(run.started_at);
        if let Some(time) = interrupted_for {
            telemetry::item_placed_again(self.service.as_str(), time);
        }
        let model = open.batch.model.as_deref().unwrap_or_default();
        events::emit(&Event::ItemStarted {
            item: &item.submitted.id,
            batch: id,
            back_end: engine_id.as_str(),
            last_event: item.transcript.last_number().unwrap_or_default(),
            version: engine.version(model).0,
            waiting: open.batch.waiting(),
            interrupted_ms: interrupted_for.map(whole_millis),
        });
        open.runs.insert(index, run);
        self.spawn_run(id.clone(), index, engine_id, spec);
        true
    }

    fn spawn_run(&self, batch: BatchId, index: ItemIndex, engine: EngineId, spec: RunSpec) {
        let sender = self.sender.clone();
        tasks::spawn("item run", async move {
            let started_at = BootInstant::now();
            let progress = Arc::clone(&spec.progress);
            let outcome = tasks::catch("item run", run_item(spec)).await;
            // The item is run again, after a delay at this engine.
            let outcome = outcome.unwrap_or(RunOutcome::Lost);
            let ended = OwnerEvent::RunEnded {
                batch,
                index,
                engine,
                outcome,
                transcript: progress.transcript(),
                took: started_at.elapsed(),
            };
            // The receiver is gone if the term has ended.
            let _ = sender.send(ended);
        });
    }

    pub(super) fn report_item_counts(&self) {
        let now = BootInstant::now();
        for model in self.models() {
            let capacity = self.engines.capacity_of(&model, now);
            telemetry::model_capacity(self.term.resource.name(), &model, capacity);
        }
        let open = self.batches.values();
        let waiting = open.map(|open| open.batch.waiting()).sum();
        let running = self.batches.values().map(|open| open.runs.len()).sum();
        telemetry::items(self.term.resource.name(), waiting, running);
        telemetry::scores_waiting(self.term.resource.name(), self.rewards.waiting());
    }
}

fn batch_headers(
    batches: &BTreeMap<BatchId, OpenBatch>,
) -> impl Iterator<Item = (&BatchId, &BatchHeader)> {
    let open = batches.iter();
    open.map(|(id, open)| (id, &open.batch.header))
}
