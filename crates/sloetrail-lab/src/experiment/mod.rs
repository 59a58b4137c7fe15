//! Policies side by side, in virtual time.
//!
//! A trainer and a service's engines are modelled; what decides is the daemon's
//! own code: `Ledger` (dispatch order, staleness), `Balancer` (choice, limits)
//! and `RolloutPlanner` (weights). The baseline does without them: synchronous
//! steps, round robin, no limits, weights swapped once an engine is empty.

mod engine_model;
mod lengths;
mod report;
mod settings;
mod simulation;

pub use report::{ExperimentReport, StalenessSummary};
pub use settings::{ExperimentError, ExperimentSettings, Policy};
pub use simulation::simulate;

#[cfg(test)]
mod tests;
