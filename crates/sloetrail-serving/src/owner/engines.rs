//! The engines of a service, as its owner sees them.

use super::assignment::{ModelShare, assign_models};
use super::engine::{Demand, Engine};
use crate::directory::Directory;
use sloetrail_types::{EngineId, ServiceName};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Every engine of a service.
#[derive(Default)]
pub(super) struct EnginePool {
    engines: BTreeMap<EngineId, Engine>,
}

impl EnginePool {
    /// Takes in the directory.
    pub(super) fn take_directory(&mut self, directory: &Directory, service: &ServiceName) {
        for back_end in directory.of_service(service) {
            match self.engines.get_mut(&back_end.id) {
                Some(engine) => engine.take_row(back_end),
                None => {
                    let engine = Engine::new(back_end);
                    self.engines.insert(back_end.id.clone(), engine);
                }
            }
        }
        self.engines.retain(|id, engine| {
            let row = directory.back_ends.get(id);
            let is_listed = row.is_some_and(|row| row.service == *service);
            if !is_listed {
                engine.mark_gone();
            }
            is_listed || engine.running > 0
        });
    }

    /// Gives each engine that takes work a model to be kept up to date for.
    pub(super) fn assign(&mut self, shares: &[ModelShare]) {
        assign_models(&mut self.engines, shares);
    }

    /// The engine that takes an item with this demand, or none. Engines that are
    /// kept up to date for the model go first, then those with least to do.
    pub(super) fn pick(&self, demand: Demand<'_>, now: Instant) -> Option<EngineId> {
        let able = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.can_take(demand, now));
        let best = able.min_by_key(|(_, engine)| {
            let assigned = demand.model.is_none_or(|model| engine.is_assigned(model));
            (!assigned, engine.is_slow(), engine.running)
        });
        best.map(|(id, _)| id.clone())
    }

    /// Free places of engines that are not slow and meet a demand.
    pub(super) fn fast_places(&self, demand: Demand<'_>, now: Instant) -> usize {
        self.engines
            .values()
            .filter(|engine| !engine.is_slow() && engine.can_take(demand, now))
            .map(|engine| engine.back_end.slots.saturating_sub(engine.running))
            .sum()
    }

    /// Every place, free or not, of the engines that are kept up to date for a model.
    pub(super) fn places_of(&self, model: &str) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.is_assigned(model) && !engine.is_slow())
            .map(|engine| engine.back_end.slots)
            .sum()
    }

    /// One engine.
    pub(super) fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// One engine, to be changed.
    pub(super) fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.engines.get_mut(id)
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

    /// Compares the engines' paces and marks those that are much slower; true if a mark
    /// has changed.
    pub(super) fn judge_paces(&mut self) -> bool {
        let mut paces: Vec<u64> = self
            .engines
            .values()
            .filter_map(|engine| engine.pace.microseconds())
            .collect();
        if paces.len() < 2 {
            return false;
        }
        paces.sort_unstable();
        let median = paces[(paces.len() - 1) / 2];
        let mut has_changed = false;
        for engine in self.engines.values_mut() {
            has_changed |= engine.judge_pace(median);
        }
        has_changed
    }
}

#[cfg(test)]
mod tests;
