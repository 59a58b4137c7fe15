//! Classifies the groups of open batches while a model's required work does not fit before it is
//! due, and counts the engine time of tenants.
//!
//! All state is derived from the open batches, so a new owner reaches the same classes once it
//! knows the event intervals and text lengths.

use super::{OpenBatch, ServiceOwner};
use crate::events::{self, Event};
use crate::owner::batch_scheduler::{StartsSinceLate, TurnRule};
use crate::owner::capacity_plan::{CapacityPlan, ModelCapacity, PlannedBatch, plan_capacity};
use crate::telemetry;
use sloetrail_batch::{LengthModel, TriagedGroups};
use sloetrail_clock::BootInstant;
use sloetrail_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Triage ends once the work has fitted for this long, so that estimates near the limit do not
/// change the dispatch order several times a second.
const TRIAGE_HOLD: Duration = Duration::from_secs(1);

/// State of the triage of all models of a service.
pub(super) struct TriageState {
    /// The models under triage, with the time at which their work last did not fit.
    active: BTreeMap<String, BootInstant>,
    /// The mean expected time of a waiting item at an engine, over the models under triage.
    run_time: Duration,
    pub(super) starts_since_late: StartsSinceLate,
    engine_time_recorded_at: BootInstant,
}

/// Totals over the models under triage.
#[derive(Default)]
struct TriageTotals {
    batches: usize,
    in_time_groups: usize,
    late_groups: usize,
    waiting_items: usize,
    /// The expected time of the waiting items at engines.
    waiting_seconds: f64,
}

impl TriageTotals {
    fn add(&mut self, plan: &CapacityPlan) {
        for (_, groups) in &plan.batches {
            self.batches += 1;
            self.in_time_groups += groups.in_time_count();
            self.late_groups += groups.late.len();
        }
    }

