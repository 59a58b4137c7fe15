//! Picks an engine of a service for each request.

use crate::SendBound;
use crate::entry::{AttemptOutcome, EngineEntry, EngineReport, WorkClass};
use rand::Rng;
use sloetrail_types::{
    AllowedRegions, Distance, EngineId, Timestamp, Topology, WeightVersion, ZoneName,
    rendezvous_weight,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An engine of the machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEngine {
    pub id: EngineId,
    pub zone: ZoneName,
    pub leaving: bool,
    /// True if the engine's zone is being evacuated.
    pub evacuated: bool,
    /// None if the engine is warm.
    pub cold: Option<ColdEngine>,
}

impl ListedEngine {
    /// Returns a warm engine that takes work.
    pub fn ready(id: EngineId, zone: ZoneName) -> Self {
        Self {
            id,
            zone,
            leaving: false,
            evacuated: false,
            cold: None,
        }
    }
}

/// How long an engine counts as cold, and the limit on sends to it until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdEngine {
    pub until: Timestamp,
    /// Limit on this node's sends. None if the engine may get as many as a warm one.
    pub bound: Option<SendBound>,
}

/// Conditions that an engine must meet to serve a request.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequirements<'a> {
    pub class: WorkClass,
    /// Engines that must not be picked.
    pub excluded: &'a BTreeSet<EngineId>,
    /// Regions that may serve the request.
    pub regions: &'a AllowedRegions,
}

#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Name of this node; it determines which engine the node prefers.
    pub node: String,
    /// Zone of this node and the regions of all zones.
    pub topology: Topology,
    /// Maximum age of an engine's last confirmation for it to be picked.
    pub view_freshness: Duration,
    /// Maximum number of this node's concurrent requests at one engine.
    pub engine_concurrency: usize,
}

/// Engines of one service as seen by this node.
#[derive(Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    engines: BTreeMap<EngineId, EngineEntry>,
}

