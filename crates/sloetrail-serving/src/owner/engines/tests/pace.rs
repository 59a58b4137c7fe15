//! Engines that are slower than the others.

use super::{FASTEST, MODELS, fast_engines, models, of_model, pool, set_pace, target, unconnected};
use crate::owner::engine::{Demand, Sparing};
use crate::owner::engines::EnginePool;
use crate::owner::weight_update_plan::plan;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, WeightVersion};
use std::time::Duration;

#[test]
fn a_stall_does_not_count_as_pace() {
    let pool = pool(1);
    let id = EngineId::new("e0");
    set_pace(&pool, &id, 40);
    let pace = &pool.get(&id).expect("known").pace;
    for _ in 0..12 {
        pace.note(Duration::from_millis(900));
    }
    assert_eq!(pace.microseconds(), Some(40_000));
    pace.note(Duration::from_millis(200));
    assert!(pace.microseconds() > Some(60_000), "a slow engine is seen");
}

fn make_slow(pool: &mut EnginePool, slow: &[EngineId]) {
    let all: Vec<EngineId> = pool.iter().map(|(id, _)| id.clone()).collect();
    for id in &all {
        let milliseconds = if slow.contains(id) { 130 } else { 33 };
        set_pace(pool, id, milliseconds);
    }
    assert!(pool.judge_paces());
    pool.assign(&models());
}

#[test]
fn slow_engines_do_not_count_for_their_model() {
    let mut pool = pool(9);
    let of_a = of_model(&pool, "a");
    make_slow(&mut pool, &of_a[..2]);
    let fast = fast_engines(&pool);
    assert!(fast.values().all(|count| *count >= 2), "{fast:?}");
}

#[test]
fn slow_engines_get_no_orders_and_one_item_at_a_time() {
    let mut pool = pool(3);
    let slow = of_model(&pool, "a");
    make_slow(&mut pool, &slow);
    let now = BootInstant::now() + Duration::from_secs(5);
    let targets = MODELS.map(|model| target(model, 2, 1));
    let orders = plan(&pool, &targets, 9, now);
    assert!(orders.iter().all(|order| !slow.contains(&order.engine)));
    let demand = Demand {
        model: Some("a"),
        oldest_version: WeightVersion(1),
    };
    let engine = pool.get_mut(&slow[0]).expect("known");
    engine.started();
    let picked = pool.pick(demand, now, FASTEST, unconnected);
    assert!(picked.is_some_and(|id| !slow.contains(&id)));
}

/// Otherwise the last engine would get one item at a time, for being slower than one that
/// takes none.
#[test]
fn an_engine_is_not_slow_for_being_slower_than_one_whose_zone_is_evacuated() {
    let mut pool = pool(2);
    let (spared, left) = (EngineId::new("e0"), EngineId::new("e1"));
    set_pace(&pool, &spared, 10);
    set_pace(&pool, &left, 50);
    assert!(pool.judge_paces());
    assert!(pool.get(&left).expect("known").is_slow());
    pool.set_sparing(|back_end| Sparing {
        evacuated: back_end.id == spared,
        ..Sparing::default()
    });
    assert!(pool.judge_paces());
    assert!(!pool.get(&left).expect("known").is_slow());
    assert!(!pool.judge_paces());
}
