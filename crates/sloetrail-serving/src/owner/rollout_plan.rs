//! Which engines change their weights next.
//!
//! A change takes an engine out for about a second, and only a few engines may change
//! at a time. Engines that the next batch of their model could not use go first, for
//! the model with the smallest usable share; engines that merely lag behind follow, of
//! which half stay in service. While a model needs only part of its places, only part
//! of its engines get each version, and the others the next one.

use super::engine::Engine;
use super::engines::EnginePool;
use super::event::PlannedOrder;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, WeightVersion};
use std::cmp::Reverse;

/// Of the engines of a service one in this many may change at a time.
const CHANGING_DIVISOR: usize = 5;
/// Of a model's engines that batches can use one in this many may change at a time.
const USABLE_CHANGING_DIVISOR: usize = 2;
const PER_THOUSAND: usize = 1_000;
/// Engines of a model that are kept ready though it needs none: enough for its next batch to
/// begin at once, also if one of them is lost. A share of the engines in place of a number
/// grows with the fleet and not with the work: at 972 engines a model it was 97, each with an
/// order and a connection a version.
const READY_LEAST: usize = 3;

/// What the versions of one model have come to.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ModelTarget {
    /// The model.
    pub(super) model: String,
    /// The newest version, which engines are brought to.
    pub(super) published: WeightVersion,
    /// The oldest version that the newest batch can use.
    pub(super) needed: WeightVersion,
    /// The share of the model's engines that should be ready for the newest batch; the
    /// others keep the version that they have.
    pub(super) ready_share: f64,
    /// Of these, the share that should have the newest version; others keep theirs as
    /// long as batches can use it.
    pub(super) newest_share: f64,
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
    now: BootInstant,
) -> Vec<PlannedOrder> {
    let under_way = pool.iter().filter(|(_, engine)| is_changing(engine));
    let free = concurrent.saturating_sub(under_way.count());
    if free == 0 {
        return Vec::new();
    }
    let mut queues: Vec<ModelQueue> = targets
        .iter()
        .map(|target| ModelQueue::new(pool, target, now))
        .collect();
    (0..free)
        .map_while(|_| {
            let turns = queues.iter_mut().filter(|queue| queue.turn().is_some());
            turns.min_by_key(|queue| queue.turn())?.take()
        })
        .collect()
}

fn is_changing(engine: &Engine) -> bool {
    engine.change.is_some() || engine.has_order_in_flight
}

/// A share of a number of engines, rounded up.
fn share_of(engines: usize, share: f64) -> usize {
    (engines as f64 * share).ceil() as usize
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

/// An engine that is due.
struct Due<'a> {
    id: &'a EngineId,
    version: WeightVersion,
    running: usize,
}

/// The engines of one model, and those that are due in the order of their turns.
struct ModelQueue<'a> {
    target: &'a ModelTarget,
    assigned: usize,
    served: usize,
    /// Of those served, the ones that were not lost lately.
    ready: usize,
    newest: usize,
    changing: usize,
    /// Engines that the newest batch cannot use; the next one stands last.
    unusable: Vec<Due<'a>>,
    /// Engines that it can use; the next one stands last.
    lagging: Vec<Due<'a>>,
}

impl<'a> ModelQueue<'a> {
    fn new(pool: &'a EnginePool, target: &'a ModelTarget, now: BootInstant) -> Self {
        let mut queue = Self {
            target,
            assigned: 0,
            served: 0,
            ready: 0,
            newest: 0,
            changing: 0,
            unusable: Vec::new(),
            lagging: Vec::new(),
        };
        for (id, engine) in pool.iter() {
            if engine.takes_work() && engine.is_assigned(&target.model) {
                queue.add(id, engine, now);
            }
        }
        for due in [&mut queue.unusable, &mut queue.lagging] {
            due.sort_by_key(|due| Reverse((due.version, due.running)));
        }
        queue
    }

    fn add(&mut self, id: &'a EngineId, engine: &Engine, now: BootInstant) {
        let version = engine.version(&self.target.model);
        let is_usable = version >= self.target.needed;
        self.assigned += 1;
        self.changing += usize::from(is_changing(engine));
        let is_served = is_usable || is_changing(engine);
        self.served += usize::from(is_served);
        self.ready += usize::from(is_served && engine.is_usable(now) && !engine.is_slow());
        let is_newest = version >= self.target.published;
        self.newest += usize::from(is_newest || is_changing(engine));
        let is_due = engine.is_usable(now)
            && !engine.is_slow()
            && version < self.target.published
            && !is_changing(engine)
            && now >= engine.order_not_before;
        if !is_due {
            return;
        }
        let due = match is_usable {
            true => &mut self.lagging,
            false => &mut self.unusable,
        };
        due.push(Due {
            id,
            version,
            running: engine.running,
        });
    }

    /// The turn of the engine that is next; nothing if none may change now.
    fn turn(&self) -> Option<Turn> {
        let is_usable = !self.needs_ready();
        let next = match is_usable {
            true if self.needs_newest() => self.lagging.last()?,
            true => return None,
            false => self.unusable.last()?,
        };
        Some(Turn {
            is_usable,
            served_share: self.served * PER_THOUSAND / self.assigned,
            version: next.version,
            running: next.running,
        })
    }

    fn needs_ready(&self) -> bool {
        !self.unusable.is_empty() && self.ready < self.ready_enough()
    }

    fn needs_newest(&self) -> bool {
        let may_change = self.assigned.div_ceil(USABLE_CHANGING_DIVISOR);
        self.changing < may_change && self.newest < self.newest_enough()
    }

    fn ready_enough(&self) -> usize {
        let wanted = share_of(self.assigned, self.target.ready_share);
        wanted.max(READY_LEAST).min(self.assigned)
    }

    fn newest_enough(&self) -> usize {
        share_of(self.ready_enough(), self.target.newest_share)
    }

    fn take(&mut self) -> Option<PlannedOrder> {
        let was_unusable = self.needs_ready();
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
