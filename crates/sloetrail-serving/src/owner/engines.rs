//! The engines of a service that its owner uses.

mod lasting_speed;

use super::assignment::{ModelShare, assign_models, assign_unassigned};
use super::backlog_assignment::{Reassignment, ReassignmentBounds, reassign_by_backlog};
use super::engine::{Engine, ModelRequirement, SendLimits};
use super::event_interval::EventIntervalMeter;
use super::model_backlog::ExpectedModelWork;
use crate::back_end::BackEnd;
use crate::directory::Directory;
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, EngineId, ServiceName, Topology};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Event intervals within this factor count as equal: a full engine is this much slower than an
/// empty one of the same kind.
pub(super) const SIMILAR_INTERVAL_FACTOR: f64 = 1.12;

/// Which of the engines that can take an item is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EnginePreference {
    /// The fastest, then the least loaded. For items that determine when their batch ends.
    Fastest,
    /// The fastest by lasting interval, then the least loaded. For scarce slots, where a text
    /// outlasts a momentary slowness.
    FastestLasting,
    /// Engines with an idle connection, then the least loaded. For items that finish before the
    /// longest one of their batch on any engine. Avoids opening a connection for them.
    Connected,
    LeastLoaded,
}

/// An engine with a free slot and a known event interval.
pub(super) struct FreeEngine {
    pub(super) id: EngineId,
    pub(super) event_interval_us: u64,
}

/// Grade of an event interval relative to the median, on a logarithmic scale. Lower is faster. An
/// unknown interval has the grade of the median.
fn interval_grade(interval_us: Option<u64>, median_us: Option<u64>) -> i32 {
    match (interval_us, median_us) {
        (Some(interval_us), Some(median_us)) if interval_us > 0 && median_us > 0 => {
            let ratio = interval_us as f64 / median_us as f64;
            (ratio.ln() / SIMILAR_INTERVAL_FACTOR.ln()).round() as i32
        }
        _ => 0,
    }
}

/// The engines of a service that its owner may use.
#[derive(Default)]
pub(super) struct EnginePool {
    engines: BTreeMap<EngineId, Engine>,
    /// Regions in which the engines must be; None if unrestricted.
    allowed_regions: Option<(Topology, AllowedRegions)>,
}

impl EnginePool {
    /// An empty pool that accepts only engines in the given regions.
    pub(super) fn within_regions(topology: Topology, regions: AllowedRegions) -> Self {
        Self {
            engines: BTreeMap::new(),
            allowed_regions: Some((topology, regions)),
        }
    }

    fn may_use(&self, back_end: &BackEnd) -> bool {
        let allowed = self.allowed_regions.as_ref();
        allowed.is_none_or(|(topology, regions)| topology.allows(regions, &back_end.zone))
    }

    /// Applies a directory. An engine that is no longer listed is removed once it is not in use.
    pub(super) fn apply_directory(&mut self, directory: &Directory, service: &ServiceName) {
        for back_end in directory.of_service(service) {
            if !self.may_use(back_end) {
                continue;
            }
            match self.engines.get_mut(&back_end.id) {
                Some(engine) => engine.apply_row(back_end),
                None => {
                    let engine = Engine::new(back_end);
                    self.engines.insert(back_end.id.clone(), engine);
                }
            }
        }
        let now = BootInstant::now();
        self.engines.retain(|id, engine| {
            let row = directory.back_ends.get(id);
            let is_listed = row.is_some_and(|row| row.service == *service);
            if !is_listed {
                engine.mark_unlisted();
            }
            is_listed || engine.is_in_use(now)
        });
    }

    pub(super) fn set_send_limits(&mut self, limits: impl Fn(&BackEnd) -> SendLimits) {
        for engine in self.engines.values_mut() {
            let limits = limits(&engine.back_end);
            engine.set_send_limits(limits);
        }
    }

    /// Returns whether an engine has a model, in any version.
    pub(super) fn any_has_model(&self, model: &str) -> bool {
        let mut engines = self.engines.values();
        engines.any(|engine| engine.versions.contains_key(model))
    }

    /// Assigns a model to each engine that takes work.
    pub(super) fn assign(&mut self, shares: &[ModelShare]) {
        assign_models(&mut self.engines, shares);
    }

