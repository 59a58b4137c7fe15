//! Engines of other models that run the waiting items of a model whose slots are scarce.

use super::{engines_of_model, pool, set_event_interval, target};
use crate::owner::engines::EnginePool;
use crate::owner::event::PlannedOrder;
use crate::owner::shared_engines::plan_shared;
use crate::owner::weight_update_plan::ModelTarget;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, WeightVersion};

const ENGINES: usize = 12;
const SLOTS: usize = 8;

fn waiting(model: &str, waiting: usize) -> ModelTarget {
    ModelTarget {
        waiting,
        slots_are_scarce: true,
        ..target(model, 5, 4)
    }
}

/// All engines have the versions that their own model needs and none of the others.
fn pool_of_three_models() -> EnginePool {
    let mut pool = pool(ENGINES);
    for model in ["a", "b", "c"] {
        for id in engines_of_model(&pool, model) {
            let engine = pool.get_mut(&id).expect("known");
            engine.record_version(model, WeightVersion(5), "test");
        }
    }
    pool
}

fn fill(pool: &mut EnginePool, ids: &[EngineId], running: usize) {
    for id in ids {
        pool.get_mut(id).expect("known").running = running;
    }
}

fn plan(pool: &EnginePool, targets: &[ModelTarget], max_orders: usize) -> Vec<PlannedOrder> {
    plan_shared(pool, targets, &[], max_orders, BootInstant::now())
}

/// Guards against items that wait beside idle engines of another model.
#[test]
fn idle_engines_of_other_models_get_the_version_of_waiting_items() {
    let mut pool = pool_of_three_models();
    let (own, idle) = (engines_of_model(&pool, "a"), engines_of_model(&pool, "c"));
    fill(&mut pool, &own, SLOTS);
    let busy = engines_of_model(&pool, "b");
    fill(&mut pool, &busy, SLOTS);
    let targets = [waiting("a", 10), waiting("b", 3), waiting("c", 0)];
    let orders = plan(&pool, &targets, 10);
    let of = |model: &str| orders.iter().filter(|order| order.model == model).count();
    assert_eq!((of("a"), of("b")), (2, 1), "as many as the items need");
    assert!(orders.iter().all(|order| idle.contains(&order.engine)));
    assert!(orders.iter().all(|order| order.version == WeightVersion(5)));
    assert_eq!(plan(&pool, &targets, 1).len(), 1, "the limit on changes");
}

/// Guards against taking engines from a model whose items wait as well, or that are nearly full,
/// slow or changing.
#[test]
fn engines_that_are_needed_or_busy_are_not_shared() {
    let mut pool = pool_of_three_models();
    let own = engines_of_model(&pool, "a");
    fill(&mut pool, &own, SLOTS);
    let b = engines_of_model(&pool, "b");
    let targets = [waiting("a", 100), waiting("b", 1), waiting("c", 0)];
    let orders = plan(&pool, &targets, 10);
    assert!(orders.iter().all(|order| !b.contains(&order.engine)));
    let c = engines_of_model(&pool, "c");
    fill(&mut pool, &c[..1], SLOTS / 2 + 1);
    pool.get_mut(&c[1]).expect("known").has_order_in_flight = true;
    let all: Vec<EngineId> = pool.iter().map(|(id, _)| id.clone()).collect();
    for id in &all {
        set_event_interval(&pool, id, if *id == c[2] { 130 } else { 33 });
    }
    assert!(pool.update_slow_engines());
    let orders = plan(&pool, &targets, 10);
    let engines: Vec<&EngineId> = orders.iter().map(|order| &order.engine).collect();
    assert_eq!(engines, [&c[3]]);
}

/// Guards against further changes while free slots or changes in flight suffice.
#[test]
fn items_that_find_slots_need_no_shared_engine() {
    let mut pool = pool_of_three_models();
    let own = engines_of_model(&pool, "a");
    fill(&mut pool, &own[1..], SLOTS);
    let targets = [waiting("a", SLOTS), waiting("b", 0), waiting("c", 0)];
    assert!(plan(&pool, &targets, 10).is_empty(), "one engine is free");
    fill(&mut pool, &own, SLOTS);
    let orders = plan(&pool, &targets, 10);
    assert_eq!(orders.len(), 1);
    let now = BootInstant::now();
    assert!(plan_shared(&pool, &targets, &orders, 10, now).is_empty());
    let shared = pool.get_mut(&orders[0].engine).expect("known");
    shared.record_version("a", WeightVersion(5), "test");
    assert!(plan(&pool, &targets, 10).is_empty(), "its slots are free");
}
