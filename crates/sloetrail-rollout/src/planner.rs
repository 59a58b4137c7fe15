//! Which engine does what next.

use sloetrail_types::{EngineId, Timestamp, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const BACKOFF_FIRST: Duration = Duration::from_millis(200);
const BACKOFF_DOUBLINGS_LIMIT: u32 = 4;

/// What an engine holds, by its last status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWeights {
    /// The version in use.
    pub version: WeightVersion,
    /// The versions in memory.
    pub loaded: BTreeSet<WeightVersion>,
}

/// The bounds of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct RolloutLimits {
    /// Engines that read the weight store at a time.
    pub store_reads: usize,
    /// Engines that read from one engine at a time.
    pub peer_reads: usize,
    /// Share of the engines that must not be switching, in percent.
    pub capacity_floor_percent: u32,
}

/// Where an engine gets a version from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    /// The weight store.
    Store,
    /// An engine that holds it.
    Peer(EngineId),
}

/// One step of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Load the version beside the one in use.
    Load {
        /// The engine.
        engine: EngineId,
        /// The version.
        version: WeightVersion,
        /// Where it gets it from.
        source: WeightSource,
    },
    /// Use the version.
    Switch {
        /// The engine.
        engine: EngineId,
        /// The version.
        version: WeightVersion,
    },
}

impl RolloutStep {
    /// The engine that takes the step.
    pub fn engine(&self) -> &EngineId {
        match self {
            RolloutStep::Load { engine, .. } | RolloutStep::Switch { engine, .. } => engine,
        }
    }
}

#[derive(Debug)]
struct Backoff {
    failures: u32,
    until: Timestamp,
}

/// The rollout of one service's weights.
#[derive(Debug)]
pub struct RolloutPlanner {
    limits: RolloutLimits,
    in_progress: BTreeMap<EngineId, RolloutStep>,
    backoff: BTreeMap<EngineId, Backoff>,
}

impl RolloutPlanner {
    /// A planner with nothing in progress.
    pub fn new(limits: RolloutLimits) -> Self {
        Self {
            limits,
            in_progress: BTreeMap::new(),
            backoff: BTreeMap::new(),
        }
    }

    /// Changes the bounds after a new configuration.
    pub fn set_limits(&mut self, limits: RolloutLimits) {
        self.limits = limits;
    }

    /// The steps to start now towards `target`. Each one must be ended with
    /// [`RolloutPlanner::finish`].
    pub fn next_steps(
        &mut self,
        now: Timestamp,
        target: WeightVersion,
        engines: &BTreeMap<EngineId, EngineWeights>,
    ) -> Vec<RolloutStep> {
        let mut steps = Vec::new();
        for (id, weights) in engines {
            if weights.version == target || self.must_wait(now, id) {
                continue;
            }
            let step = match weights.loaded.contains(&target) {
                true => self.switch(id, target, engines.len()),
                false => self.load(id, target, engines),
            };
            if let Some(step) = step {
                self.in_progress.insert(id.clone(), step.clone());
                steps.push(step);
            }
        }
        steps
    }

    /// Ends a step.
    pub fn finish(&mut self, now: Timestamp, engine: &EngineId, succeeded: bool) {
        self.in_progress.remove(engine);
        if succeeded {
            self.backoff.remove(engine);
            return;
        }
        let backoff = self.backoff.entry(engine.clone()).or_insert(Backoff {
            failures: 0,
            until: now,
        });
        let doublings = backoff.failures.min(BACKOFF_DOUBLINGS_LIMIT);
        backoff.failures += 1;
        backoff.until = now.after(BACKOFF_FIRST * 2_u32.pow(doublings));
    }

    fn must_wait(&self, now: Timestamp, engine: &EngineId) -> bool {
        let backing_off = self
            .backoff
            .get(engine)
            .is_some_and(|backoff| now < backoff.until);
        backing_off || self.in_progress.contains_key(engine)
    }

    fn switch(
        &self,
        engine: &EngineId,
        version: WeightVersion,
        engine_count: usize,
    ) -> Option<RolloutStep> {
        let switching = self
            .in_progress
            .values()
            .filter(|step| matches!(step, RolloutStep::Switch { .. }))
            .count();
        if switching >= self.switches_allowed(engine_count) {
            return None;
        }
        Some(RolloutStep::Switch {
            engine: engine.clone(),
            version,
        })
    }

    /// At least one, or a service of one engine could never change its weights.
    fn switches_allowed(&self, engine_count: usize) -> usize {
        let percent = self.limits.capacity_floor_percent as usize;
        let must_serve = (engine_count * percent).div_ceil(100);
        (engine_count - must_serve).max(1)
    }

    fn load(
        &self,
        engine: &EngineId,
        version: WeightVersion,
        engines: &BTreeMap<EngineId, EngineWeights>,
    ) -> Option<RolloutStep> {
        let source = self.free_source(engine, version, engines)?;
        Some(RolloutStep::Load {
            engine: engine.clone(),
            version,
            source,
        })
    }

    /// A peer with a free place, else the store; the store alone after failures,
    /// because a peer may be what fails.
    fn free_source(
        &self,
        engine: &EngineId,
        version: WeightVersion,
        engines: &BTreeMap<EngineId, EngineWeights>,
    ) -> Option<WeightSource> {
        let failed_before = self.backoff.contains_key(engine);
        let holders = engines
            .iter()
            .filter(|(_, weights)| weights.loaded.contains(&version));
        for (holder, _) in holders {
            let source = WeightSource::Peer(holder.clone());
            if !failed_before && self.reads_of(&source) < self.limits.peer_reads {
                return Some(source);
            }
        }
        let store_is_free = self.reads_of(&WeightSource::Store) < self.limits.store_reads;
        store_is_free.then_some(WeightSource::Store)
    }

    fn reads_of(&self, wanted: &WeightSource) -> usize {
        self.in_progress
            .values()
            .filter(|step| matches!(step, RolloutStep::Load { source, .. } if source == wanted))
            .count()
    }
}
