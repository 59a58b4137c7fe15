//! The engines of a service, as its owner sees them.

use super::assignment::{ModelShare, assign_models};
use super::engine::{Engine, ModelRequirement, SendLimits};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, EngineId, ServiceName, Topology};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Paces within this factor of one another count as alike: an engine that is full is
/// that much slower than an empty one of the same kind.
pub(super) const SIMILAR_INTERVAL_FACTOR: f64 = 1.12;

/// Which of the engines that could take an item is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EnginePreference {
    /// The fastest, and of those that are about as fast the emptiest: for items with which
    /// their batch ends.
    Fastest,
    /// One to which a connection rests, then the emptiest: for items that are done before the
    /// longest one of their batch wherever they run. With the fastest engines for all items,
    /// whichever those were at the moment, 1,470 of 5,100 items of a day with 390 engines had
    /// a connection opened for them.
    Connected,
    /// The emptiest.
    LeastLoaded,
}

/// An engine with a free place.
pub(super) struct FreeEngine {
    /// The engine.
    pub(super) id: EngineId,
    /// Microseconds an event.
    pub(super) event_interval_us: u64,
}

/// The grade of a pace relative to the median, lower for faster engines; an engine
/// whose pace is not known counts as an ordinary one.
fn pace_grade(pace: Option<u64>, median: Option<u64>) -> i32 {
    match (pace, median) {
        (Some(pace), Some(median)) if pace > 0 && median > 0 => {
            let ratio = pace as f64 / median as f64;
            (ratio.ln() / SIMILAR_INTERVAL_FACTOR.ln()).round() as i32
        }
        _ => 0,
    }
}

/// The engines of a service that its owner may use.
#[derive(Default)]
pub(super) struct EnginePool {
    engines: BTreeMap<EngineId, Engine>,
    /// Where they must lie; nothing means anywhere.
    bound: Option<(Topology, AllowedRegions)>,
}

impl EnginePool {
    /// No engines yet, and later on those of these regions alone.
    pub(super) fn within_regions(topology: Topology, regions: AllowedRegions) -> Self {
        Self {
            engines: BTreeMap::new(),
            bound: Some((topology, regions)),
        }
    }

    fn may_use(&self, back_end: &BackEnd) -> bool {
        let bound = self.bound.as_ref();
        bound.is_none_or(|(topology, regions)| topology.allows(regions, &back_end.zone))
    }

    /// Takes in the directory.
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

    /// Takes in what the engines' state in the deployment means for sends to them.
    pub(super) fn set_send_limits(&mut self, sparing: impl Fn(&BackEnd) -> SendLimits) {
        for engine in self.engines.values_mut() {
            let sparing = sparing(&engine.back_end);
            engine.set_send_limits(sparing);
        }
    }

    /// Gives each engine that takes work a model to be kept up to date for.
    pub(super) fn assign(&mut self, shares: &[ModelShare]) {
        assign_models(&mut self.engines, shares);
    }

