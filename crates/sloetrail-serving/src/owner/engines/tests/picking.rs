//! Which engine takes an item.

use super::{FASTEST, any_item, directory, pool, set_pace, unconnected};
use crate::back_end::BackEnd;
use crate::owner::engine::ModelRequirement;
use crate::owner::engines::{EnginePool, EnginePreference};
use sloetrail_clock::BootInstant;
use sloetrail_types::{
    AllowedRegions, EngineId, RegionName, ServiceName, Topology, WeightVersion, ZoneName,
};
use std::sync::Arc;

#[test]
fn a_faster_engine_takes_an_item_though_another_is_emptier() {
    let mut pool = pool(2);
    let (fast, slow) = (EngineId::new("e0"), EngineId::new("e1"));
    set_pace(&pool, &fast, 40);
    set_pace(&pool, &slow, 52);
    pool.get_mut(&fast).expect("known").record_start();
    let now = BootInstant::now();
    assert_eq!(pool.pick(any_item(), now, FASTEST, unconnected), Some(fast));
    assert_eq!(
        pool.pick(any_item(), now, EnginePreference::LeastLoaded, unconnected),
        Some(slow)
    );
}

#[test]
fn of_engines_that_are_about_as_fast_the_emptiest_takes_an_item() {
    let mut pool = pool(2);
    let (fast, other) = (EngineId::new("e0"), EngineId::new("e1"));
    set_pace(&pool, &fast, 40);
    set_pace(&pool, &other, 41);
    pool.get_mut(&fast).expect("known").record_start();
    assert_eq!(
        pool.pick(any_item(), BootInstant::now(), FASTEST, unconnected),
        Some(other)
    );
}

/// A short item is done before the longest of its batch wherever it runs. A new connection
/// costs the engine as much as some steps of a text.
#[test]
fn an_item_that_need_not_be_fast_goes_where_a_connection_rests() {
    let mut pool = pool(3);
    let ids = ["e0", "e1", "e2"].map(EngineId::new);
    for (id, pace) in ids.iter().zip([40, 60, 50]) {
        set_pace(&pool, id, pace);
    }
    let connected = ids[1].clone();
    let engine = pool.get_mut(&connected).expect("known");
    engine.record_start();
    engine.record_completion();
    let is_connected = |back_end: &BackEnd| back_end.id == connected;
    let pick = |preference| {
        let now = BootInstant::now();
        pool.pick(any_item(), now, preference, is_connected)
    };
    let wanted = [EnginePreference::Connected, FASTEST];
    assert_eq!(
        wanted.map(pick),
        [Some(ids[1].clone()), Some(ids[0].clone())]
    );
}

/// An owner that holds a part of the engines wants more once these have too few places.
#[test]
fn places_at_engines_that_take_no_work_are_no_places() {
    let mut pool = pool(4);
    let now = BootInstant::now();
    assert!(pool.has_slots(32, now) && !pool.has_slots(33, now));
    pool.get_mut(&EngineId::new("e2"))
        .expect("known")
        .record_loss();
    pool.apply_directory(&directory(4, &[0]), &ServiceName::from("models"));
    assert!(pool.has_slots(16, now) && !pool.has_slots(17, now));
}

#[test]
fn a_place_that_is_kept_for_a_moved_item_is_not_given_to_another() {
    let mut pool = pool(1);
    let id = EngineId::new("e0");
    set_pace(&pool, &id, 40);
    let now = BootInstant::now();
    for _ in 0..7 {
        pool.get_mut(&id).expect("known").record_start();
    }
    assert_eq!(pool.free_engines(any_item(), now).len(), 1);
    pool.get_mut(&id).expect("known").reserve_slot(now);
    assert_eq!(pool.pick(any_item(), now, FASTEST, unconnected), None);
    assert!(pool.free_engines(any_item(), now).is_empty());
    pool.release_slot(Some(&id));
    assert_eq!(pool.pick(any_item(), now, FASTEST, unconnected), Some(id));
}

#[test]
fn an_engine_that_is_too_old_or_changing_takes_nothing() {
    let pool = pool(3);
    let demand = |oldest: u64| ModelRequirement {
        model: Some("a"),
        oldest_version: WeightVersion(oldest),
    };
    assert!(
        pool.pick(demand(1), BootInstant::now(), FASTEST, unconnected)
            .is_some()
    );
    assert_eq!(
        pool.pick(demand(2), BootInstant::now(), FASTEST, unconnected),
        None
    );
}

#[test]
fn of_engines_with_as_much_to_do_the_one_that_was_used_last_goes_first() {
    let mut pool = pool(9);
    let demand = ModelRequirement {
        model: Some("a"),
        oldest_version: WeightVersion(1),
    };
    let of_model = pool.iter().filter(|(_, engine)| engine.is_assigned("a"));
    let ids: Vec<EngineId> = of_model.map(|(id, _)| id.clone()).collect();
    let used_last = ids.last().expect("some").clone();
    pool.get_mut(&used_last).expect("known").record_completion();
    let pick = |pool: &EnginePool| pool.pick(demand, BootInstant::now(), FASTEST, unconnected);
    assert_eq!(pick(&pool), Some(used_last.clone()));
    pool.get_mut(&used_last).expect("known").record_start();
    let other = pick(&pool).expect("an engine with nothing to do");
    assert_ne!(other, used_last, "work is spread all the same");
}

#[test]
fn engines_outside_the_allowed_regions_are_not_there_for_the_owner() {
    let mut directory = directory(3, &[]);
    let regions = [("z", "north"), ("y", "south")];
    let regions = regions.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    let elsewhere = directory.back_ends.values_mut().next().expect("one");
    Arc::make_mut(elsewhere).zone = ZoneName::from("y");
    let elsewhere = elsewhere.id.clone();
    let topology = Topology::new(ZoneName::from("z"), regions.into());
    let north = AllowedRegions::only([RegionName::from("north")]);
    let service = ServiceName::from("models");
    let mut bound = EnginePool::within_regions(topology.clone(), north);
    bound.apply_directory(&directory, &service);
    assert_eq!(bound.len(), 2);
    assert!(bound.get(&elsewhere).is_none());
    let mut unbound = EnginePool::within_regions(topology, AllowedRegions::everywhere());
    unbound.apply_directory(&directory, &service);
    assert_eq!(unbound.len(), 3);
}
