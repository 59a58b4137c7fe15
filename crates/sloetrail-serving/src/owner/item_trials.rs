//! Quarantined items that run at an engine to find out whether they crash it.
//!
//! The owner of a batch is the only one to run its items, so it decides on their trials without
//! asking the table. Several items may be on trial at one engine: while few of many suspects are
//! guilty, most groups pass. A request that has crashed an engine in a trial is tried alone.
//!
//! While all items of a service are held, crashes of its idle engines are not noticed. So the first
//! trials are few; each one that passes allows more, until one is lost.

use sloetrail_batch::{BatchId, ItemIndex};
use sloetrail_quarantine::RequestDigest;
use sloetrail_types::EngineId;
use std::collections::{BTreeMap, BTreeSet};

/// Items may be on trial at this part of the engines at once: at one in two, at least at one.
const ENGINES_PER_ENGINE_AT_RISK: usize = 2;

/// Number of trials at once until one has passed.
const FIRST_TRIALS: usize = 2;
/// Each trial that passes allows this many times as many at once.
const TRIALS_GROWTH: usize = 8;
const MAX_TRIALS: usize = 1_024;

pub(super) type ItemKey = (BatchId, ItemIndex);

/// An item on trial.
#[derive(Clone, Debug)]
pub(super) struct ItemTrial {
    pub(super) engine: EngineId,
    pub(super) digest: RequestDigest,
    /// True if no other item may be on trial at the engine.
    pub(super) is_alone: bool,
    /// The last event at which it is not known to be innocent.
    pub(super) last_suspect_event: u64,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialEnd {
    /// The item has got further than it had when engines crashed under it.
    Passed,
    /// The run was lost.
    Lost,
    /// The run did not take place or was cancelled.
    Undecided,
}

/// The trials of one owner.
#[derive(Debug)]
pub(super) struct ItemTrials {
    running: BTreeMap<ItemKey, ItemTrial>,
    /// Number of trials that may run at once.
    limit: usize,
}

impl Default for ItemTrials {
    fn default() -> Self {
        Self {
            running: BTreeMap::new(),
            limit: FIRST_TRIALS,
        }
    }
}

impl ItemTrials {
    pub(super) fn start(&mut self, item: ItemKey, trial: ItemTrial) {
        self.running.insert(item, trial);
    }

    /// Ends a trial and returns it. None if the item was not on trial.
    pub(super) fn end(&mut self, item: &ItemKey, end: TrialEnd) -> Option<ItemTrial> {
        let trial = self.running.remove(item)?;
        self.limit = match end {
            TrialEnd::Passed => (self.limit * TRIALS_GROWTH).min(MAX_TRIALS),
            TrialEnd::Lost => FIRST_TRIALS,
            TrialEnd::Undecided => self.limit,
        };
        Some(trial)
    }

    /// Forgets the outcome of earlier trials, once no item is held.
    pub(super) fn reset(&mut self) {
        self.limit = FIRST_TRIALS;
    }

    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ItemKey, &ItemTrial)> {
        self.running.iter()
    }

    /// True if a further trial may start now.
    pub(super) fn has_room(&self) -> bool {
        self.running.len() < self.limit
    }

    /// True if an item with the same content is on trial.
    pub(super) fn includes(&self, digest: RequestDigest) -> bool {
        self.running.values().any(|trial| trial.digest == digest)
    }

    /// The number of items on trial at an engine.
    pub(super) fn count_at(&self, engine: &EngineId) -> usize {
        let trials = self.running.values();
        trials.filter(|trial| trial.engine == *engine).count()
    }

    /// True if a trial may start at an engine, one of `engines` that take work.
    pub(super) fn may_start_at(&self, engine: &EngineId, is_alone: bool, engines: usize) -> bool {
        let running = self.running.values();
        let at_engine = running.filter(|trial| trial.engine == *engine);
        let is_shared = at_engine.clone().next().is_some();
        match is_shared {
            true => !is_alone && at_engine.clone().all(|trial| !trial.is_alone),
            false => self.engines_at_risk() < (engines / ENGINES_PER_ENGINE_AT_RISK).max(1),
        }
    }

    fn engines_at_risk(&self) -> usize {
        let engines: BTreeSet<&EngineId> =
            self.running.values().map(|trial| &trial.engine).collect();
        engines.len()
    }
}

#[cfg(test)]
mod tests;
