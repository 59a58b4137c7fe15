//! Shares engines among models by capacity and backlog while slots are scarce.

use super::ServiceOwner;
use crate::events::{self, Event};
use crate::owner::backlog_assignment::{
    ChangeDuration, Reassignment, ReassignmentBounds, ReassignmentLimit,
};
use crate::owner::model_backlog::{
    ArrivalsByModel, ExpectedModelWork, ModelOpenEvents, open_events,
};
use crate::telemetry;
use sloetrail_clock::BootInstant;
use sloetrail_types::Timestamp;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What the shares of models depend on besides the open batches.
#[derive(Default)]
pub(super) struct ReassignmentState {
    pub(super) arrivals: ArrivalsByModel,
    limit: ReassignmentLimit,
    changes: ChangeDuration,
}

impl ServiceOwner {
    /// Reassigns engines to the models that finish last. Called on each tick.
    pub(super) fn reassign_by_backlog(&mut self, now: BootInstant) {
        self.record_change_durations();
        let backlogs = self.backlogs(now);
        self.report_times_to_finish(backlogs.as_deref(), now);
        let Some(backlogs) = backlogs else {
            return;
        };
        let max_engines = self.backlog.limit.available(self.engines.len(), now);
        let bounds = ReassignmentBounds {
            max_engines,
            change: self.backlog.changes.get(),
            default_interval_us: self.engines.median_lasting_interval_us(),
        };
        let reassignments = self.engines.reassign_by_backlog(&backlogs, bounds, now);
        self.backlog.limit.record(reassignments.len(), now);
        for reassignment in &reassignments {
            self.report_reassignment(reassignment, &backlogs, now);
        }
    }

    /// True if engines are shared among models by backlog: slots of a model are scarce, and the
    /// unit of the length hints is known. Only the owner that orders versions reassigns engines.
    pub(super) fn assigns_by_backlog(&self) -> bool {
        self.context.settings.policies.assign_by_backlog
            && self.set.controls_engine_count()
            && self.lengths.remaining_events(1, 0).is_some()
            && self.slots_are_scarce()
    }

    fn slots_are_scarce(&self) -> bool {
        let models = self.models();
        models.iter().any(|model| self.usage.is_scarce(Some(model)))
    }

    /// The work of each model; None while engines are not shared by it.
    fn backlogs(&self, now: BootInstant) -> Option<Vec<ExpectedModelWork>> {
        if !self.assigns_by_backlog() {
            return None;
        }
        let now_ms = self.context.table.now_ms()?;
        let open: Option<Vec<ModelOpenEvents>> = self
            .models()
            .into_iter()
            .map(|model| {
                Some(ModelOpenEvents {
                    events: self.open_events(&model, now_ms)?,
                    capacity: self.engines.capacity_of(&model, now),
                    model,
                })
            })
            .collect();
        let arrivals = &self.backlog.arrivals;
        Some(arrivals.backlogs(&open?, &self.lengths, Timestamp(now_ms)))
    }

    /// Events still to run for the open required items of a model, those of other owners included.
    fn open_events(&self, model: &str, now_ms: u64) -> Option<f64> {
        let other_items = self.other_batches.items(model, now_ms);
        let arrivals = &self.backlog.arrivals;
        let mut events = arrivals.events_of_items(model, other_items, &self.lengths);
        let open = self.batches.values();
        for open in open.filter(|open| open.batch.model.as_deref() == Some(model)) {
            let generated = |index| open.generated_events(index);
            events += open_events(&open.batch, &self.lengths, generated)?;
        }
        Some(events)
    }

    fn record_change_durations(&mut self) {
        for (_, engine) in self.engines.iter_mut() {
            if let Some(duration) = engine.take_change_duration() {
                self.backlog.changes.record(duration);
            }
        }
    }

    /// Reports the time to finish of each model; zero while engines are not shared by it.
    fn report_times_to_finish(&self, backlogs: Option<&[ExpectedModelWork]>, now: BootInstant) {
        for model in self.models() {
            let mut of_model = backlogs.into_iter().flatten();
            let backlog = of_model.find(|backlog| backlog.model == model);
            let seconds = backlog.map_or(0.0, |backlog| self.seconds_to_finish(backlog, now));
            telemetry::model_time_to_finish(self.term.resource.name(), &model, seconds);
        }
    }

    fn seconds_to_finish(&self, backlog: &ExpectedModelWork, now: BootInstant) -> f64 {
        backlog.seconds_to_finish(self.engines.capacity_of(&backlog.model, now))
    }

    fn report_reassignment(
        &self,
        reassignment: &Reassignment,
        backlogs: &[ExpectedModelWork],
        now: BootInstant,
    ) {
        let finish_ms = |model: &str| {
            let backlog = backlogs.iter().find(|backlog| backlog.model == model);
            let seconds = backlog.map_or(0.0, |backlog| self.seconds_to_finish(backlog, now));
            // The conversion is limited to the range of the type.
            (seconds * MILLIS_PER_SECOND) as u64
        };
        let service = self.term.resource.name();
        telemetry::engine_reassigned(service);
        events::emit(&Event::EngineReassigned {
            service,
            back_end: reassignment.engine.as_str(),
            from: &reassignment.from,
            to: &reassignment.to,
            from_finish_ms: finish_ms(&reassignment.from),
            to_finish_ms: finish_ms(&reassignment.to),
        });
    }
}
