//! Reports how the slots of each model are used while items wait.
//!
//! Answers whether waiting items lack engine time altogether or only engines of their model.

use super::ServiceOwner;
use crate::events::{self, Event};
use sloetrail_clock::BootInstant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two log lines. Shorter than a step, so that a step's course can be followed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Items and slots of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ModelSlots {
    running: usize,
    waiting: usize,
    /// Free slots of the engines assigned to the model.
    free: usize,
}

impl ServiceOwner {
    /// Adds to each batch the time in which its items waited while only engines of other models
    /// had free slots, and logs the use of slots.
    pub(super) fn report_slots(&mut self, now: BootInstant) {
        let elapsed = now.saturating_duration_since(self.slots_counted_at);
        self.slots_counted_at = now;
        let slots = self.slots_by_model(now);
        let total_free: usize = slots.values().map(|slots| slots.free).sum();
        for open in self.batches.values_mut() {
            let model = open.batch.model.as_deref().unwrap_or_default();
            let own = slots.get(model).copied().unwrap_or_default();
            let waits_for_assignment = open.batch.waiting() > 0 && own.free == 0 && total_free > 0;
            if waits_for_assignment {
                open.waited_while_others_free += elapsed;
            }
        }
        if now.saturating_duration_since(self.slots_reported_at) < REPORT_INTERVAL {
            return;
        }
        self.slots_reported_at = now;
        for (model, slots) in slots.iter().filter(|(_, slots)| slots.waiting > 0) {
            events::emit(&Event::ItemsWaiting {
                service: self.term.resource.name(),
                model,
                waiting: slots.waiting,
                running: slots.running,
                free: slots.free,
                free_of_others: total_free - slots.free,
            });
        }
    }

    fn slots_by_model(&self, now: BootInstant) -> BTreeMap<String, ModelSlots> {
        let mut slots: BTreeMap<String, ModelSlots> = BTreeMap::new();
        for open in self.batches.values() {
            let model = open.batch.model.clone().unwrap_or_default();
            let of_model = slots.entry(model).or_default();
            of_model.running += open.runs.len();
            of_model.waiting += open.batch.waiting();
        }
        for (_, engine) in self.engines.iter() {
            let is_ordinary = engine.is_usable(now) && !engine.is_slow();
            if let Some(model) = engine.assigned.clone().filter(|_| is_ordinary) {
                slots.entry(model).or_default().free += engine.free_slots(now);
            }
        }
        slots
    }
}
