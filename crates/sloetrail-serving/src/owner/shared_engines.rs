//! Lets idle engines of other models run the waiting items of a model whose slots are scarce.
//!
//! Load: the batches of different models come at different times, so that one model's items wait
//! while engines of another model are idle until its next batch. An idle engine then gets the
//! version of the waiting model as well. It stays assigned to its own model, whose versions and
//! items are not affected by the change.

use super::engine::Engine;
use super::engines::EnginePool;
use super::event::PlannedOrder;
use super::weight_update_plan::ModelTarget;
use sloetrail_clock::BootInstant;
use sloetrail_types::EngineId;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// An engine is idle if at least one in this many of its slots is free: a change for fewer slots
/// brings in less than it costs in orders.
const IDLE_SLOTS_DIVISOR: usize = 2;

/// Returns the orders for engines of other models, at most `max_orders`. Engines in `ordered` get
/// no second order.
pub(super) fn plan_shared(
    pool: &EnginePool,
    targets: &[ModelTarget],
    ordered: &[PlannedOrder],
    max_orders: usize,
    now: BootInstant,
) -> Vec<PlannedOrder> {
    let waiting = targets.iter().filter(|target| target.waiting > 0);
    let mut short: Vec<(&ModelTarget, usize)> = waiting
        .map(|target| (target, missing_slots(pool, target, ordered, now)))
        .filter(|(_, missing)| *missing > 0)
        .collect();
    if short.is_empty() {
        return Vec::new();
    }
    short.sort_by_key(|(_, missing)| Reverse(*missing));
    let mut idle = idle_engines(pool, targets, ordered, now);
    let mut orders = Vec::new();
    for (target, mut missing) in short {
        let mut allowed = max_orders - orders.len();
        let due = idle.extract_if(.., |(_, engine)| {
            let is_due = missing > 0
                && allowed > 0
                && !engine.is_assigned(&target.model)
                && engine.version(&target.model) < target.min_usable;
            if is_due {
                missing = missing.saturating_sub(engine.free_slots(now));
                allowed -= 1;
            }
            is_due
        });
        orders.extend(due.map(|(id, _)| PlannedOrder {
            engine: id.clone(),
            model: target.model.clone(),
            version: target.published,
        }));
    }
    orders
}

/// The waiting items of a model beyond the slots that are free for them or will be after a change.
fn missing_slots(
    pool: &EnginePool,
    target: &ModelTarget,
    ordered: &[PlannedOrder],
    now: BootInstant,
) -> usize {
    let of_model = ordered.iter().filter(|order| order.model == target.model);
    let ordered: BTreeSet<&EngineId> = of_model.map(|order| &order.engine).collect();
    let available = pool.iter().filter(|(id, engine)| {
        let is_served = engine.version(&target.model) >= target.min_usable;
        let will_be_served = engine.is_changing_to(&target.model) || ordered.contains(id);
        engine.is_usable(now) && !engine.is_slow() && (is_served || will_be_served)
    });
    let available: usize = available.map(|(_, engine)| engine.free_slots(now)).sum();
    target.waiting.saturating_sub(available)
}

/// Engines whose own model has no waiting items and at least half of whose slots are free, the
/// least loaded first.
fn idle_engines<'a>(
    pool: &'a EnginePool,
    targets: &[ModelTarget],
    ordered: &[PlannedOrder],
    now: BootInstant,
) -> Vec<(&'a EngineId, &'a Engine)> {
    let is_needed = |engine: &Engine| {
        let mut waiting = targets.iter().filter(|target| target.waiting > 0);
        waiting.any(|target| engine.is_assigned(&target.model))
    };
    let is_idle =
        |engine: &Engine| engine.free_slots(now) * IDLE_SLOTS_DIVISOR >= engine.back_end.slots;
    let ordered: BTreeSet<&EngineId> = ordered.iter().map(|order| &order.engine).collect();
    let engines = pool.iter().filter(|(id, engine)| {
        let may_change = engine.may_be_ordered(now) && !ordered.contains(id);
        may_change && !engine.is_slow() && is_idle(engine) && !is_needed(engine)
    });
    let mut idle: Vec<(&EngineId, &Engine)> = engines.collect();
    idle.sort_by_key(|(_, engine)| engine.running);
    idle
}
