//! The engines of a pool by lasting event interval, for decisions while slots are scarce.

use super::{EnginePool, FreeEngine};
use crate::owner::engine::ModelRequirement;
use crate::owner::event_interval::EventIntervalMeter;
use crate::owner::speed_match::EngineSpeed;
use sloetrail_clock::BootInstant;
use sloetrail_types::EngineId;

/// Engines are uneven if at least one in this many is clearly slower than the median. Fewer are
/// single engines in trouble, which are better left alone than given work.
const UNEVEN_DIVISOR: usize = 8;

impl EnginePool {
    /// True if the engines that take work differ clearly in speed.
    pub(in crate::owner) fn are_uneven(&self) -> bool {
        let median_us = self.median_lasting_interval_us();
        let working = || self.engines.values().filter(|engine| engine.takes_work());
        let slower = working().filter(|engine| {
            let speed = EngineSpeed {
                interval_us: engine.event_interval.lasting_microseconds(),
                median_us,
            };
            speed.is_clearly_slower()
        });
        let slower = slower.count();
        slower > 0 && slower * UNEVEN_DIVISOR >= working().count()
    }

    /// The speed of an engine relative to the median of those that take work.
    pub(in crate::owner) fn speed(&self, id: &EngineId) -> EngineSpeed {
        let engine = self.engines.get(id);
        EngineSpeed {
            interval_us: engine.and_then(|engine| engine.event_interval.lasting_microseconds()),
            median_us: self.median_lasting_interval_us(),
        }
    }

    /// Like [`EnginePool::free_engines`], by lasting intervals.
    pub(in crate::owner) fn free_engines_by_lasting_interval(
        &self,
        requirement: ModelRequirement<'_>,
        now: BootInstant,
    ) -> Vec<FreeEngine> {
        self.free_engines_by(requirement, now, EventIntervalMeter::lasting_microseconds)
    }

    /// Like [`EnginePool::update_slow_engines`], but judges engines of models with scarce slots by
    /// the rules of [`scarce_slowness`](crate::owner::scarce_slowness).
    pub(in crate::owner) fn update_slow_engines_by_scarcity(
        &mut self,
        now: BootInstant,
        is_scarce: impl Fn(&str) -> bool,
    ) -> bool {
        let (Some(median_us), Some(lasting_median_us)) = (
            self.comparable_median_us(),
            self.median_lasting_interval_us(),
        ) else {
            return false;
        };
        let mut has_changed = false;
        let engines = self.engines.values_mut();
        for engine in engines.filter(|engine| engine.takes_work()) {
            has_changed |= match engine.assigned.as_deref().is_some_and(&is_scarce) {
                true => engine.update_slow_while_scarce(median_us, lasting_median_us, now),
                false => engine.update_slow(median_us),
            };
        }
        has_changed
    }
}
