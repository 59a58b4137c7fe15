//! What an experiment found.

use super::settings::Policy;
use serde::Serialize;

/// Staleness of the samples at hand-over, in versions.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StalenessSummary {
    /// Mean.
    pub mean: f64,
    /// 99th percentile.
    pub p99: u64,
    /// Highest.
    pub max: u64,
}

impl StalenessSummary {
    pub(super) fn of(mut values: Vec<u64>) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        values.sort_unstable();
        let sum: u64 = values.iter().sum();
        Self {
            mean: sum as f64 / values.len() as f64,
            p99: values[(values.len() - 1) * 99 / 100],
            max: values[values.len() - 1],
        }
    }
}

/// One policy on one seed.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// The experiment.
    pub experiment: String,
    /// The policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
    /// Share of the time that the trainer waited for samples.
    pub idle_share: f64,
    /// The lowest idle share of a schedule that knows every length and runs one
    /// step at a time: the larger of work over capacity and the longest sample.
    pub idle_bound_one_step: f64,
    /// The same where steps may overlap: work over capacity alone.
    pub idle_bound_overlapping: f64,
    /// Staleness at hand-over.
    pub staleness: StalenessSummary,
    /// Samples generated again because they were too old.
    pub regenerated: u64,
    /// Tokens of samples that were generated again.
    pub tokens_wasted: u64,
    /// Virtual seconds.
    pub seconds: f64,
    /// Time from a version's publication until the last engine uses it, highest.
    pub rollout_seconds_max: f64,
}
