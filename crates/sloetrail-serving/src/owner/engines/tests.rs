use super::EnginePool;
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::owner::assignment::ModelShare;
use crate::owner::engine::{Demand, Sparing};
use crate::owner::publications::Publications;
use crate::owner::rollout_plan::{ModelTarget, concurrent_changes, plan};
use sloetrail_balance::ColdBudget;
use sloetrail_types::{
    AllowedRegions, EngineId, RegionName, ServiceName, Topology, WeightVersion, ZoneName,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const MODELS: [&str; 3] = ["a", "b", "c"];

fn share(model: &str, published: u64, work: f64) -> ModelShare {
    ModelShare {
        model: model.to_owned(),
        published: WeightVersion(published),
        work,
    }
}

fn models() -> Vec<ModelShare> {
    MODELS.map(|model| share(model, 1, 1.0)).into()
}

fn directory(engines: usize, draining: &[usize]) -> Directory {
    let back_end = |number: usize| BackEnd {
        id: EngineId::new(format!("e{number}")),
        service: ServiceName::from("models"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneName::from("z"),
        slots: 8,
        draining: draining.contains(&number),
        cold_left: Duration::ZERO,
        versions: MODELS
            .iter()
            .map(|model| ((*model).to_owned(), WeightVersion(1)))
            .collect(),
    };
    let mut directory = Directory::default();
    for number in 0..engines {
        let back_end = back_end(number);
        directory
            .back_ends
            .insert(back_end.id.clone(), Arc::new(back_end));
    }
    directory
}

fn pool(engines: usize) -> EnginePool {
    let mut pool = EnginePool::default();
    pool.take_directory(&directory(engines, &[]), &ServiceName::from("models"));
    pool.assign(&models());
    pool
}

/// How many engines that are not slow each model has.
fn fast_engines(pool: &EnginePool) -> BTreeMap<&'static str, usize> {
    let count = |model: &str| {
        let assigned = pool.iter().filter(|(_, engine)| engine.is_assigned(model));
        assigned.filter(|(_, engine)| !engine.is_slow()).count()
    };
    MODELS.iter().map(|model| (*model, count(model))).collect()
}

fn set_pace(pool: &EnginePool, id: &EngineId, milliseconds: u64) {
    let pace = &pool.get(id).expect("known").pace;
    pace.reset();
    for _ in 0..12 {
        pace.note(Duration::from_millis(milliseconds));
    }
}

fn any_item<'a>() -> Demand<'a> {
    Demand {
        model: None,
        oldest_version: WeightVersion(0),
    }
}

#[test]
fn a_faster_engine_takes_an_item_though_another_is_emptier() {
    let mut pool = pool(2);
    let (fast, slow) = (EngineId::new("e0"), EngineId::new("e1"));
    set_pace(&pool, &fast, 40);
    set_pace(&pool, &slow, 52);
    pool.get_mut(&fast).expect("known").started();
    let now = Instant::now();
    assert_eq!(pool.pick(any_item(), now, true), Some(fast));
    assert_eq!(pool.pick(any_item(), now, false), Some(slow));
}

#[test]
fn of_engines_that_are_about_as_fast_the_emptiest_takes_an_item() {
    let mut pool = pool(2);
    let (fast, other) = (EngineId::new("e0"), EngineId::new("e1"));
    set_pace(&pool, &fast, 40);
    set_pace(&pool, &other, 41);
    pool.get_mut(&fast).expect("known").started();
    assert_eq!(pool.pick(any_item(), Instant::now(), true), Some(other));
}

#[test]
fn a_place_that_is_kept_for_a_moved_item_is_not_given_to_another() {
    let mut pool = pool(1);
    let id = EngineId::new("e0");
    set_pace(&pool, &id, 40);
    let now = Instant::now();
    for _ in 0..7 {
        pool.get_mut(&id).expect("known").started();
    }
    assert_eq!(pool.free_engines(any_item(), now).len(), 1);
    pool.get_mut(&id).expect("known").keep_place(now);
    assert_eq!(pool.pick(any_item(), now, true), None);
    assert!(pool.free_engines(any_item(), now).is_empty());
    pool.release_place(Some(&id));
    assert_eq!(pool.pick(any_item(), now, true), Some(id));
}

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

fn target(model: &str, published: u64, needed: u64) -> ModelTarget {
    ModelTarget {
        model: model.to_owned(),
        published: WeightVersion(published),
        needed: WeightVersion(needed),
        ready_share: 1.0,
        newest_share: 1.0,
    }
}

fn of_model(pool: &EnginePool, model: &str) -> Vec<EngineId> {
    let assigned = pool.iter().filter(|(_, engine)| engine.is_assigned(model));
    assigned.map(|(id, _)| id.clone()).collect()
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
fn engines_are_shared_out_evenly_and_few_are_moved() {
    let mut pool = pool(9);
    assert!(fast_engines(&pool).values().all(|count| *count == 3));
    let before = MODELS.map(|model| of_model(&pool, model));
    pool.take_directory(&directory(9, &[0]), &ServiceName::from("models"));
    pool.assign(&models());
    let after = MODELS.map(|model| of_model(&pool, model));
    let kept = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.iter().filter(|id| before.contains(id)).count());
    assert_eq!(
        kept.sum::<usize>(),
        8,
        "only the leaving engine is taken away"
    );
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
    let now = Instant::now() + Duration::from_secs(5);
    let targets = MODELS.map(|model| target(model, 2, 1));
    let orders = plan(&pool, &targets, 9, now);
    assert!(orders.iter().all(|order| !slow.contains(&order.engine)));
    let demand = Demand {
        model: Some("a"),
        oldest_version: WeightVersion(1),
    };
    let engine = pool.get_mut(&slow[0]).expect("known");
    engine.started();
    let picked = pool.pick(demand, now, true);
    assert!(picked.is_some_and(|id| !slow.contains(&id)));
}

#[test]
fn an_engine_that_is_too_old_or_changing_takes_nothing() {
    let pool = pool(3);
    let demand = |oldest: u64| Demand {
        model: Some("a"),
        oldest_version: WeightVersion(oldest),
    };
    assert!(pool.pick(demand(1), Instant::now(), true).is_some());
    assert_eq!(pool.pick(demand(2), Instant::now(), true), None);
}

#[test]
fn orders_are_planned_a_few_at_a_time() {
    let pool = pool(9);
    let now = Instant::now();
    let orders = plan(&pool, &[target("b", 4, 4)], 2, now);
    assert_eq!(orders.len(), 2);
    assert!(
        orders
            .iter()
            .all(|order| order.model == "b" && order.version == WeightVersion(4))
    );
    assert!(orders.iter().all(|order| {
        pool.get(&order.engine)
            .is_some_and(|engine| engine.is_assigned("b"))
    }));
}

#[test]
fn engines_that_no_batch_can_use_change_before_those_that_lag_behind() {
    let mut pool = pool(36);
    for id in of_model(&pool, "a") {
        let engine = pool.get_mut(&id).expect("known");
        engine.note_version("a", WeightVersion(3), "test");
    }
    let targets = [target("a", 4, 3), target("b", 4, 3), target("c", 4, 3)];
    let concurrent = concurrent_changes(36, 2);
    assert_eq!(concurrent, 8, "a fifth of the engines");
    let orders = plan(&pool, &targets, concurrent, Instant::now());
    let of = |model: &str| orders.iter().filter(|order| order.model == model).count();
    assert_eq!(
        (of("a"), of("b"), of("c")),
        (0, 4, 4),
        "the models without a usable engine share what may change"
    );
}

#[test]
fn half_of_the_engines_that_batches_can_use_stay_in_service() {
    let pool = pool(6);
    let orders = plan(&pool, &[target("a", 2, 1)], 6, Instant::now());
    assert_eq!(orders.len(), 1, "one of two");
    let orders = plan(&pool, &[target("a", 2, 2)], 6, Instant::now());
    assert_eq!(orders.len(), 2, "neither is of any use as it is");
}

#[test]
fn the_work_of_a_plan_does_not_grow_with_the_square_of_the_engines() {
    const ENGINES: usize = 3_000;
    const LIMIT: Duration = Duration::from_millis(500);
    let began = std::time::Instant::now();
    let pool = pool(ENGINES);
    let targets = MODELS.map(|model| target(model, 2, 1));
    let concurrent = concurrent_changes(ENGINES, 2);
    let orders = plan(&pool, &targets, concurrent, Instant::now());
    assert_eq!(orders.len(), ENGINES / 5);
    // Seconds before the engines of a model were counted once a plan.
    assert!(began.elapsed() < LIMIT, "{:?}", began.elapsed());
}

/// The letter's aim: new weights every four minutes, on all samplers within 8 s. 890
/// samplers in five services are 178 in each.
#[test]
fn a_version_that_comes_after_minutes_is_on_all_engines_of_a_large_service_in_8_s() {
    const ENGINES: usize = 178;
    const CHANGE: Duration = Duration::from_millis(920);
    const LOOK: Duration = Duration::from_millis(100);
    let published_at = Instant::now() + Duration::from_secs(240);
    let mut publications = Publications::default();
    publications.note("a", WeightVersion(1), Instant::now());
    publications.note("a", WeightVersion(2), published_at);
    let mut pool = pool(ENGINES);
    pool.assign(&[share("a", 2, 1.0)]);
    let mut changing: Vec<(Instant, EngineId)> = Vec::new();
    let mut now = published_at;
    let has_all = |pool: &EnginePool| {
        let mut engines = pool.iter();
        engines.all(|(_, engine)| engine.version("a") == WeightVersion(2))
    };
    while !has_all(&pool) {
        assert!(now < published_at + Duration::from_secs(8), "too late");
        let is_done = |(done_at, _): &(Instant, EngineId)| *done_at <= now;
        for (_, id) in changing.extract_if(.., |change| is_done(change)) {
            let engine = pool.get_mut(&id).expect("known");
            engine.note_version("a", WeightVersion(2), "test");
            engine.is_being_ordered = false;
        }
        // A quiet service: a tenth of its engines is enough for its batches.
        let needs_few = ModelTarget {
            ready_share: 0.1,
            newest_share: 0.5,
            ..target("a", 2, 1)
        };
        let to_all = target("a", 2, 1);
        let wanted = match publications.stays("a", now) {
            true => to_all,
            false => needs_few,
        };
        for order in plan(&pool, &[wanted], concurrent_changes(ENGINES, 2), now) {
            let engine = pool.get_mut(&order.engine).expect("known");
            engine.is_being_ordered = true;
            changing.push((now + CHANGE, order.engine));
        }
        now += LOOK;
    }
}

fn engines_of(pool: &EnginePool) -> [usize; 3] {
    MODELS.map(|model| of_model(pool, model).len())
}

#[test]
fn models_get_engines_by_the_work_of_their_batches() {
    let mut pool = pool(35);
    let shares = [share("a", 1, 1.0), share("b", 1, 2.0), share("c", 1, 2.0)];
    pool.assign(&shares);
    assert_eq!(engines_of(&pool), [7, 14, 14]);
    let before = MODELS.map(|model| of_model(&pool, model));
    let nearly = [share("a", 1, 1.02), share("b", 1, 1.99), share("c", 1, 2.0)];
    pool.assign(&nearly);
    let after = MODELS.map(|model| of_model(&pool, model));
    assert_eq!(before, after, "small differences move nothing");
}

#[test]
fn a_new_owner_leaves_each_engine_the_model_that_it_has_kept_up() {
    let mut first = pool(9);
    first.take_directory(&directory(9, &[0, 4]), &ServiceName::from("models"));
    first.assign(&models());
    let kept = MODELS.map(|model| of_model(&first, model));
    let mut second = EnginePool::default();
    second.take_directory(&directory(9, &[0, 4]), &ServiceName::from("models"));
    for (model, ids) in MODELS.iter().zip(&kept) {
        for id in ids {
            let engine = second.get_mut(id).expect("known");
            engine.note_version(model, WeightVersion(7), "test");
        }
    }
    second.assign(&MODELS.map(|model| share(model, 8, 1.0)));
    let after = MODELS.map(|model| of_model(&second, model));
    assert_eq!(kept, after);
}

#[test]
fn a_model_with_room_to_spare_brings_half_of_its_engines_to_each_version() {
    let mut pool = pool(24);
    for version in 2..6 {
        let spare = ModelTarget {
            newest_share: 0.5,
            ..target("a", version, version - 1)
        };
        let orders = plan(&pool, &[spare], 24, Instant::now());
        assert_eq!(orders.len(), 4, "half of eight, at version {version}");
        for order in orders {
            let engine = pool.get_mut(&order.engine).expect("known");
            engine.note_version("a", order.version, "test");
        }
    }
}

#[test]
fn engines_that_a_model_does_not_need_keep_the_version_that_they_have() {
    let pool = pool(300);
    let needs_few = ModelTarget {
        ready_share: 0.1,
        newest_share: 0.5,
        ..target("a", 4, 4)
    };
    let orders = plan(&pool, &[needs_few], 300, Instant::now());
    assert_eq!(orders.len(), 10, "a tenth of a hundred");
}

#[test]
fn lost_engines_are_replaced_by_those_that_were_not_needed() {
    let mut pool = pool(300);
    let ids = of_model(&pool, "a");
    for id in &ids[..10] {
        let engine = pool.get_mut(id).expect("known");
        engine.note_version("a", WeightVersion(4), "test");
    }
    for id in &ids[..3] {
        pool.get_mut(id).expect("known").lost();
    }
    let needs_few = ModelTarget {
        ready_share: 0.1,
        newest_share: 0.5,
        ..target("a", 4, 4)
    };
    let orders = plan(&pool, &[needs_few], 300, Instant::now());
    assert_eq!(orders.len(), 3);
}

#[test]
fn engines_that_are_not_needed_do_not_keep_the_others_from_newer_versions() {
    let mut pool = pool(300);
    let ids = of_model(&pool, "a");
    for id in &ids[..10] {
        let engine = pool.get_mut(id).expect("known");
        engine.note_version("a", WeightVersion(3), "test");
    }
    let needs_few = ModelTarget {
        ready_share: 0.1,
        newest_share: 0.5,
        ..target("a", 4, 3)
    };
    let orders = plan(&pool, &[needs_few], 300, Instant::now());
    assert_eq!(orders.len(), 5, "half of the ten that are ready");
    assert!(orders.iter().all(|order| ids[..10].contains(&order.engine)));
}

#[test]
fn of_engines_with_as_much_to_do_the_one_that_was_used_last_goes_first() {
    let mut pool = pool(9);
    let demand = Demand {
        model: Some("a"),
        oldest_version: WeightVersion(1),
    };
    let of_model = pool.iter().filter(|(_, engine)| engine.is_assigned("a"));
    let ids: Vec<EngineId> = of_model.map(|(id, _)| id.clone()).collect();
    let used_last = ids.last().expect("some").clone();
    pool.get_mut(&used_last).expect("known").finished();
    let pick = |pool: &EnginePool| pool.pick(demand, Instant::now(), true);
    assert_eq!(pick(&pool), Some(used_last.clone()));
    pool.get_mut(&used_last).expect("known").started();
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
    let mut bound = EnginePool::within(topology.clone(), north);
    bound.take_directory(&directory, &service);
    assert_eq!(bound.len(), 2);
    assert!(bound.get(&elsewhere).is_none());
    let mut unbound = EnginePool::within(topology, AllowedRegions::everywhere());
    unbound.take_directory(&directory, &service);
    assert_eq!(unbound.len(), 3);
}

/// What is allowed is 16 a second, 7 of them to a cold engine.
const BUDGET: ColdBudget = ColdBudget {
    bears: 7.9,
    most: 16.85,
    ways: 1,
};

fn spare(pool: &mut EnginePool, cold: &[&EngineId], until: Instant) {
    pool.set_sparing(|back_end| Sparing {
        evacuated: false,
        cold_until: cold.contains(&&back_end.id).then_some(until),
        budget: Some(BUDGET),
    });
}

/// Sends items to the only engine until it takes no more; how many it took.
fn send_all(pool: &mut EnginePool) -> usize {
    let mut sent = 0;
    while let Some(id) = pool.pick(any_item(), Instant::now(), true) {
        let engine = pool.get_mut(&id).expect("known");
        engine.started();
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
    let now = Instant::now();
    spare(&mut pool, &[&cold], now + Duration::from_secs(5));
    pool.get_mut(&warm).expect("known").started();
    assert_eq!(pool.pick(any_item(), now, true), Some(warm.clone()));
    let targets = pool.free_engines(any_item(), now);
    let targets: Vec<EngineId> = targets.into_iter().map(|engine| engine.id).collect();
    assert_eq!(targets, vec![warm.clone()]);
    assert_eq!(pool.fast_places(any_item(), now), 7);
    for _ in 0..7 {
        pool.get_mut(&warm).expect("known").started();
    }
    assert_eq!(pool.pick(any_item(), now, true), Some(cold));
}

#[test]
fn an_engine_that_vanishes_and_returns_gets_no_second_share() {
    let mut pool = pool(1);
    let until = Instant::now() + Duration::from_secs(5);
    let id = EngineId::new("e0");
    spare(&mut pool, &[&id], until);
    assert_eq!(send_all(&mut pool), 7);
    let service = ServiceName::from("models");
    pool.take_directory(&directory(0, &[]), &service);
    assert_eq!(send_all(&mut pool), 0, "it is not listed");
    pool.take_directory(&directory(1, &[]), &service);
    spare(&mut pool, &[&id], until);
    assert_eq!(send_all(&mut pool), 0, "it had its share");
}

#[test]
fn an_engine_that_was_taken_in_just_now_counts_as_cold_and_later_may_be_so_unnoticed() {
    let mut pool = pool(1);
    let until = Instant::now();
    spare(&mut pool, &[], until);
    assert_eq!(send_all(&mut pool), 7);
    std::thread::sleep(Duration::from_millis(1_250));
    assert_eq!(send_all(&mut pool), 9);
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
