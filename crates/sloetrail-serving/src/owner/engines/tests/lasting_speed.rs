use super::{directory, no_requirement, not_connected, pool, set_event_interval};
use crate::owner::engines::{EnginePool, EnginePreference};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, ServiceName};
use std::time::Duration;

const SLOTS: usize = 8;

fn record(pool: &EnginePool, id: &EngineId, interval_ms: u64, events: usize) {
    let interval = &pool.get(id).expect("known").event_interval;
    for _ in 0..events {
        interval.record(Duration::from_millis(interval_ms));
    }
}

/// Three engines of the usual speed and a fourth that is 2.4 times slower.
fn pool_with_slower_engine() -> (EnginePool, EngineId) {
    let pool = pool(4);
    let slower = EngineId::new("e3");
    let ids: Vec<EngineId> = pool.iter().map(|(id, _)| id.clone()).collect();
    for id in &ids {
        let interval_ms = if *id == slower { 96 } else { 40 };
        set_event_interval(&pool, id, interval_ms);
    }
    (pool, slower)
}

/// Load: slots are scarce, and other work disturbs a fast engine. Guards against a fast engine
/// that loses its rank by half a second of slowness.
#[test]
fn disturbed_fast_engine_keeps_its_rank() {
    let pool = pool(2);
    let (fast, slower) = (EngineId::new("e0"), EngineId::new("e1"));
    record(&pool, &fast, 40, 500);
    record(&pool, &slower, 72, 500);
    record(&pool, &fast, 100, 5 * SLOTS);
    let now = BootInstant::now();
    let pick = |preference| pool.pick(no_requirement(), now, preference, not_connected);
    assert_eq!(
        pick(EnginePreference::Fastest),
        Some(slower.clone()),
        "the momentary interval has changed"
    );
    assert_eq!(pick(EnginePreference::FastestLasting), Some(fast.clone()));
    let free = pool.free_engines_by_lasting_interval(no_requirement(), now);
    assert_eq!(free[0].id, fast);
    assert!(!pool.speed(&fast).is_clearly_slower());
    assert!(pool.speed(&slower).is_clearly_slower());
}

/// Load: slots are scarce. Guards against an engine at half the speed that stands idle, except
/// for a probe every 1.5 s, while items wait.
#[test]
fn slower_engine_uses_all_slots_while_slots_are_scarce() {
    let (mut pool, slower) = pool_with_slower_engine();
    let now = BootInstant::now();
    assert!(!pool.update_slow_engines_by_scarcity(now, |_| true));
    let mut taken_by_slower = 0;
    let preference = EnginePreference::FastestLasting;
    while let Some(id) = pool.pick(no_requirement(), now, preference, not_connected) {
        pool.get_mut(&id).expect("known").record_start();
        taken_by_slower += usize::from(id == slower);
    }
    assert_eq!(taken_by_slower, SLOTS);
}

/// Guards against another judgement of slowness while slots are not scarce, or for engines of a
/// model whose slots are not scarce.
#[test]
fn slower_engine_is_excluded_while_slots_are_plentiful() {
    let now = BootInstant::now();
    let (mut pool, slower) = pool_with_slower_engine();
    let assigned = pool.get(&slower).expect("known").assigned.clone();
    let is_other_model = |model: &str| assigned.as_deref() != Some(model);
    assert!(pool.update_slow_engines_by_scarcity(now, is_other_model));
    assert!(pool.get(&slower).expect("known").is_slow());
    let (mut as_before, slower) = pool_with_slower_engine();
    assert!(as_before.update_slow_engines());
    assert!(as_before.get(&slower).expect("known").is_slow());
    let slow = pool.iter().filter(|(_, engine)| engine.is_slow());
    assert_eq!(slow.count(), 1);
}

/// Load: slots become scarce. Guards against slots that stay unused until the next probe.
#[test]
fn excluded_engine_is_used_once_slots_become_scarce() {
    let now = BootInstant::now();
    let (mut pool, slower) = pool_with_slower_engine();
    assert!(pool.update_slow_engines_by_scarcity(now, |_| false));
    assert!(pool.update_slow_engines_by_scarcity(now, |_| true));
    assert!(!pool.get(&slower).expect("known").is_slow());
}

/// Load: an engine restarts under a new id. Guards against ranking it by its predecessor or last.
#[test]
fn engine_without_history_ranks_with_the_median() {
    let mut pool = pool(2);
    record(&pool, &EngineId::new("e0"), 40, 500);
    record(&pool, &EngineId::new("e1"), 96, 500);
    pool.apply_directory(&directory(3, &[]), &ServiceName::from("models"));
    let new = EngineId::new("e2");
    assert_eq!(pool.speed(&new).interval_us, None);
    assert_eq!(pool.speed(&new).median_us, Some(40_000));
    assert!(!pool.speed(&new).is_clearly_slower());
    assert_eq!(pool.speed(&EngineId::new("gone")).interval_us, None);
}

/// Guards against matching texts by speed where all engines are of one kind, so that texts stay at
/// an engine that other work disturbs.
#[test]
fn engines_of_one_kind_are_not_uneven() {
    let (pool_with_slower, _) = pool_with_slower_engine();
    assert!(pool_with_slower.are_uneven(), "one of four is slower");
    let pool = pool(9);
    assert!(!pool.are_uneven(), "no interval is known");
    let ids: Vec<EngineId> = pool.iter().map(|(id, _)| id.clone()).collect();
    for (index, id) in ids.iter().enumerate() {
        record(&pool, id, if index < 3 { 52 } else { 40 }, 100);
    }
    assert!(
        !pool.are_uneven(),
        "1.3 times the median is not clearly slower"
    );
    pool.get(&ids[0]).expect("known").event_interval.reset();
    record(&pool, &ids[0], 96, 100);
    assert!(!pool.are_uneven(), "one of nine is an engine in trouble");
}
