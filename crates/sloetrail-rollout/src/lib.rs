//! Planning of weight rollouts.
//!
//! An engine adopts a new weight version in two steps: it loads the version
//! next to the active one, then switches. [`RolloutPlanner`] selects the source
//! of each load, so that few engines read the rate-limited weight store and the
//! others read from peers. It also limits concurrent switches, so that enough
//! engines stay in service. A failed step leaves the engine unchanged and is
//! retried after a backoff.

mod planner;

pub use planner::{EngineWeights, RolloutLimits, RolloutPlanner, RolloutStep, WeightSource};

#[cfg(test)]
mod tests;
