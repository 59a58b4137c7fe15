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
    /// The source of a load that failed last; it may be what fails.
    avoid: Option<WeightSource>,
}

/// The rollout of one service's weights.
#[derive(Debug)]
pub struct RolloutPlanner {
    limits: RolloutLimits,
    in_progress: BTreeMap<EngineId, RolloutStep>,
    /// Loads in progress by source.
    reads: BTreeMap<WeightSource, usize>,
    backoff: BTreeMap<EngineId, Backoff>,
}

impl RolloutPlanner {
    /// A planner with nothing in progress.
    pub fn new(limits: RolloutLimits) -> Self {
        Self {
            limits,
            in_progress: BTreeMap::new(),
            reads: BTreeMap::new(),
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
                if let RolloutStep::Load { source, .. } = &step {
                    *self.reads.entry(source.clone()).or_default() += 1;
                }
                self.in_progress.insert(id.clone(), step.clone());
                steps.push(step);
            }
        }
        steps
    }

    /// Ends a step.
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
            avoid: None,
        });
        let doublings = backoff.failures.min(BACKOFF_DOUBLINGS_LIMIT);
        backoff.failures += 1;
        backoff.until = now.after(BACKOFF_FIRST * 2_u32.pow(doublings));
        if let Some(RolloutStep::Load { source, .. }) = step {
            backoff.avoid = Some(source);
        }
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

    /// A peer with a free place, else the store; not the source that failed
    /// last, unless there is no other.
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
        let avoid = backoff.and_then(|backoff| backoff.avoid.as_ref());
        let has_choice = sources.len() > 1;
        sources.into_iter().find(|source| {
            let is_avoided = has_choice && avoid == Some(source);
            !is_avoided && self.reads_of(source) < self.reads_allowed(source)
        })
    }

    fn reads_allowed(&self, source: &WeightSource) -> usize {
        match source {
            WeightSource::Store => self.limits.store_reads,
            WeightSource::Peer(_) => self.limits.peer_reads,
        }
    }

    fn reads_of(&self, source: &WeightSource) -> usize {
        self.reads.get(source).copied().unwrap_or(0)
    }
}