    /// The mean expected time of a waiting item. None if no item waits.
    fn run_time(&self) -> Option<Duration> {
        let seconds = self.waiting_seconds / self.waiting_items as f64;
        let is_known = self.waiting_items > 0;
        is_known.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

impl TriageState {
    pub(super) fn new(now: BootInstant) -> Self {
        Self {
            active: BTreeMap::new(),
            run_time: Duration::ZERO,
            starts_since_late: StartsSinceLate::new(),
            engine_time_recorded_at: now,
        }
    }

    /// How tenants take turns. One order applies to all models, since an engine can run items of
    /// several models.
    pub(super) fn turn_rule(&self) -> TurnRule {
        match self.active.is_empty() {
            true => TurnRule::ItemsInFlight,
            false => TurnRule::EngineTime {
                run_time: self.run_time,
            },
        }
    }

    /// Records whether a model's work fits. Returns true if the model is under triage.
    fn record_plan(&mut self, model: &str, fits: bool, now: BootInstant) -> bool {
        if !fits {
            self.active.insert(model.to_owned(), now);
        }
        let last_short_at = self.active.get(model);
        let is_active = last_short_at.is_some_and(|at| now < *at + TRIAGE_HOLD);
        if !is_active {
            self.active.remove(model);
        }
        is_active
    }
}

impl ServiceOwner {
    /// Classifies the groups of each model whose required work does not fit.
    pub(super) fn update_triage(&mut self, now: BootInstant) {
        if !self.context.settings.policies.triage_groups {
            return;
        }
        self.record_engine_time(now);
        let Some(table_now) = self.context.table.now_ms().map(Timestamp) else {
            return;
        };
        let open = self.batches.values();
        let with_due_time = open.filter(|open| open.batch.header.has_due_time());
        let mut models: BTreeSet<String> = with_due_time
            .filter_map(|open| open.batch.model.clone())
            .collect();
        models.extend(self.triage.active.keys().cloned());
        let mut totals = TriageTotals::default();
        for model in models {
            self.update_model_triage(&model, now, table_now, &mut totals);
        }
        if let Some(run_time) = totals.run_time() {
            self.triage.run_time = run_time;
        }
        telemetry::triage(
            self.term.resource.name(),
            totals.in_time_groups,
            totals.late_groups,
            totals.batches,
        );
    }

    /// Classifies the groups of a model's batches and adds them to `totals` if the model is under
    /// triage.
    fn update_model_triage(
        &mut self,
        model: &str,
        now: BootInstant,
        table_now: Timestamp,
        totals: &mut TriageTotals,
    ) {
        let may_need_triage =
            self.has_more_items_than_slots(model) || self.triage.active.contains_key(model);
        let capacity = self.model_capacity(model, now).filter(|_| may_need_triage);
        let Some((capacity, open)) = capacity.zip(self.model_work(model)) else {
            self.apply_plan(model, None, now);
            return;
        };
        let waiting_items: usize = open.iter().map(|open| open.work.waiting_items).sum();
        let waiting_events: f64 = open.iter().map(|open| open.work.waiting_events()).sum();
        let mut plan = plan_capacity(open, capacity, table_now);
        plan.fits |= !self.has_more_items_than_slots(model);
        if self.apply_plan(model, Some(&plan), now) {
            totals.add(&plan);
            totals.waiting_items += waiting_items;
            totals.waiting_seconds += waiting_events * capacity.event_interval.as_secs_f64();
        }
    }

    /// Adds the time for which each tenant's items had slots since the last call.
    fn record_engine_time(&mut self, now: BootInstant) {
        let last = std::mem::replace(&mut self.triage.engine_time_recorded_at, now);
        let elapsed = now.saturating_duration_since(last);
        let open = self.batches.values();
        let used = open.map(|open| {
            let slot_time = elapsed.mul_f64(open.runs.len() as f64);
            (&open.batch.header.tenant, slot_time)
        });
        self.shares.record_engine_time(elapsed, used);
    }

    /// Returns true if a model has more open items than slots. Otherwise all its items can run at
    /// once, and no order helps.
    fn has_more_items_than_slots(&self, model: &str) -> bool {
        let open = self.batches.values();
        let of_model = open.filter(|open| open.batch.model.as_deref() == Some(model));
        let items: usize = of_model.map(|open| open.items().all).sum();
        items > self.engines.slots_for_model(model)
    }

    /// What a model's engines generate. None if no event interval or no engine is known.
    fn model_capacity(&self, model: &str, now: BootInstant) -> Option<ModelCapacity> {
        let interval_us = self.engines.median_lasting_interval_us()?.max(1);
        let events_per_second = self.engines.capacity_of(model, now);
        (events_per_second > 0.0).then(|| ModelCapacity {
            events_per_second,
            event_interval: Duration::from_micros(interval_us),
        })
    }

    /// The work of a model's open batches. None until lengths can be estimated.
    fn model_work(&self, model: &str) -> Option<Vec<PlannedBatch>> {
        let open = self.batches.values();
        let of_model = open.filter(|open| open.batch.model.as_deref() == Some(model));
        of_model
            .map(|open| open_work(open, &self.lengths))
            .collect()
    }

    /// Sets the classes of a model's groups, or removes them if the model is not under triage.
    /// Returns whether it is. Without a plan, the classes stay for as long as triage is held.
    fn apply_plan(&mut self, model: &str, plan: Option<&CapacityPlan>, now: BootInstant) -> bool {
        let was_active = self.triage.active.contains_key(model);
        let fits = plan.is_none_or(|plan| plan.fits);
        let is_active = self.triage.record_plan(model, fits, now);
        if is_active && plan.is_none() {
            return true;
        }
        let batches = plan.map_or(&[][..], |plan| &plan.batches);
        let groups_by_batch: BTreeMap<&str, &TriagedGroups> = batches
            .iter()
            .map(|(id, groups)| (id.as_str(), groups))
            .collect();
        for (id, open) in &mut self.batches {
            if open.batch.model.as_deref() == Some(model) {
                let groups = groups_by_batch.get(id.as_str()).copied();
                open.batch.set_triage(groups.filter(|_| is_active));
            }
        }
        if was_active != is_active {
            let mut totals = TriageTotals::default();
            plan.into_iter().for_each(|plan| totals.add(plan));
            events::emit(&Event::TriageChanged {
                service: self.term.resource.name(),
                model,
                active: is_active,
                batches: totals.batches,
                in_time: totals.in_time_groups,
                late: totals.late_groups,
            });
        }
        is_active
    }
}

fn open_work(open: &OpenBatch, lengths: &LengthModel) -> Option<PlannedBatch> {
    let header = &open.batch.header;
    let generated = |index| open.generated_events(index);
    let (urgency, _) = header.urgency();
    Some(PlannedBatch {
        id: open.batch.id.clone(),
        urgency,
        tenant: header.tenant.clone(),
        ends_by: header.ends_by(),
        useful_until: header.useful_until(),
        has_due_time: header.has_due_time(),
        work: open.batch.remaining_work(lengths, generated)?,
    })
}

#[cfg(test)]
mod tests;
