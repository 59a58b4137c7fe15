use super::{
    FASTEST, MODELS, engines_of_model, fast_engines, models, not_connected, pool,
    set_event_interval, target,
};
use crate::owner::engine::{ModelRequirement, SendLimits};
use crate::owner::engines::EnginePool;
use crate::owner::weight_update_plan::plan;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, WeightVersion};
use std::time::Duration;

#[test]
fn stalls_do_not_count_as_event_intervals() {
    let pool = pool(1);
    let id = EngineId::new("e0");
    set_event_interval(&pool, &id, 40);
    let interval = &pool.get(&id).expect("known").event_interval;
    for _ in 0..12 {
        interval.record(Duration::from_millis(900));
    }
    assert_eq!(interval.microseconds(), Some(40_000));
    interval.record(Duration::from_millis(200));
    assert!(
        interval.microseconds() > Some(60_000),
        "a slow engine is detected"
    );
}

fn make_slow(pool: &mut EnginePool, slow: &[EngineId]) {
    let all: Vec<EngineId> = pool.iter().map(|(id, _)| id.clone()).collect();
    for id in &all {
        let interval_ms = if slow.contains(id) { 130 } else { 33 };
        set_event_interval(pool, id, interval_ms);
    }
    assert!(pool.update_slow_engines());
    pool.assign(&models());
}

#[test]
fn slow_engines_do_not_count_for_their_model() {
    let mut pool = pool(9);
    let of_a = engines_of_model(&pool, "a");
    make_slow(&mut pool, &of_a[..2]);
    let fast = fast_engines(&pool);
    assert!(fast.values().all(|count| *count >= 2), "{fast:?}");
}

#[test]
fn slow_engines_get_no_orders_and_one_item() {
    let mut pool = pool(3);
    let slow = engines_of_model(&pool, "a");
    make_slow(&mut pool, &slow);
    let now = BootInstant::now() + Duration::from_secs(5);
    let targets = MODELS.map(|model| target(model, 2, 1));
    let orders = plan(&pool, &targets, &[], 9, now);
    assert!(orders.iter().all(|order| !slow.contains(&order.engine)));
    let requirement = ModelRequirement {
        model: Some("a"),
        oldest_version: WeightVersion(1),
    };
    let engine = pool.get_mut(&slow[0]).expect("known");
    engine.record_start();
    let picked = pool.pick(requirement, now, FASTEST, not_connected);
    assert!(picked.is_some_and(|id| !slow.contains(&id)));
}

/// Guards against limiting the last working engine to one item at a time because an engine that
/// takes no work is faster.
#[test]
fn evacuated_engines_do_not_make_others_slow() {
    let mut pool = pool(2);
    let (evacuated, working) = (EngineId::new("e0"), EngineId::new("e1"));
    set_event_interval(&pool, &evacuated, 10);
    set_event_interval(&pool, &working, 50);
    assert!(pool.update_slow_engines());
    assert!(pool.get(&working).expect("known").is_slow());
    pool.set_send_limits(|back_end| SendLimits {
        evacuated: back_end.id == evacuated,
        ..SendLimits::default()
    });
    assert!(pool.update_slow_engines());
    assert!(!pool.get(&working).expect("known").is_slow());
    assert!(!pool.update_slow_engines());
}
