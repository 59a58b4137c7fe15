//! Which engine is kept up to date for which model.
//!
//! Models share the engines by the work of their batches. Slow engines do not count. An
//! engine without a model gets the one whose weights it has kept up best, so that a new
//! owner goes on with what the one before left; then as few as possible are moved.

use super::engine::Engine;
use sloetrail_types::{EngineId, WeightVersion};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A model, with what its share of the engines depends on.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ModelShare {
    /// The model.
    pub(super) model: String,
    /// The newest version; zero if none was published.
    pub(super) published: WeightVersion,
    /// The work of its batches, in any unit that the models have in common. More than
    /// zero.
    pub(super) work: f64,
}

/// Gives each engine that takes work one of the models.
pub(super) fn assign_models(engines: &mut BTreeMap<EngineId, Engine>, shares: &[ModelShare]) {
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
        let Some(best) = best_kept(engine, shares, &counts) else {
            return;
        };
        engine.assigned = Some(shares[best].model.clone());
        counts[best] += usize::from(!engine.is_slow());
    }
    even_out(engines, shares, &mut counts);
}

/// The model whose newest version lies least ahead of the engine's; of several the one
/// with the fewest engines for its work.
fn best_kept(engine: &Engine, shares: &[ModelShare], counts: &[usize]) -> Option<usize> {
    let lag = |model: usize| {
        let share = &shares[model];
        share
            .published
            .0
            .saturating_sub(engine.version(&share.model).0)
    };
    (0..shares.len()).min_by(|left, right| {
        let by_lag = lag(*left).cmp(&lag(*right));
        by_lag.then_with(|| by_engines_for_work(shares, counts, *left, *right))
    })
}

/// Compares what two models would have for their work with one engine more.
fn by_engines_for_work(
    shares: &[ModelShare],
    counts: &[usize],
    left: usize,
    right: usize,
) -> Ordering {
    let with_one_more = |model: usize| (counts[model] + 1) as f64 / shares[model].work;
    with_one_more(left).total_cmp(&with_one_more(right))
}

/// Moves engines with least to do to the model that has fewest for its work, as long
/// as the model that loses one still has no fewer for its own.
fn even_out(engines: &mut BTreeMap<EngineId, Engine>, shares: &[ModelShare], counts: &mut [usize]) {
    let models = || 0..shares.len();
    while let Some(least) = models().min_by(|l, r| by_engines_for_work(shares, counts, *l, *r)) {
        let for_work = |model: usize, engines: usize| engines as f64 / shares[model].work;
        let most = models().max_by(|l, r| {
            let (left, right) = (for_work(*l, counts[*l]), for_work(*r, counts[*r]));
            left.total_cmp(&right)
        });
        let Some(most) = most else {
            return;
        };
        let would_be_even = counts[most] == 0
            || for_work(most, counts[most] - 1) < for_work(least, counts[least] + 1);
        if most == least || would_be_even {
            return;
        }
        let of_most = engines
            .values_mut()
            .filter(|engine| engine.is_assigned(&shares[most].model) && !engine.is_slow());
        let Some(engine) = of_most.min_by_key(|engine| engine.running) else {
            return;
        };
        engine.assigned = Some(shares[least].model.clone());
        counts[most] -= 1;
        counts[least] += 1;
    }
}
