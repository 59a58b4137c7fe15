//! The choice among a service's engines.

use crate::SendBound;
use crate::entry::{AttemptOutcome, EngineReport, Entry, WorkClass};
use rand::Rng;
use sloetrail_types::{
    AllowedRegions, Distance, EngineId, Timestamp, Topology, WeightVersion, ZoneName,
    rendezvous_weight,
};
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
    /// True if nothing is to be sent to its zone for now.
    pub evacuated: bool,
    /// Present if it is cold.
    pub cold: Option<ColdEngine>,
}

impl ListedEngine {
    /// An engine that takes work and is warm.
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

/// How an engine that is cold is to be spared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdEngine {
    /// Until when it is cold.
    pub until: Timestamp,
    /// What this node may send it meanwhile; nothing means as much as to a warm one.
    pub bound: Option<SendBound>,
}

/// What a request demands of the engine that is chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequirements<'a> {
    /// Who waits for it.
    pub class: WorkClass,
    /// Engines that are not to be chosen.
    pub excluded: &'a BTreeSet<EngineId>,
    /// The regions in which it may be served.
    pub regions: &'a AllowedRegions,
}

/// Whose balancer it is, and its bounds.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// The node's name. Engines are preferred in an order that each node has of its own.
    pub node: String,
    /// The node's own zone, whose engines are preferred, and the regions of all zones.
    pub topology: Topology,
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

    /// Takes in the machine list: it adds engines, marks leavers and drops the rest, once
    /// nothing runs there and what was sent there no longer counts. Once marked, an engine
    /// stays a leaver whatever the list says later; one that was not listed for a while
    /// takes work again.
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
                Entry::new(engine.zone, engine.leaving, concurrency, preference)
            });
            entry.leaving |= engine.leaving;
            entry.evacuated = engine.evacuated;
            entry.cold = engine.cold;
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
    pub fn is_unconfirmed(&self, id: &EngineId, now: Timestamp, age: Duration) -> bool {
        let confirmed_at = self.engines.get(id).and_then(|entry| entry.confirmed_at);
        confirmed_at.is_none_or(|at| now.since(at) >= age)
    }

    /// Chooses an engine and counts a request on it, or finds none with room.
    /// The request must be ended with [`Balancer::finish`].
    pub fn choose(
        &mut self,
        now: Timestamp,
        random: &mut impl Rng,
        demand: EngineRequirements<'_>,
    ) -> Option<EngineId> {
        let candidates = self.nearest_candidates(now, demand);
        let id = self.preferred_or_emptier(&candidates, random)?;
        if let Some(entry) = self.engines.get_mut(&id) {
            entry.in_flight += 1;
            entry.sends.record(now);
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
    pub fn available_engines(&self, now: Timestamp) -> usize {
        let freshness = self.settings.view_freshness;
        self.engines
            .values()
            .filter(|entry| entry.may_be_chosen(now, freshness))
            .count()
    }

    /// True if an engine of the allowed regions takes work of this node, whether or not it
    /// has room now. Without one, waiting does not help a request.
    pub fn may_serve(&self, now: Timestamp, regions: &AllowedRegions) -> bool {
        let topology = &self.settings.topology;
        self.engines
            .values()
            .any(|entry| entry.may_serve(now) && topology.allows(regions, &entry.zone))
    }

    /// True if an engine could be chosen for this demand now.
    pub fn has_free_slot(&self, now: Timestamp, demand: EngineRequirements<'_>) -> bool {
        self.able(now, demand).next().is_some()
    }

    /// How many requests of a class this node may have at a time at the engines of the
    /// allowed regions that may be chosen now.
    pub fn slots(&self, now: Timestamp, regions: &AllowedRegions, class: WorkClass) -> usize {
        let freshness = self.settings.view_freshness;
        let topology = &self.settings.topology;
        let able = self.engines.values().filter(|entry| {
            entry.may_be_chosen(now, freshness)
                && !entry.is_spared(now)
                && topology.allows(regions, &entry.zone)
        });
        able.map(|entry| entry.slots(class)).sum()
    }

    /// Requests in flight from this node.
    pub fn in_flight(&self) -> usize {
        self.engines.values().map(|entry| entry.in_flight).sum()
    }

    /// The engines that may be chosen and have room.
    fn able<'a>(
        &'a self,
        now: Timestamp,
        demand: EngineRequirements<'a>,
    ) -> impl Iterator<Item = (&'a EngineId, &'a Entry)> {
        let freshness = self.settings.view_freshness;
        let topology = &self.settings.topology;
        self.engines.iter().filter(move |(id, entry)| {
            entry.may_be_chosen(now, freshness)
                && entry.has_room(now, demand.class)
                && !demand.excluded.contains(*id)
                && topology.allows(demand.regions, &entry.zone)
        })
    }

    /// The engines that may be chosen and have room: warm ones before cold ones, and of
    /// these the nearest.
    fn nearest_candidates(&self, now: Timestamp, demand: EngineRequirements<'_>) -> Vec<EngineId> {
        let topology = &self.settings.topology;
        let mut nearest: Option<(bool, Distance)> = None;
        let mut candidates = Vec::new();
        for (id, entry) in self.able(now, demand) {
            let rank = (entry.is_cold(now), topology.distance(&entry.zone));
            if nearest.is_some_and(|nearest| rank > nearest) {
                continue;
            }
            if nearest.is_none_or(|nearest| rank < nearest) {
                nearest = Some(rank);
                candidates.clear();
            }
            candidates.push(id.clone());
        }
        candidates
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
