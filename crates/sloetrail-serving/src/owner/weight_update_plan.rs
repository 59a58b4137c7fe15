//! Plans which engines change their weights next.
//!
//! An engine takes no work during a change, and only a few engines may change at a time.
//! Engines that the next batch of their model cannot use go first, starting with the model with
//! the smallest usable share. Engines that can be used but lag behind follow; at most half of a
//! model's engines change at a time. A model that needs only part of its slots gets each version
//! on only part of its engines. Before all others go engines without which a region-bound batch
//! cannot run ([`BoundDemand`]).
//!
//! While slots are scarce, a change costs engine time that the open batches need. Each version then
//! goes to the share of engines that keeps a model's next batch served ([`scarce_newest_share`]),
//! and engines with the least running work change first. Changes that are still allowed go to idle
//! engines of other models ([`plan_shared`]).

use super::bound_demand::BoundDemand;
use super::engine::Engine;
use super::engines::EnginePool;
use super::event::PlannedOrder;
use super::shared_engines::plan_shared;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, WeightVersion};
use std::cmp::Reverse;

/// One in this many engines of a service may change at a time.
const CHANGING_DIVISOR: usize = 5;
/// Lagging engines of a model change only while fewer than one in this many are changing.
const USABLE_CHANGING_DIVISOR: usize = 2;
const PER_THOUSAND: usize = 1_000;
/// Share of a model's engines that get each version if it serves at least two steps. The others get
/// the next one, so that they do not all have to change when it is published.
const ALTERNATING_SHARE: f64 = 0.5;
/// Minimum number of ready engines of a model without load, so that its next batch can start at
/// once even if an engine is lost. A share of the engines would grow with the fleet rather than
/// with the work: 97 of 972 engines, each with an order and a connection per version.
const MIN_READY_ENGINES: usize = 3;

/// Target weight versions of one model.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ModelTarget {
    pub(super) model: String,
    /// Newest version, which engines are updated to.
    pub(super) published: WeightVersion,
    /// Oldest version that the newest batch can use.
    pub(super) min_usable: WeightVersion,
    /// Share of the model's engines that should be ready for the newest batch. The others keep
    /// their version.
    pub(super) ready_share: f64,
    /// Share of the ready engines that should have the newest version. The others keep their
    /// version while batches can use it.
    pub(super) newest_share: f64,
    /// True while the model's slots are scarce: engines with the least running work change first,
    /// and slow engines do not count towards the shares, since they are not updated.
    pub(super) slots_are_scarce: bool,
    /// Items that wait for a slot while slots are scarce; else zero.
    pub(super) waiting: usize,
}

/// Returns the share of a model's engines that get each version while slots are scarce, if its
/// batches accept versions up to `version_lag` behind the newest.
pub(super) fn scarce_newest_share(version_lag: u64) -> f64 {
    match version_lag {
        0 => 1.0,
        _ => ALTERNATING_SHARE,
    }
}

/// Returns how many of `engines` may change at a time, at least `minimum`.
pub(super) fn max_concurrent_changes(engines: usize, minimum: usize) -> usize {
    engines.div_ceil(CHANGING_DIVISOR).max(minimum)
}

/// Returns the weight orders to give now, with at most `concurrent` changes at a time.
pub(super) fn plan(
    pool: &EnginePool,
    targets: &[ModelTarget],
    bound_demands: &[BoundDemand],
    concurrent: usize,
    now: BootInstant,
) -> Vec<PlannedOrder> {
    let changing = pool.iter().filter(|(_, engine)| is_changing(engine));
    let free = concurrent.saturating_sub(changing.count());
    if free == 0 {
        return Vec::new();
    }
    let mut orders = plan_bound(pool, targets, bound_demands, free, now);
    let mut queues: Vec<ModelQueue> = targets
        .iter()
        .map(|target| ModelQueue::new(pool, target, &orders, now))
        .collect();
    let others = (orders.len()..free).map_while(|_| {
        let candidates = queues
            .iter_mut()
            .filter(|queue| queue.next_priority().is_some());
        candidates
            .min_by_key(|queue| queue.next_priority())?
            .take_next()
    });
    orders.extend(others);
    let max_shared = free - orders.len();
    orders.extend(plan_shared(pool, targets, &orders, max_shared, now));
    orders
}

/// Returns the orders that region-bound batches depend on, at most `free`.
fn plan_bound(
    pool: &EnginePool,
    targets: &[ModelTarget],
    bound_demands: &[BoundDemand],
    free: usize,
    now: BootInstant,
) -> Vec<PlannedOrder> {
    let mut orders = Vec::new();
    for demand in bound_demands {
        if orders.len() >= free {
            break;
        }
        orders.extend(demand.plan_order(pool, targets, &orders, now));
    }
    orders
}

pub(super) fn is_changing(engine: &Engine) -> bool {
    engine.change.is_some() || engine.has_order_in_flight
}

/// Returns a share of `engines`, rounded up.
fn share_of(engines: usize, share: f64) -> usize {
    (engines as f64 * share).ceil() as usize
}

