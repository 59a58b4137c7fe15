//! What an experiment file says.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Synchronous steps, round robin, no limits, swaps on empty engines.
    Baseline,
    /// As the baseline, but steps are submitted ahead.
    BaselineAhead,
    /// The daemon's logic; each step is submitted when the one before is trained.
    Synchronous,
    /// The daemon's logic with steps submitted ahead.
    Ahead,
    /// As `ahead`, but engines swap weights only when empty.
    AheadWaitingSwap,
    /// As `ahead`, but samples go out in the order of their ids.
    AheadUnordered,
    /// As `ahead`, but a step's samples go to engines whatever weights they use.
    AheadAnyVersion,
}

impl Policy {
    /// True if steps are submitted before the trainer has finished the one before.
    pub(crate) fn submits_ahead(self) -> bool {
        !matches!(self, Policy::Baseline | Policy::Synchronous)
    }

    /// True if the daemon's logic dispatches.
    pub(crate) fn is_baseline(self) -> bool {
        matches!(self, Policy::Baseline | Policy::BaselineAhead)
    }

    /// True if engines take new weights in the middle of samples.
    pub(crate) fn swaps_mid_sample(self) -> bool {
        !self.is_baseline() && self != Policy::AheadWaitingSwap
    }

    /// True if a sample waits for weights that will not be too old when it is used.
    pub(crate) fn minds_versions(self) -> bool {
        !self.is_baseline() && self != Policy::AheadAnyVersion
    }

    /// True if lengths are predicted from a sample's group.
    pub(crate) fn predicts_lengths(self) -> bool {
        !self.is_baseline() && self != Policy::AheadUnordered
    }
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSettings {
    /// Its name, for the report.
    pub name: String,
    /// Policies to compare, the baseline first.
    pub policies: Vec<Policy>,
    /// Seeds; each policy runs on each.
    pub seeds: Vec<u64>,
    /// Engines.
    pub engines: usize,
    /// Samples an engine runs at a time.
    pub engine_capacity: usize,
    /// Tokens a second of a sample that is alone on its engine.
    pub tokens_per_second_alone: f64,
    /// Tokens a second of each sample on a full engine.
    pub tokens_per_second_full: f64,
    /// Samples a step.
    pub samples_per_step: usize,
    /// Samples that share a prompt.
    pub group_size: usize,
    /// Median length, in tokens.
    pub median_tokens: f64,
    /// Share of the groups whose samples are 10 to 30 times as long.
    pub tail_share: f64,
    /// Time that the trainer takes for a step, in seconds.
    pub train_seconds: f64,
    /// Steps that are submitted ahead, where the policy does so.
    pub steps_ahead: u64,
    /// The run's staleness bound, in versions.
    pub staleness_bound: u64,
    /// Time to load a version beside the one in use, in seconds.
    pub load_seconds: f64,
    /// Pause of a switch, in seconds.
    pub switch_seconds: f64,
    /// Engines that must not be switching, in percent.
    pub capacity_floor_percent: u32,
    /// Lag of the engines' load reports, in seconds.
    pub report_lag_seconds: f64,
    /// Steps to train.
    pub steps: u64,
}

/// Why an experiment file cannot be used.
#[derive(Debug, Snafu)]
pub enum ExperimentError {
    /// It cannot be read.
    #[snafu(display("{reason}"))]
    Unreadable {
        /// Where and why.
        reason: String,
    },
}

impl ExperimentSettings {
    /// Parses a file's text.
    pub fn parse(text: &str) -> Result<Self, ExperimentError> {
        let settings: Self = toml::from_str(text).map_err(|error| ExperimentError::Unreadable {
            reason: error.to_string(),
        })?;
        let positive = [
            settings.tokens_per_second_alone,
            settings.tokens_per_second_full,
            settings.median_tokens,
            settings.train_seconds,
        ];
        let counts = [
            settings.engines,
            settings.engine_capacity,
            settings.samples_per_step,
            settings.group_size,
            settings.seeds.len(),
            settings.policies.len(),
        ];
        if positive.iter().any(|value| *value <= 0.0) || counts.contains(&0) {
            let reason = "rates, times, counts, seeds and policies must be positive".to_owned();
            return Err(ExperimentError::Unreadable { reason });
        }
        Ok(settings)
    }
}