    /// The engine that takes an item with this demand, or none. Engines that are kept up to
    /// date for the model go first, then warm ones, then those that are preferred, and of these
    /// the ones with least to do. Of several the one goes first that was used last, since a
    /// connection to it is kept. `is_connected` tells whether one rests there.
    pub(super) fn pick(
        &self,
        demand: ModelRequirement<'_>,
        now: BootInstant,
        preference: EnginePreference,
        is_connected: impl Fn(&BackEnd) -> bool,
    ) -> Option<EngineId> {
        let able = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.can_take(demand, now));
        let median = match preference {
            EnginePreference::Fastest => self.median_event_interval_us(),
            EnginePreference::Connected | EnginePreference::LeastLoaded => None,
        };
        let best = able.min_by_key(|(_, engine)| {
            let assigned = demand.model.is_none_or(|model| engine.is_assigned(model));
            let used_last = engine.finished_at();
            let grade = match preference {
                EnginePreference::Fastest => {
                    pace_grade(engine.event_interval.microseconds(), median)
                }
                EnginePreference::Connected => {
                    let rests = engine.may_have_idle_connection() && is_connected(&engine.back_end);
                    i32::from(!rests)
                }
                EnginePreference::LeastLoaded => 0,
            };
            (
                !assigned,
                engine.is_slow(),
                engine.is_cold(now),
                grade,
                engine.running,
                Reverse(used_last),
            )
        });
        best.map(|(id, _)| id.clone())
    }

    /// Engines that are neither slow nor cold, meet a demand and have a free place, with
    /// their paces; the fastest first. Engines whose pace is not known are left out.
    pub(super) fn free_engines(
        &self,
        demand: ModelRequirement<'_>,
        now: BootInstant,
    ) -> Vec<FreeEngine> {
        let able = self.engines.iter().filter(|(_, engine)| {
            let assigned = demand.model.is_none_or(|model| engine.is_assigned(model));
            let is_ordinary = !engine.is_slow() && !engine.is_cold(now);
            assigned && is_ordinary && engine.can_take(demand, now)
        });
        let mut free: Vec<FreeEngine> = able
            .filter_map(|(id, engine)| {
                Some(FreeEngine {
                    id: id.clone(),
                    event_interval_us: engine.event_interval.microseconds()?,
                })
            })
            .collect();
        free.sort_by_key(|engine| engine.event_interval_us);
        free
    }

    /// Free places of engines that are neither slow nor cold and meet a demand.
    pub(super) fn free_fast_slots(&self, demand: ModelRequirement<'_>, now: BootInstant) -> usize {
        self.engines
            .values()
            .filter(|engine| !engine.is_slow() && !engine.is_cold(now))
            .filter(|engine| engine.can_take(demand, now))
            .map(|engine| engine.free_slots(now))
            .sum()
    }

    /// The pace of the fastest engine, in microseconds an event.
    pub(super) fn min_event_interval_us(&self) -> Option<u64> {
        let engines = self.engines.values();
        engines
            .filter_map(|engine| engine.event_interval.microseconds())
            .min()
    }

    /// The median of the paces of engines that take work, in microseconds an event.
    fn median_event_interval_us(&self) -> Option<u64> {
        let engines = self.engines.values().filter(|engine| engine.takes_work());
        let mut paces: Vec<u64> = engines
            .filter_map(|engine| engine.event_interval.microseconds())
            .collect();
        paces.sort_unstable();
        paces.get(paces.len().checked_sub(1)? / 2).copied()
    }

    /// Every place, free or not, of the engines that are kept up to date for a model.
    pub(super) fn slots_for_model(&self, model: &str) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.is_assigned(model) && !engine.is_slow())
            .map(|engine| engine.back_end.slots)
            .sum()
    }

    /// True if the engines that can be used have so many places, free or not.
    pub(super) fn has_slots(&self, wanted: usize, now: BootInstant) -> bool {
        let usable = self.engines.values().filter(|engine| engine.is_usable(now));
        let mut places = 0;
        for engine in usable {
            if places >= wanted {
                break;
            }
            places += engine.back_end.slots;
        }
        places >= wanted
    }

    /// One engine.
    pub(super) fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// One engine, to be changed.
    pub(super) fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.engines.get_mut(id)
    }

    /// Gives a place free that was kept for an item, if one was.
    pub(super) fn release_slot(&mut self, engine: Option<&EngineId>) {
        if let Some(engine) = engine.and_then(|id| self.engines.get_mut(id)) {
            engine.release_slot();
        }
    }

    /// How many engines there are.
    pub(super) fn len(&self) -> usize {
        self.engines.len()
    }

    /// Every engine.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&EngineId, &Engine)> {
        self.engines.iter()
    }

    /// Every engine, to be changed.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&EngineId, &mut Engine)> {
        self.engines.iter_mut()
    }

    /// Compares the paces of engines that take work and marks those that are much slower;
    /// true if a mark has changed. The only one that is left is not slow.
    pub(super) fn update_slow_engines(&mut self) -> bool {
        let working = || self.engines.values().filter(|engine| engine.takes_work());
        let measured = working().filter(|engine| engine.event_interval.microseconds().is_some());
        let is_comparable = measured.count() >= working().count().min(2);
        let Some(median) = self.median_event_interval_us().filter(|_| is_comparable) else {
            return false;
        };
        let mut has_changed = false;
        let engines = self.engines.values_mut();
        for engine in engines.filter(|engine| engine.takes_work()) {
            has_changed |= engine.update_slow(median);
        }
        has_changed
    }
}

#[cfg(test)]
mod tests;
