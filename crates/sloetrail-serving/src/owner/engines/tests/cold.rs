//! Engines that are cold, or may be.

use super::{FASTEST, any_item, directory, pool, set_pace, unconnected};
use crate::owner::engine::SendLimits;
use crate::owner::engines::EnginePool;
use sloetrail_balance::ColdBudget;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, ServiceName};
use std::time::Duration;

/// What is allowed is 16 a second, 7 of them to a cold engine.
const BUDGET: ColdBudget = ColdBudget {
    bears: 7.9,
    most: 16.85,
    ways: 1,
};

fn spare(pool: &mut EnginePool, cold: &[&EngineId], until: BootInstant) {
    pool.set_send_limits(|back_end| SendLimits {
        evacuated: false,
        cold_until: cold.contains(&&back_end.id).then_some(until),
        budget: Some(BUDGET),
    });
}

/// Sends items to the only engine until it takes no more; how many it took.
fn send_all(pool: &mut EnginePool) -> usize {
    let mut sent = 0;
    while let Some(id) = pool.pick(any_item(), BootInstant::now(), FASTEST, unconnected) {
        let engine = pool.get_mut(&id).expect("known");
        engine.record_start();
        engine.running -= 1;
        sent += 1;
    }
    sent
}

#[test]
fn warm_engines_go_first_and_texts_are_not_moved_to_cold_ones() {
    let mut pool = pool(2);
    let (cold, warm) = (EngineId::new("e0"), EngineId::new("e1"));
    set_pace(&pool, &cold, 40);
    set_pace(&pool, &warm, 52);
    let now = BootInstant::now();
    spare(&mut pool, &[&cold], now + Duration::from_secs(5));
    pool.get_mut(&warm).expect("known").record_start();
    assert_eq!(
        pool.pick(any_item(), now, FASTEST, unconnected),
        Some(warm.clone())
    );
    let targets = pool.free_engines(any_item(), now);
    let targets: Vec<EngineId> = targets.into_iter().map(|engine| engine.id).collect();
    assert_eq!(targets, vec![warm.clone()]);
    assert_eq!(pool.free_fast_slots(any_item(), now), 7);
    for _ in 0..7 {
        pool.get_mut(&warm).expect("known").record_start();
    }
    assert_eq!(pool.pick(any_item(), now, FASTEST, unconnected), Some(cold));
}

#[test]
fn an_engine_that_vanishes_and_returns_gets_no_second_share() {
    let mut pool = pool(1);
    let until = BootInstant::now() + Duration::from_secs(5);
    let id = EngineId::new("e0");
    spare(&mut pool, &[&id], until);
    assert_eq!(send_all(&mut pool), 7);
    let service = ServiceName::from("models");
    pool.apply_directory(&directory(0, &[]), &service);
    assert_eq!(send_all(&mut pool), 0, "it is not listed");
    pool.apply_directory(&directory(1, &[]), &service);
    spare(&mut pool, &[&id], until);
    assert_eq!(send_all(&mut pool), 0, "it had its share");
}

#[test]
fn an_engine_that_was_taken_in_just_now_counts_as_cold_and_later_may_be_so_unnoticed() {
    let mut pool = pool(1);
    let until = BootInstant::now();
    spare(&mut pool, &[], until);
    assert_eq!(send_all(&mut pool), 7);
    std::thread::sleep(Duration::from_millis(1_250));
    assert_eq!(send_all(&mut pool), 9);
}
