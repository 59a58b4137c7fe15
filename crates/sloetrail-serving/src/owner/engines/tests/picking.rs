use super::{FASTEST, directory, no_requirement, not_connected, pool, set_event_interval};
use crate::back_end::BackEnd;
use crate::owner::engine::ModelRequirement;
use crate::owner::engines::{EnginePool, EnginePreference};
use sloetrail_clock::BootInstant;
use sloetrail_types::{
    AllowedRegions, EngineId, RegionName, ServiceName, Topology, WeightVersion, ZoneName,
};
use std::sync::Arc;

#[test]
fn fastest_preference_picks_faster_engine_over_idle_one() {
    let mut pool = pool(2);
    let (fast, slow) = (EngineId::new("e0"), EngineId::new("e1"));
    set_event_interval(&pool, &fast, 40);
    set_event_interval(&pool, &slow, 52);
    pool.get_mut(&fast).expect("known").record_start();
    let now = BootInstant::now();
    assert_eq!(
        pool.pick(no_requirement(), now, FASTEST, not_connected),
        Some(fast)
    );
    assert_eq!(
        pool.pick(
            no_requirement(),
            now,
            EnginePreference::LeastLoaded,
            not_connected
        ),
        Some(slow)
    );
}

#[test]
fn similar_event_intervals_pick_least_loaded_engine() {
    let mut pool = pool(2);
    let (fast, other) = (EngineId::new("e0"), EngineId::new("e1"));
    set_event_interval(&pool, &fast, 40);
    set_event_interval(&pool, &other, 41);
    pool.get_mut(&fast).expect("known").record_start();
    assert_eq!(
        pool.pick(no_requirement(), BootInstant::now(), FASTEST, not_connected),
        Some(other)
    );
}

/// Guards against opening a connection, which costs an engine several decode steps, for an item
/// that does not determine when its batch ends.
#[test]
fn connected_preference_picks_engine_with_idle_connection() {
    let mut pool = pool(3);
    let ids = ["e0", "e1", "e2"].map(EngineId::new);
    for (id, interval_ms) in ids.iter().zip([40, 60, 50]) {
        set_event_interval(&pool, id, interval_ms);
    }
    let connected = ids[1].clone();
    let engine = pool.get_mut(&connected).expect("known");
    engine.record_start();
    engine.record_completion();
    let is_connected = |back_end: &BackEnd| back_end.id == connected;
    let pick = |preference| {
        let now = BootInstant::now();
        pool.pick(no_requirement(), now, preference, is_connected)
    };
    let preferences = [EnginePreference::Connected, FASTEST];
    assert_eq!(
        preferences.map(pick),
        [Some(ids[1].clone()), Some(ids[0].clone())]
    );
}

/// An owner asks for a larger directory subset when its engines have too few slots.
#[test]
fn slots_of_unusable_engines_are_not_counted() {
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
fn reserved_slot_is_not_given_to_another_item() {
    let mut pool = pool(1);
    let id = EngineId::new("e0");
    set_event_interval(&pool, &id, 40);
    let now = BootInstant::now();
    for _ in 0..7 {
        pool.get_mut(&id).expect("known").record_start();
    }
    assert_eq!(pool.free_engines(no_requirement(), now).len(), 1);
    pool.get_mut(&id).expect("known").reserve_slot(now);
    assert_eq!(
        pool.pick(no_requirement(), now, FASTEST, not_connected),
        None
    );
    assert!(pool.free_engines(no_requirement(), now).is_empty());
    pool.release_slot(Some(&id));
    assert_eq!(
        pool.pick(no_requirement(), now, FASTEST, not_connected),
        Some(id)
    );
}

#[test]
fn engine_with_too_old_version_takes_no_item() {
    let pool = pool(3);
    let requirement = |oldest: u64| ModelRequirement {
        model: Some("a"),
        oldest_version: WeightVersion(oldest),
    };
    assert!(
        pool.pick(requirement(1), BootInstant::now(), FASTEST, not_connected)
            .is_some()
    );
    assert_eq!(
        pool.pick(requirement(2), BootInstant::now(), FASTEST, not_connected),
        None
    );
}

#[test]
fn equally_loaded_engines_pick_last_used_one() {
    let mut pool = pool(9);
    let requirement = ModelRequirement {
        model: Some("a"),
        oldest_version: WeightVersion(1),
    };
    let of_model = pool.iter().filter(|(_, engine)| engine.is_assigned("a"));
    let ids: Vec<EngineId> = of_model.map(|(id, _)| id.clone()).collect();
    let used_last = ids.last().expect("some").clone();
    pool.get_mut(&used_last).expect("known").record_completion();
    let pick =
        |pool: &EnginePool| pool.pick(requirement, BootInstant::now(), FASTEST, not_connected);
    assert_eq!(pick(&pool), Some(used_last.clone()));
    pool.get_mut(&used_last).expect("known").record_start();
    let other = pick(&pool).expect("an idle engine");
    assert_ne!(other, used_last, "the least loaded engine goes first");
}

#[test]
fn engines_outside_allowed_regions_are_excluded() {
    let mut directory = directory(3, &[]);
    let regions = [("z", "north"), ("y", "south")];
    let regions = regions.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    let elsewhere = directory.back_ends.values_mut().next().expect("one");
    Arc::make_mut(elsewhere).zone = ZoneName::from("y");
    let elsewhere = elsewhere.id.clone();
    let topology = Topology::new(ZoneName::from("z"), regions.into());
    let north = AllowedRegions::only([RegionName::from("north")]);
    let service = ServiceName::from("models");
    let mut restricted = EnginePool::within_regions(topology.clone(), north);
    restricted.apply_directory(&directory, &service);
    assert_eq!(restricted.len(), 2);
    assert!(restricted.get(&elsewhere).is_none());
    let mut unrestricted = EnginePool::within_regions(topology, AllowedRegions::everywhere());
    unrestricted.apply_directory(&directory, &service);
    assert_eq!(unrestricted.len(), 3);
}