/// Order of weight updates; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpdatePriority {
    /// False if the newest batch cannot use the engine; such engines go first.
    is_usable: bool,
    /// Usable or changing engines of the model per thousand assigned.
    served_share: usize,
    /// Current version of the engine.
    version: WeightVersion,
    /// Items running on the engine.
    running: usize,
}

/// An engine that is due for a weight update.
struct DueEngine<'a> {
    id: &'a EngineId,
    version: WeightVersion,
    running: usize,
}

/// Engines of one model: counts by state, and queues of the engines due for a weight update.
struct ModelQueue<'a> {
    target: &'a ModelTarget,
    assigned: usize,
    /// Assigned engines that are slow.
    slow: usize,
    /// Engines that are usable or changing.
    served: usize,
    /// Served engines that were not recently lost, did not recently refuse, and are not slow.
    ready: usize,
    newest: usize,
    changing: usize,
    /// Engines that the newest batch cannot use; the next one is last.
    unusable: Vec<DueEngine<'a>>,
    /// Engines that it can use but that lack the newest version; the next one is last.
    lagging: Vec<DueEngine<'a>>,
}

impl<'a> ModelQueue<'a> {
    /// Engines in `ordered` get no second order.
    fn new(
        pool: &'a EnginePool,
        target: &'a ModelTarget,
        ordered: &[PlannedOrder],
        now: BootInstant,
    ) -> Self {
        let mut queue = Self {
            target,
            assigned: 0,
            slow: 0,
            served: 0,
            ready: 0,
            newest: 0,
            changing: 0,
            unusable: Vec::new(),
            lagging: Vec::new(),
        };
        for (id, engine) in pool.iter() {
            let is_ordered = ordered.iter().any(|order| order.engine == *id);
            if engine.takes_work() && engine.is_assigned(&target.model) && !is_ordered {
                queue.add(id, engine, now);
            }
        }
        for due in [&mut queue.unusable, &mut queue.lagging] {
            match target.slots_are_scarce {
                true => due.sort_by_key(|due| Reverse((due.running, due.version))),
                false => due.sort_by_key(|due| Reverse((due.version, due.running))),
            }
        }
        queue
    }

    fn add(&mut self, id: &'a EngineId, engine: &Engine, now: BootInstant) {
        let version = engine.version(&self.target.model);
        let is_usable = version >= self.target.min_usable;
        self.assigned += 1;
        self.slow += usize::from(engine.is_slow());
        self.changing += usize::from(is_changing(engine));
        let is_served = is_usable || is_changing(engine);
        self.served += usize::from(is_served);
        self.ready += usize::from(is_served && engine.is_usable(now) && !engine.is_slow());
        let is_newest = version >= self.target.published;
        let is_eligible = !(self.target.slots_are_scarce && engine.is_slow());
        self.newest += usize::from(is_eligible && (is_newest || is_changing(engine)));
        let is_due =
            engine.may_be_ordered(now) && !engine.is_slow() && version < self.target.published;
        if !is_due {
            return;
        }
        let due = match is_usable {
            true => &mut self.lagging,
            false => &mut self.unusable,
        };
        due.push(DueEngine {
            id,
            version,
            running: engine.running,
        });
    }

    /// Returns the priority of the next engine. None if no engine may change now.
    fn next_priority(&self) -> Option<UpdatePriority> {
        let is_usable = !self.needs_more_ready();
        let next = match is_usable {
            true if self.needs_more_newest() => self.lagging.last()?,
            true => return None,
            false => self.unusable.last()?,
        };
        Some(UpdatePriority {
            is_usable,
            served_share: self.served * PER_THOUSAND / self.assigned,
            version: next.version,
            running: next.running,
        })
    }

    fn needs_more_ready(&self) -> bool {
        !self.unusable.is_empty() && self.ready < self.target_ready()
    }

    fn needs_more_newest(&self) -> bool {
        let may_change = self.assigned.div_ceil(USABLE_CHANGING_DIVISOR);
        self.changing < may_change && self.newest < self.target_newest()
    }

    fn target_ready(&self) -> usize {
        let eligible = self.eligible();
        let ready = share_of(eligible, self.target.ready_share);
        ready.max(MIN_READY_ENGINES).min(eligible)
    }

    /// Number of engines of which the target shares are taken.
    fn eligible(&self) -> usize {
        match self.target.slots_are_scarce {
            true => self.assigned - self.slow,
            false => self.assigned,
        }
    }

    fn target_newest(&self) -> usize {
        share_of(self.target_ready(), self.target.newest_share)
    }

    fn take_next(&mut self) -> Option<PlannedOrder> {
        let was_unusable = self.needs_more_ready();
        let due = match was_unusable {
            true => &mut self.unusable,
            false => &mut self.lagging,
        };
        let next = due.pop()?;
        self.changing += 1;
        self.newest += 1;
        self.served += usize::from(was_unusable);
        self.ready += usize::from(was_unusable);
        Some(PlannedOrder {
            engine: next.id.clone(),
            model: self.target.model.clone(),
            version: self.target.published,
        })
    }
}