impl Balancer {
    pub fn new(settings: BalancerSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
        }
    }

    pub fn set_engine_concurrency(&mut self, max_requests: usize) {
        self.settings.engine_concurrency = max_requests;
        for entry in self.engines.values_mut() {
            entry.limit.set_max_limit(max_requests);
        }
    }

    /// Applies the machine list. An unlisted engine is dropped once it has no requests in
    /// flight and its recent sends no longer count; if it is listed again before, it takes work
    /// again. An engine that was marked as leaving stays so.
    pub fn set_engines(&mut self, now: Timestamp, listed: Vec<ListedEngine>) {
        let ids: BTreeSet<EngineId> = listed.iter().map(|engine| engine.id.clone()).collect();
        self.engines.retain(|id, entry| {
            entry.listed = ids.contains(id);
            entry.listed || entry.in_flight > 0 || entry.sends.is_in_use(now)
        });
        for engine in listed {
            let concurrency = self.settings.engine_concurrency;
            let preference = rendezvous_weight(&self.settings.node, engine.id.as_str());
            let entry = self.engines.entry(engine.id).or_insert_with(|| {
                EngineEntry::new(engine.zone, engine.leaving, concurrency, preference)
            });
            entry.leaving |= engine.leaving;
            entry.evacuated = engine.evacuated;
            entry.cold = engine.cold;
        }
    }

    /// Applies a report. Reports on unknown engines are ignored.
    pub fn report(&mut self, id: &EngineId, report: EngineReport) {
        if let Some(entry) = self.engines.get_mut(id) {
            entry.apply_report(report);
        }
    }

    /// Records that an engine sent a part of an answer, generated with weights of this version.
    pub fn confirm(&mut self, id: &EngineId, now: Timestamp, version: WeightVersion) {
        let Some(entry) = self.engines.get_mut(id) else {
            return;
        };
        entry.confirmed_at = entry.confirmed_at.max(Some(now));
        if let Some(report) = &mut entry.report {
            report.version = version;
        }
    }

    /// True if the engine was not confirmed to be reachable within `age`.
    pub fn is_unconfirmed(&self, id: &EngineId, now: Timestamp, age: Duration) -> bool {
        let confirmed_at = self.engines.get(id).and_then(|entry| entry.confirmed_at);
        confirmed_at.is_none_or(|at| now.since(at) >= age)
    }

    /// Picks an engine and counts a request on it. The caller must end the request with
    /// [`Balancer::finish`]. Returns None if no eligible engine has room.
    pub fn choose(
        &mut self,
        now: Timestamp,
        random: &mut impl Rng,
        requirements: EngineRequirements<'_>,
    ) -> Option<EngineId> {
        let candidates = self.nearest_candidates(now, requirements);
        let id = self.preferred_or_less_loaded(&candidates, random)?;
        if let Some(entry) = self.engines.get_mut(&id) {
            entry.in_flight += 1;
            entry.sends.record(now);
        }
        Some(id)
    }

    /// Ends a request that [`Balancer::choose`] has counted.
    pub fn finish(&mut self, now: Timestamp, id: &EngineId, outcome: AttemptOutcome) {
        if let Some(entry) = self.engines.get_mut(id) {
            entry.finish(now, outcome);
        }
    }

    /// Last reported weight version of an engine; zero if unknown.
    pub fn version_of(&self, id: &EngineId) -> WeightVersion {
        let report = self.engines.get(id).and_then(|entry| entry.report);
        report.map_or(WeightVersion(0), |report| report.version)
    }

    /// Number of engines that may be picked, with or without room.
    pub fn available_engines(&self, now: Timestamp) -> usize {
        let freshness = self.settings.view_freshness;
        self.engines
            .values()
            .filter(|entry| entry.may_be_chosen(now, freshness))
            .count()
    }

    /// True if an engine of the allowed regions takes work of this node, with or without room.
    /// If false, a request need not wait for a slot.
    pub fn may_serve(&self, now: Timestamp, regions: &AllowedRegions) -> bool {
        let topology = &self.settings.topology;
        self.engines
            .values()
            .any(|entry| entry.may_serve(now) && topology.allows(regions, &entry.zone))
    }

    /// True if an eligible engine has room.
    pub fn has_free_slot(&self, now: Timestamp, requirements: EngineRequirements<'_>) -> bool {
        self.eligible(now, requirements).next().is_some()
    }

    /// Number of requests of a class that this node may have in flight at the engines of the
    /// allowed regions.
    pub fn slots(&self, now: Timestamp, regions: &AllowedRegions, class: WorkClass) -> usize {
        let freshness = self.settings.view_freshness;
        let topology = &self.settings.topology;
        let eligible = self.engines.values().filter(|entry| {
            entry.may_be_chosen(now, freshness)
                && !entry.is_throttled(now)
                && topology.allows(regions, &entry.zone)
        });
        eligible.map(|entry| entry.slots(class)).sum()
    }

    /// Number of this node's requests in flight.
    pub fn in_flight(&self) -> usize {
        self.engines.values().map(|entry| entry.in_flight).sum()
    }

    /// Engines that meet the requirements and have room.
    fn eligible<'a>(
        &'a self,
        now: Timestamp,
        requirements: EngineRequirements<'a>,
    ) -> impl Iterator<Item = (&'a EngineId, &'a EngineEntry)> {
        let freshness = self.settings.view_freshness;
        let topology = &self.settings.topology;
        self.engines.iter().filter(move |(id, entry)| {
            entry.may_be_chosen(now, freshness)
                && entry.has_room(now, requirements.class)
                && !requirements.excluded.contains(*id)
                && topology.allows(requirements.regions, &entry.zone)
        })
    }

    /// The nearest of the eligible warm engines, or of the cold ones if none is warm.
    fn nearest_candidates(
        &self,
        now: Timestamp,
        requirements: EngineRequirements<'_>,
    ) -> Vec<EngineId> {
        let topology = &self.settings.topology;
        let mut best_rank: Option<(bool, Distance)> = None;
        let mut candidates = Vec::new();
        for (id, entry) in self.eligible(now, requirements) {
            let rank = (entry.is_cold(now), topology.distance(&entry.zone));
            if best_rank.is_some_and(|best| rank > best) {
                continue;
            }
            if best_rank.is_none_or(|best| rank < best) {
                best_rank = Some(rank);
                candidates.clear();
            }
            candidates.push(id.clone());
        }
        candidates
    }

    /// Returns the node's preferred engine if it is idle, otherwise the less loaded of two
    /// random candidates. A node with few requests thus reuses one connection, while a busy
    /// node spreads its requests evenly.
    fn preferred_or_less_loaded(
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
