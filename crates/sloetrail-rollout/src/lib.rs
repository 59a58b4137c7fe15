//! Planning of weight rollouts.
//!
//! A new version goes to the engines in two steps: each loads it beside the one
//! in use, then switches. [`RolloutPlanner`] decides who loads from where, so
//! that the rate-limited weight store is read a few times only and engines pass
//! the version on in a tree, and who switches when, so that enough engines stay
//! in service. A step that fails leaves the engine as it was and is tried again
//! later.

mod planner;

pub use planner::{EngineWeights, RolloutLimits, RolloutPlanner, RolloutStep, WeightSource};

#[cfg(test)]
mod tests;
