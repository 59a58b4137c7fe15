//! An engine in virtual time: continuous batching, weights, load reports that lag.

use super::settings::ExperimentSettings;
use sloetrail_types::{EngineId, SampleId, Segment, WeightVersion};
use std::collections::{BTreeSet, VecDeque};

/// A sample on an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) sample: SampleId,
    pub(super) generation: u32,
    pub(super) length: f64,
    pub(super) done: f64,
    pub(super) segments: Vec<Segment>,
}

/// What an engine is doing about weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum WeightWork {
    Nothing,
    Loading {
        version: WeightVersion,
        until: f64,
    },
    /// Waits until it is empty, then switches.
    Emptying {
        version: WeightVersion,
    },
    Switching {
        version: WeightVersion,
        until: f64,
    },
}

/// One engine.
#[derive(Debug)]
pub(super) struct EngineModel {
    pub(super) id: EngineId,
    pub(super) version: WeightVersion,
    pub(super) loaded: BTreeSet<WeightVersion>,
    pub(super) work: WeightWork,
    pub(super) waiting: VecDeque<Job>,
    pub(super) running: Vec<Job>,
    pub(super) tokens: f64,
}

impl EngineModel {
    pub(super) fn new(id: EngineId) -> Self {
        let first = WeightVersion(1);
        Self {
            id,
            version: first,
            loaded: BTreeSet::from([first]),
            work: WeightWork::Nothing,
            waiting: VecDeque::new(),
            running: Vec::new(),
            tokens: 0.0,
        }
    }

    pub(super) fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    fn takes_samples(&self) -> bool {
        !matches!(
            self.work,
            WeightWork::Emptying { .. } | WeightWork::Switching { .. }
        )
    }

    /// Moves on by `seconds` and returns the samples that ended.
    pub(super) fn advance(
        &mut self,
        settings: &ExperimentSettings,
        now: f64,
        seconds: f64,
    ) -> Vec<Job> {
        while self.takes_samples() && self.running.len() < settings.engine_capacity {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(job);
        }
        if matches!(self.work, WeightWork::Switching { until, .. } if now < until) {
            return Vec::new();
        }
        let rate = rate_of_each(settings, self.running.len());
        let mut ended = Vec::new();
        let mut still_running = Vec::with_capacity(self.running.len());
        for mut job in self.running.drain(..) {
            let before = job.done;
            job.done = (job.done + rate * seconds).min(job.length);
            self.tokens += job.done - before;
            stamp(&mut job, &self.id, self.version, before);
            match job.done >= job.length {
                true => ended.push(job),
                false => still_running.push(job),
            }
        }
        self.running = still_running;
        ended
    }
}

/// Names the tokens since `before` with the engine and version that made them.
fn stamp(job: &mut Job, engine: &EngineId, version: WeightVersion, before: f64) {
    let last_token = (job.done.ceil() as u32).max(1) - 1;
    match job.segments.last_mut() {
        Some(last) if last.engine == *engine && last.version == version => {
            last.last_token = last_token;
        }
        _ => job.segments.push(Segment {
            engine: engine.clone(),
            version,
            first_token: before.ceil() as u32,
            last_token,
        }),
    }
}

/// Tokens a second of each of `running` samples: from the rate alone to the rate
/// on a full engine, in a straight line of the time a token takes.
fn rate_of_each(settings: &ExperimentSettings, running: usize) -> f64 {
    let alone = 1.0 / settings.tokens_per_second_alone;
    let full = 1.0 / settings.tokens_per_second_full;
    let others = settings.engine_capacity.saturating_sub(1).max(1) as f64;
    let share = running.saturating_sub(1) as f64 / others;
    1.0 / (alone + (full - alone) * share)
}
