//! Selects the next rollout step of each engine.

use sloetrail_types::{EngineId, Timestamp, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The weights of an engine according to its last status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWeights {
    /// The active version.
    pub version: WeightVersion,
    /// All versions in memory.
    pub loaded: BTreeSet<WeightVersion>,
}

/// The concurrency limits of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct RolloutLimits {
    /// The maximum number of concurrent loads from the weight store.
    pub store_reads: usize,
    /// The maximum number of concurrent loads from one engine.
    pub peer_reads: usize,
    /// The minimum share of engines that are not switching.
    pub capacity_floor_percent: u32,
}

/// The source from which an engine loads a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    Store,
    /// An engine that has the version loaded.
    Peer(EngineId),
}

/// A rollout step of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Load the version next to the active one.
    Load {
        engine: EngineId,
        version: WeightVersion,
        source: WeightSource,
    },
    /// Make the version active.
    Switch {
        engine: EngineId,
        version: WeightVersion,
    },
}

impl RolloutStep {
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
    /// The source of the last failed load, which may be the cause of the failure.
    avoided_source: Option<WeightSource>,
}

/// The rollout of one service's weights.
#[derive(Debug)]
pub struct RolloutPlanner {
    limits: RolloutLimits,
    in_progress: BTreeMap<EngineId, RolloutStep>,
    /// The number of loads in progress by source.
    reads: BTreeMap<WeightSource, usize>,
    backoff: BTreeMap<EngineId, Backoff>,
}

impl RolloutPlanner {
    pub fn new(limits: RolloutLimits) -> Self {
        Self {
            limits,
            in_progress: BTreeMap::new(),
            reads: BTreeMap::new(),
            backoff: BTreeMap::new(),
        }
    }

    pub fn set_limits(&mut self, limits: RolloutLimits) {
        self.limits = limits;
    }

    /// Returns the steps to start now towards `target`. The caller must end each step with
    /// [`RolloutPlanner::finish`].
    pub fn next_steps(
        &mut self,
        now: Timestamp,
        target: WeightVersion,
        engines: &BTreeMap<EngineId, EngineWeights>,
    ) -> Vec<RolloutStep> {
        let mut steps = Vec::new();
        for (id, weights) in engines {
            if weights.version == target || self.is_blocked(now, id) {
                continue;
            }
            let step = match weights.loaded.contains(&target) {
                true => self.switch(id, target, engines.len()),
                false => self.load(id, target, engines),
            };
            if let Some(step) = step {
                if let RolloutStep::Load { source, .. } = &step {
                    *self.reads.entry(source.clone()).or_default() += 1;
                }
                self.in_progress.insert(id.clone(), step.clone());
                steps.push(step);
            }
        }
        steps
    }

    /// Ends the step of an engine. After a failure the engine backs off before its next step.
    pub fn finish(&mut self, now: Timestamp, engine: &EngineId, succeeded: bool) {
        let step = self.in_progress.remove(engine);
        if let Some(RolloutStep::Load { source, .. }) = &step
            && let Some(reads) = self.reads.get_mut(source)
        {
            *reads = reads.saturating_sub(1);
        }
        if succeeded {
            self.backoff.remove(engine);
            return;
        }
        let backoff = self.backoff.entry(engine.clone()).or_insert(Backoff {
            failures: 0,
            until: now,
            avoided_source: None,
        });
        let doublings = backoff.failures.min(MAX_BACKOFF_DOUBLINGS);
        backoff.failures += 1;
        backoff.until = now.after(INITIAL_BACKOFF * 2_u32.pow(doublings));
        if let Some(RolloutStep::Load { source, .. }) = step {
            backoff.avoided_source = Some(source);
        }
    }

    fn is_blocked(&self, now: Timestamp, engine: &EngineId) -> bool {
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
        if switching >= self.max_switches(engine_count) {
            return None;
        }
        Some(RolloutStep::Switch {
            engine: engine.clone(),
            version,
        })
    }

    /// Returns the maximum number of concurrent switches. At least one, so that a service
    /// with one engine can change its weights.
    fn max_switches(&self, engine_count: usize) -> usize {
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

    /// Returns a peer with a free read slot, or else the store. Skips the source of the last
    /// failed load unless it is the only one.
    fn free_source(
        &self,
        engine: &EngineId,
        version: WeightVersion,
        engines: &BTreeMap<EngineId, EngineWeights>,
    ) -> Option<WeightSource> {
        let holders = engines
            .iter()
            .filter(|(_, weights)| weights.loaded.contains(&version));
        let mut sources: Vec<WeightSource> = holders
            .map(|(holder, _)| WeightSource::Peer(holder.clone()))
            .collect();
        sources.push(WeightSource::Store);
        let backoff = self.backoff.get(engine);
        let avoided_source = backoff.and_then(|backoff| backoff.avoided_source.as_ref());
        let has_choice = sources.len() > 1;
        sources.into_iter().find(|source| {
            let is_avoided = has_choice && avoided_source == Some(source);
            !is_avoided && self.reads_of(source) < self.max_reads(source)
        })
    }

    fn max_reads(&self, source: &WeightSource) -> usize {
        match source {
            WeightSource::Store => self.limits.store_reads,
            WeightSource::Peer(_) => self.limits.peer_reads,
        }
    }

    fn reads_of(&self, source: &WeightSource) -> usize {
        self.reads.get(source).copied().unwrap_or(0)
    }
}
