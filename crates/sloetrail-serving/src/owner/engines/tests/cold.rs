use super::{FASTEST, directory, no_requirement, not_connected, pool, set_event_interval};
use crate::owner::engine::SendLimits;
use crate::owner::engines::EnginePool;
use sloetrail_balance::ColdBudget;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, ServiceName};
use std::time::Duration;

/// Allows 16 sends per second in all and 7 to a cold engine.
const BUDGET: ColdBudget = ColdBudget {
    sustained_per_second: 7.9,
    max_per_second: 16.85,
    senders: 1,
};

fn set_cold(pool: &mut EnginePool, cold: &[&EngineId], until: BootInstant) {
    pool.set_send_limits(|back_end| SendLimits {
        evacuated: false,
        cold_until: cold.contains(&&back_end.id).then_some(until),
        budget: Some(BUDGET),
    });
}

/// Sends items to the only engine until it takes no more. Returns how many it took.
fn send_all(pool: &mut EnginePool) -> usize {
    let mut sent = 0;
    while let Some(id) = pool.pick(no_requirement(), BootInstant::now(), FASTEST, not_connected) {
        let engine = pool.get_mut(&id).expect("known");
        engine.record_start();
        engine.running -= 1;
        sent += 1;
    }
    sent
}

#[test]
fn cold_engines_are_picked_last_and_never_for_moves() {
    let mut pool = pool(2);
    let (cold, warm) = (EngineId::new("e0"), EngineId::new("e1"));
    set_event_interval(&pool, &cold, 40);
    set_event_interval(&pool, &warm, 52);
    let now = BootInstant::now();
    set_cold(&mut pool, &[&cold], now + Duration::from_secs(5));
    pool.get_mut(&warm).expect("known").record_start();
    assert_eq!(
        pool.pick(no_requirement(), now, FASTEST, not_connected),
        Some(warm.clone())
    );
    let targets = pool.free_engines(no_requirement(), now);
    let targets: Vec<EngineId> = targets.into_iter().map(|engine| engine.id).collect();
    assert_eq!(targets, vec![warm.clone()]);
    assert_eq!(pool.free_fast_slots(no_requirement(), now), 7);
    for _ in 0..7 {
        pool.get_mut(&warm).expect("known").record_start();
    }
    assert_eq!(
        pool.pick(no_requirement(), now, FASTEST, not_connected),
        Some(cold)
    );
}

#[test]
fn relisted_engine_gets_no_second_send_budget() {
    let mut pool = pool(1);
    let until = BootInstant::now() + Duration::from_secs(5);
    let id = EngineId::new("e0");
    set_cold(&mut pool, &[&id], until);
    assert_eq!(send_all(&mut pool), 7);
    let service = ServiceName::from("models");
    pool.apply_directory(&directory(0, &[]), &service);
    assert_eq!(send_all(&mut pool), 0, "the engine is not listed");
    pool.apply_directory(&directory(1, &[]), &service);
    set_cold(&mut pool, &[&id], until);
    assert_eq!(send_all(&mut pool), 0, "its budget is used up");
}

#[test]
fn new_engine_is_cold_then_unnoticed_bound_applies() {
    let mut pool = pool(1);
    let until = BootInstant::now();
    set_cold(&mut pool, &[], until);
    assert_eq!(send_all(&mut pool), 7);
    std::thread::sleep(Duration::from_millis(1_250));
    assert_eq!(send_all(&mut pool), 9);
}
