//! The choice among a service's engines.

use crate::entry::{AttemptOutcome, EngineReport, Entry, WorkClass};
use rand::Rng;
use sloetrail_types::{EngineId, Timestamp, WeightVersion, ZoneName, rendezvous_weight};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An engine as the machine list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEngine {
    /// The engine.
    pub id: EngineId,
    /// Its zone.
    pub zone: ZoneName,
    /// True if the list marks it as leaving.
    pub leaving: bool,
}

/// Whose balancer it is, and its bounds.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// The node's name. Engines are preferred in an order that each node has of its own.
    pub node: String,
    /// The node's own zone, whose engines are preferred.
    pub zone: ZoneName,
    /// How long an engine may be chosen without news of it.
    pub view_freshness: Duration,
    /// Upper bound of this node's requests on one engine.
    pub engine_concurrency: usize,
}

/// One service's engines, as one node sees them.
#[derive(Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    engines: BTreeMap<EngineId, Entry>,
}

impl Balancer {
    /// A balancer that knows no engine yet.
    pub fn new(settings: BalancerSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
        }
    }

    /// Changes the bound on one engine's requests.
    pub fn set_engine_concurrency(&mut self, maximum: usize) {
        self.settings.engine_concurrency = maximum;
        for entry in self.engines.values_mut() {
            entry.limit.set_maximum(maximum);
        }
    }

    /// Takes in the machine list: it adds engines, marks leavers and drops the
    /// rest. Once marked, an engine stays a leaver whatever the list says later.
    pub fn set_engines(&mut self, listed: Vec<ListedEngine>) {
        let ids: BTreeSet<EngineId> = listed.iter().map(|engine| engine.id.clone()).collect();
        self.engines
            .retain(|id, entry| ids.contains(id) || entry.in_flight > 0);
        for (id, entry) in &mut self.engines {
            entry.leaving |= !ids.contains(id);
        }
        for engine in listed {
            let concurrency = self.settings.engine_concurrency;
            let preference = rendezvous_weight(&self.settings.node, engine.id.as_str());
            let entry = self.engines.entry(engine.id).or_insert_with(|| {
                Entry::new(engine.zone, engine.leaving, concurrency, preference)
            });
            entry.leaving |= engine.leaving;
        }
    }

    /// Takes in news of an engine; unknown engines are left out.
    pub fn report(&mut self, id: &EngineId, report: EngineReport) {
        if let Some(entry) = self.engines.get_mut(id) {
            entry.take_report(report);
        }
    }

    /// Notes that an engine was heard from by a piece of a running answer, which
    /// the weights of this version produced.
    pub fn confirm(&mut self, id: &EngineId, now: Timestamp, version: WeightVersion) {
        let Some(entry) = self.engines.get_mut(id) else {
            return;
        };
        entry.confirmed_at = entry.confirmed_at.max(Some(now));
        if let Some(report) = &mut entry.report {
            report.version = version;
        }
    }

    /// True if there was no news of an engine within `age`.
    pub fn is_unheard(&self, id: &EngineId, now: Timestamp, age: Duration) -> bool {
        let confirmed_at = self.engines.get(id).and_then(|entry| entry.confirmed_at);
        confirmed_at.is_none_or(|at| now.since(at) >= age)
    }

    /// Chooses an engine and counts a request on it, or finds none with room.
    /// The request must be ended with [`Balancer::finish`].
    pub fn choose(
        &mut self,
        now: Timestamp,
        random: &mut impl Rng,
        class: WorkClass,
        excluded: &BTreeSet<EngineId>,
    ) -> Option<EngineId> {
        let own_zone = self.candidates(now, class, excluded, true);
        let candidates = match own_zone.is_empty() {
            true => self.candidates(now, class, excluded, false),
            false => own_zone,
        };
        let id = self.preferred_or_emptier(&candidates, random)?;
        if let Some(entry) = self.engines.get_mut(&id) {
            entry.in_flight += 1;
        }
        Some(id)
    }

    /// Ends a request on an engine.
    pub fn finish(&mut self, now: Timestamp, id: &EngineId, outcome: AttemptOutcome) {
        if let Some(entry) = self.engines.get_mut(id) {
            entry.finish(now, outcome);
        }
    }

    /// The weights that an engine uses, as last reported; zero if unknown.
    pub fn version_of(&self, id: &EngineId) -> WeightVersion {
        let report = self.engines.get(id).and_then(|entry| entry.report);
        report.map_or(WeightVersion(0), |report| report.version)
    }

    /// Engines that may be chosen now, whether or not they have room.
    pub fn available(&self, now: Timestamp) -> usize {
        let freshness = self.settings.view_freshness;
        self.engines
            .values()
            .filter(|entry| entry.may_be_chosen(now, freshness))
            .count()
    }

    /// Requests in flight from this node.
    pub fn in_flight(&self) -> usize {
        self.engines.values().map(|entry| entry.in_flight).sum()
    }

    fn candidates(
        &self,
        now: Timestamp,
        class: WorkClass,
        excluded: &BTreeSet<EngineId>,
        own_zone_only: bool,
    ) -> Vec<EngineId> {
        let freshness = self.settings.view_freshness;
        self.engines
            .iter()
            .filter(|(id, entry)| {
                entry.may_be_chosen(now, freshness)
                    && entry.has_room(class)
                    && !excluded.contains(id)
                    && (!own_zone_only || entry.zone == self.settings.zone)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// The node's preferred engine if it has nothing to do there, otherwise the emptier of
    /// two drawn at random. A node with little to do so keeps to one engine and its
    /// connection there; a node with much to do loads no engine more than another.
    fn preferred_or_emptier(
        &self,
        candidates: &[EngineId],
        random: &mut impl Rng,
    ) -> Option<EngineId> {
        let load = |id: &EngineId| self.engines[id].relative_load();
        let preferred = candidates
            .iter()
            .max_by_key(|id| self.engines[*id].preference)?;
        if load(preferred) == 0.0 {
            return Some(preferred.clone());
        }
        let first = &candidates[random.random_range(0..candidates.len())];
        let second = &candidates[random.random_range(0..candidates.len())];
        let chosen = match load(second) < load(first) {
            true => second,
            false => first,
        };
        Some(chosen.clone())
    }
}