    /// Assigns a model to each engine that takes work and has none.
    pub(super) fn assign_unassigned(&mut self, shares: &[ModelShare]) {
        assign_unassigned(&mut self.engines, shares);
    }

    /// Reassigns engines from models that finish early to models that finish late.
    pub(super) fn reassign_by_backlog(
        &mut self,
        backlogs: &[ExpectedModelWork],
        bounds: ReassignmentBounds,
        now: BootInstant,
    ) -> Vec<Reassignment> {
        reassign_by_backlog(&mut self.engines, backlogs, bounds, now)
    }

    /// Returns the engine for an item, or None if no engine can take it. Engines rank by: assigned
    /// to the model, not slow, warm, `preference`, fewest items running, and last finished most
    /// recently, since their connection is likely still open. `is_connected` returns whether an
    /// idle connection to a back end exists.
    pub(super) fn pick(
        &self,
        requirement: ModelRequirement<'_>,
        now: BootInstant,
        preference: EnginePreference,
        is_connected: impl Fn(&BackEnd) -> bool,
    ) -> Option<EngineId> {
        let able = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.can_take(requirement, now));
        let median = match preference {
            EnginePreference::Fastest => self.median_event_interval_us(),
            EnginePreference::FastestLasting => self.median_lasting_interval_us(),
            EnginePreference::Connected | EnginePreference::LeastLoaded => None,
        };
        let best = able.min_by_key(|(_, engine)| {
            let assigned = requirement
                .model
                .is_none_or(|model| engine.is_assigned(model));
            let last_finished_at = engine.last_finished_at();
            let grade = match preference {
                EnginePreference::Fastest => {
                    interval_grade(engine.event_interval.microseconds(), median)
                }
                EnginePreference::FastestLasting => {
                    interval_grade(engine.event_interval.lasting_microseconds(), median)
                }
                EnginePreference::Connected => {
                    let has_connection =
                        engine.may_have_idle_connection() && is_connected(&engine.back_end);
                    i32::from(!has_connection)
                }
                EnginePreference::LeastLoaded => 0,
            };
            (
                !assigned,
                engine.is_slow(),
                engine.is_cold(now),
                grade,
                engine.running,
                Reverse(last_finished_at),
            )
        });
        best.map(|(id, _)| id.clone())
    }

    /// Engines assigned to the model that can take an item and are neither slow nor cold, fastest
    /// first. Engines without a known event interval are left out.
    pub(super) fn free_engines(
        &self,
        requirement: ModelRequirement<'_>,
        now: BootInstant,
    ) -> Vec<FreeEngine> {
        self.free_engines_by(requirement, now, EventIntervalMeter::microseconds)
    }

    fn free_engines_by(
        &self,
        requirement: ModelRequirement<'_>,
        now: BootInstant,
        interval_us: impl Fn(&EventIntervalMeter) -> Option<u64>,
    ) -> Vec<FreeEngine> {
        let able = self.engines.iter().filter(|(_, engine)| {
            let assigned = requirement
                .model
                .is_none_or(|model| engine.is_assigned(model));
            let is_ordinary = !engine.is_slow() && !engine.is_cold(now);
            assigned && is_ordinary && engine.can_take(requirement, now)
        });
        let mut free: Vec<FreeEngine> = able
            .filter_map(|(id, engine)| {
                Some(FreeEngine {
                    id: id.clone(),
                    event_interval_us: interval_us(&engine.event_interval)?,
                })
            })
            .collect();
        free.sort_by_key(|engine| engine.event_interval_us);
        free
    }

    /// Free slots of engines that can take an item and are neither slow nor cold.
    pub(super) fn free_fast_slots(
        &self,
        requirement: ModelRequirement<'_>,
        now: BootInstant,
    ) -> usize {
        self.engines
            .values()
            .filter(|engine| !engine.is_slow() && !engine.is_cold(now))
            .filter(|engine| engine.can_take(requirement, now))
            .map(|engine| engine.free_slots(now))
            .sum()
    }

    /// The event interval of the fastest engine; None if none is known.
    pub(super) fn min_event_interval_us(&self) -> Option<u64> {
        let engines = self.engines.values();
        engines
            .filter_map(|engine| engine.event_interval.microseconds())
            .min()
    }

    /// The median event interval of engines that take work; None if none is known.
    fn median_event_interval_us(&self) -> Option<u64> {
        self.median_interval_us(EventIntervalMeter::microseconds)
    }

    fn median_interval_us(
        &self,
        interval_us: impl Fn(&EventIntervalMeter) -> Option<u64>,
    ) -> Option<u64> {
        let engines = self.engines.values().filter(|engine| engine.takes_work());
        let mut intervals_us: Vec<u64> = engines
            .filter_map(|engine| interval_us(&engine.event_interval))
            .collect();
        let middle = intervals_us.len().checked_sub(1)? / 2;
        let (_, median_us, _) = intervals_us.select_nth_unstable(middle);
        Some(*median_us)
    }

    /// Events per second that the usable engines assigned to a model make with all slots in use,
    /// from lasting intervals. An engine without one counts with the median; zero if none is known.
    /// Slow engines, which get only probes, are left out.
    pub(super) fn capacity_of(&self, model: &str, now: BootInstant) -> f64 {
        let median_us = self.median_lasting_interval_us();
        let engines = self.engines.values();
        let usable = engines.filter(|engine| {
            engine.is_assigned(model) && engine.is_usable(now) && !engine.is_slow()
        });
        usable.filter_map(|engine| engine.capacity(median_us)).sum()
    }

    /// The median lasting interval of engines that take work; None if none is known.
    pub(super) fn median_lasting_interval_us(&self) -> Option<u64> {
        self.median_interval_us(EventIntervalMeter::lasting_microseconds)
    }

    /// Slots, free or not, of the engines that are assigned to a model and not slow.
    pub(super) fn slots_for_model(&self, model: &str) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.is_assigned(model) && !engine.is_slow())
            .map(|engine| engine.back_end.slots)
            .sum()
    }

    /// True if the usable engines have at least `required` slots, free or not.
    pub(super) fn has_slots(&self, required: usize, now: BootInstant) -> bool {
        let usable = self.engines.values().filter(|engine| engine.is_usable(now));
        let mut slots = 0;
        for engine in usable {
            if slots >= required {
                break;
            }
            slots += engine.back_end.slots;
        }
        slots >= required
    }

    pub(super) fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.engines.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.engines.get_mut(id)
    }

    /// Ends the reservation of a slot at an engine, if any.
    pub(super) fn release_slot(&mut self, engine: Option<&EngineId>) {
        if let Some(engine) = engine.and_then(|id| self.engines.get_mut(id)) {
            engine.release_slot();
        }
    }

    pub(super) fn len(&self) -> usize {
        self.engines.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&EngineId, &Engine)> {
        self.engines.iter()
    }

    /// The engines in the given regions.
    pub(super) fn iter_in_regions<'a>(
        &'a self,
        regions: &'a AllowedRegions,
    ) -> impl Iterator<Item = (&'a EngineId, &'a Engine)> {
        let topology = self.allowed_regions.as_ref().map(|(topology, _)| topology);
        self.iter().filter(move |(_, engine)| {
            topology.is_none_or(|topology| topology.allows(regions, &engine.back_end.zone))
        })
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&EngineId, &mut Engine)> {
        self.engines.iter_mut()
    }

    /// Updates which of the engines that take work are slow. Returns true if any engine became slow
    /// or recovered. An engine without another to compare it with is not slow.
    pub(super) fn update_slow_engines(&mut self) -> bool {
        let Some(median) = self.comparable_median_us() else {
            return false;
        };
        let mut has_changed = false;
        let engines = self.engines.values_mut();
        for engine in engines.filter(|engine| engine.takes_work()) {
            has_changed |= engine.update_slow(median);
        }
        has_changed
    }

    /// The median event interval; None if too few engines have one to compare them.
    fn comparable_median_us(&self) -> Option<u64> {
        let working = || self.engines.values().filter(|engine| engine.takes_work());
        let with_interval =
            working().filter(|engine| engine.event_interval.microseconds().is_some());
        let is_comparable = with_interval.count() >= working().count().min(2);
        self.median_event_interval_us().filter(|_| is_comparable)
    }
}

#[cfg(test)]
mod tests;
