//! Assigns each engine the model whose versions it is kept up to date with.
//!
//! Engines are shared among models in proportion to the work of their batches. Slow engines
//! are not counted. An unassigned engine gets the model whose newest version it is closest to,
//! so that a new owner keeps the assignments of its predecessor. Then as few engines as
//! possible are reassigned. While slots are scarce, [`super::backlog_assignment`] reassigns instead.

use super::engine::Engine;
use sloetrail_types::{EngineId, WeightVersion};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A model and what its share of the engines depends on.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ModelShare {
    pub(super) model: String,
    /// The newest version; zero if none is published.
    pub(super) published: WeightVersion,
    /// Work of the model's batches, greater than zero, in a unit common to all models.
    pub(super) work: f64,
}

/// Assigns a model to each engine that takes work.
pub(super) fn assign_models(engines: &mut BTreeMap<EngineId, Engine>, shares: &[ModelShare]) {
    if let Some(mut counts) = assign_unassigned(engines, shares) {
        rebalance(engines, shares, &mut counts);
    }
}

/// Assigns a model to each engine that takes work and has none of these models. Returns the number
/// of engines by model, slow ones not counted. None if an engine is left without a model.
pub(super) fn assign_unassigned(
    engines: &mut BTreeMap<EngineId, Engine>,
    shares: &[ModelShare],
) -> Option<Vec<usize>> {
    let mut counts = vec![0; shares.len()];
    for engine in engines.values_mut() {
        let model = engine.assigned.as_deref().and_then(|assigned| {
            let mut models = shares.iter();
            models.position(|share| share.model == assigned)
        });
        match model.filter(|_| engine.takes_work()) {
            Some(model) => counts[model] += usize::from(!engine.is_slow()),
            None => engine.assigned = None,
        }
    }
    let unassigned = engines
        .values_mut()
        .filter(|engine| engine.assigned.is_none() && engine.takes_work());
    for engine in unassigned {
        let best = closest_model(engine, shares, &counts)?;
        engine.assigned = Some(shares[best].model.clone());
        counts[best] += usize::from(!engine.is_slow());
    }
    Some(counts)
}

/// Index of the model whose newest version is the fewest versions ahead of the engine's. Ties
/// go to the model with the fewest engines for its work.
fn closest_model(engine: &Engine, shares: &[ModelShare], counts: &[usize]) -> Option<usize> {
    let lag = |model: usize| {
        let share = &shares[model];
        share
            .published
            .0
            .saturating_sub(engine.version(&share.model).0)
    };
    (0..shares.len()).min_by(|left, right| {
        let by_lag = lag(*left).cmp(&lag(*right));
        by_lag.then_with(|| compare_engines_for_work(shares, counts, *left, *right))
    })
}

/// Compares the engines per unit of work that two models would have with one more engine each.
fn compare_engines_for_work(
    shares: &[ModelShare],
    counts: &[usize],
    left: usize,
    right: usize,
) -> Ordering {
    let with_one_more = |model: usize| (counts[model] + 1) as f64 / shares[model].work;
    with_one_more(left).total_cmp(&with_one_more(right))
}

/// Reassigns the least loaded engines from the model with the most engines for its work to the
/// model with the fewest, as long as the former does not end up with fewer than the latter.
fn rebalance(
    engines: &mut BTreeMap<EngineId, Engine>,
    shares: &[ModelShare],
    counts: &mut [usize],
) {
    let models = || 0..shares.len();
    while let Some(lowest) =
        models().min_by(|l, r| compare_engines_for_work(shares, counts, *l, *r))
    {
        let engines_per_work = |model: usize, engines: usize| engines as f64 / shares[model].work;
        let highest = models().max_by(|l, r| {
            let (left, right) = (
                engines_per_work(*l, counts[*l]),
                engines_per_work(*r, counts[*r]),
            );
            left.total_cmp(&right)
        });
        let Some(highest) = highest else {
            return;
        };
        let is_balanced = counts[highest] == 0
            || engines_per_work(highest, counts[highest] - 1)
                < engines_per_work(lowest, counts[lowest] + 1);
        if highest == lowest || is_balanced {
            return;
        }
        let candidates = engines
            .values_mut()
            .filter(|engine| engine.is_assigned(&shares[highest].model) && !engine.is_slow());
        let Some(engine) = candidates.min_by_key(|engine| engine.running) else {
            return;
        };
        engine.assigned = Some(shares[lowest].model.clone());
        counts[highest] -= 1;
        counts[lowest] += 1;
    }
}
