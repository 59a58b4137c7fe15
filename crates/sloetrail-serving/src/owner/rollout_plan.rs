//! Which engines change their weights next.
//!
//! A change takes an engine out for about a second, and only a few engines may change
//! at a time. Engines that the next batch of their model could not use go first, for
//! the model with the smallest usable share; engines that merely lag behind follow, of
//! which half stay in service.

use super::engines::{Engine, EnginePool};
use super::event::PlannedOrder;
use sloetrail_types::{EngineId, WeightVersion};
use std::collections::BTreeSet;
use tokio::time::Instant;

/// Of the engines of a service one in this many may change at a time.
const CHANGING_DIVISOR: usize = 5;
/// Of a model's engines that batches can use one in this many may change at a time.
const USABLE_CHANGING_DIVISOR: usize = 2;
const PER_THOUSAND: usize = 1_000;

/// What the versions of one model have come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ModelTarget {
    /// The model.
    pub(super) model: String,
    /// The newest version, which engines are brought to.
    pub(super) published: WeightVersion,
    /// The oldest version that the newest batch can use.
    pub(super) needed: WeightVersion,
}

/// How many of `engines` may change at a time: a fifth, but at least `least`.
pub(super) fn concurrent_changes(engines: usize, least: usize) -> usize {
    engines.div_ceil(CHANGING_DIVISOR).max(least)
}

/// The orders to give now, with at most `concurrent` changes at a time.
pub(super) fn plan(
    pool: &EnginePool,
    targets: &[ModelTarget],
    concurrent: usize,
    now: Instant,
) -> Vec<PlannedOrder> {
    let under_way = pool.iter().filter(|(_, engine)| is_changing(engine));
    let free = concurrent.saturating_sub(under_way.count());
    let mut planning = Planning {
        pool,
        now,
        planned: BTreeSet::new(),
    };
    (0..free).map_while(|_| planning.next(targets)).collect()
}

fn is_changing(engine: &Engine) -> bool {
    engine.change.is_some() || engine.is_being_ordered
}

/// Decides whose turn it is: the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    /// Engines that the newest batch cannot use go before the others.
    is_usable: bool,
    /// Engines of the model that are usable or changing, per thousand assigned.
    served_share: usize,
    /// The version in use.
    version: WeightVersion,
    /// Items at the engine.
    running: usize,
}

struct Planning<'a> {
    pool: &'a EnginePool,
    now: Instant,
    planned: BTreeSet<EngineId>,
}

impl Planning<'_> {
    fn next(&mut self, targets: &[ModelTarget]) -> Option<PlannedOrder> {
        let candidates = targets.iter().flat_map(|target| self.candidates(target));
        let (_, order) = candidates.min_by_key(|(turn, _)| *turn)?;
        self.planned.insert(order.engine.clone());
        Some(order)
    }

    fn candidates(&self, target: &ModelTarget) -> Vec<(Turn, PlannedOrder)> {
        let assigned: Vec<(&EngineId, &Engine)> = self
            .pool
            .iter()
            .filter(|(id, engine)| {
                self.pool.is_assigned(id, &target.model) && !engine.back_end.draining
            })
            .collect();
        let is_usable = |engine: &Engine| engine.version(&target.model) >= target.needed;
        let changes =
            |id: &EngineId, engine: &Engine| is_changing(engine) || self.planned.contains(id);
        let changing = assigned.iter().filter(|(id, engine)| changes(id, engine));
        let changing = changing.count();
        let served = assigned
            .iter()
            .filter(|(id, engine)| is_usable(engine) || changes(id, engine));
        let served_share = served.count() * PER_THOUSAND / assigned.len().max(1);
        let may_lag = changing >= assigned.len().div_ceil(USABLE_CHANGING_DIVISOR);
        let due = assigned.into_iter().filter(|(id, engine)| {
            let waits = is_usable(engine) && may_lag;
            self.is_due(id, engine, target) && !waits
        });
        due.map(|(id, engine)| {
            let turn = Turn {
                is_usable: is_usable(engine),
                served_share,
                version: engine.version(&target.model),
                running: engine.running,
            };
            let order = PlannedOrder {
                engine: id.clone(),
                model: target.model.clone(),
                version: target.published,
            };
            (turn, order)
        })
        .collect()
    }

    fn is_due(&self, id: &EngineId, engine: &Engine, target: &ModelTarget) -> bool {
        engine.is_usable(self.now)
            && !engine.is_slow()
            && engine.version(&target.model) < target.published
            && !is_changing(engine)
            && !self.planned.contains(id)
            && self.now >= engine.order_not_before
    }
}
