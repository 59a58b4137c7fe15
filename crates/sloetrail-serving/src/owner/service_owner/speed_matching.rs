//! Applies the matching of texts to engines by speed while slots are scarce.

use super::{OpenBatch, ServiceOwner};
use crate::owner::speed_match::{WaitingText, choose_text};
use sloetrail_batch::{BatchId, DispatchClass, ItemIndex, LengthModel};
use sloetrail_clock::BootInstant;
use sloetrail_types::EngineId;
use std::time::Duration;

impl OpenBatch {
    /// Time until the batch is due, zero afterwards. None if its route has no run target.
    pub(super) fn time_left(&self) -> Option<Duration> {
        let run_target = self.batch.header.run_target.duration();
        (!run_target.is_zero()).then(|| run_target.saturating_sub(self.age()))
    }

    /// Time in which a complete batch is still of use to its trainer. None if its route has no run
    /// target.
    fn useful_time_left(&self) -> Option<Duration> {
        let header = &self.batch.header;
        let run_target = header.run_target.duration();
        let lateness = header.useful_until().since(header.ends_by());
        let is_timed = !run_target.is_zero();
        is_timed.then(|| (run_target + lateness).saturating_sub(self.age()))
    }

    /// The waiting texts of a class that may be dispatched instead of the next one, in dispatch
    /// order.
    fn waiting_texts(
        &self,
        class: DispatchClass,
        lengths: &LengthModel,
    ) -> impl Iterator<Item = WaitingText> {
        let waiting = self.batch.next_set_of_class(class).iter().rev();
        waiting.map(|index| {
            let index = *index;
            let item = self.batch.item(index);
            let (hint, generated) = (item.expected_length, item.transcript.len());
            WaitingText {
                index,
                remaining_units: lengths.remaining_units(hint, generated),
                remaining_events: lengths.remaining_events(hint, generated),
            }
        })
    }
}

impl ServiceOwner {
    /// True if texts of a model are matched to engines by speed.
    pub(super) fn matches_speed(&self, model: Option<&str>) -> bool {
        self.is_matching_speed() && self.usage.is_scarce(model)
    }

    /// True if the policy is on and the service has engines of clearly different speed.
    pub(super) fn is_matching_speed(&self) -> bool {
        self.context.settings.policies.match_engine_speed && self.engines_are_uneven
    }

    /// The waiting item of a class of a batch for a free slot at an engine: the next one unless
    /// texts are matched to engines. None if no item waits.
    pub(super) fn item_for_engine(
        &self,
        id: &BatchId,
        class: DispatchClass,
        engine: &EngineId,
    ) -> Option<ItemIndex> {
        let open = self.batches.get(id)?;
        let next = open.batch.next_of_class(class);
        if !self.matches_speed(open.batch.model.as_deref()) {
            return next;
        }
        let speed = self.engines.speed(engine);
        let texts = open.waiting_texts(class, &self.lengths);
        choose_text(texts, speed, open.useful_time_left())
    }

    /// Updates which engines are slow. Returns true if any became slow or recovered.
    pub(super) fn update_slow_engines(&mut self, now: BootInstant) -> bool {
        self.engines_are_uneven = self.engines.are_uneven();
        match self.is_matching_speed() {
            true => self
                .engines
                .update_slow_engines_by_scarcity(now, |model| self.usage.is_scarce(Some(model))),
            false => self.engines.update_slow_engines(),
        }
    }
}
