//! Weight changes while slots are scarce.

use super::{engines_of_model, pool, set_event_interval, share, target};
use crate::owner::engines::EnginePool;
use crate::owner::event::PlannedOrder;
use crate::owner::weight_update_plan::{
    ModelTarget, max_concurrent_changes, plan, scarce_newest_share,
};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, WeightVersion};

const ENGINES: usize = 48;
/// Changes that fit between two publications.
const ROUNDS: usize = 5;

/// A target whose batches accept versions up to `lag` behind `published`.
fn scarce_target(published: u64, lag: u64) -> ModelTarget {
    ModelTarget {
        newest_share: scarce_newest_share(lag),
        slots_are_scarce: true,
        ..target("a", published, published.saturating_sub(lag))
    }
}

fn pool_of_one_model() -> EnginePool {
    let mut pool = pool(ENGINES);
    pool.assign(&[share("a", 1, 1.0)]);
    pool
}

fn apply(pool: &mut EnginePool, orders: &[PlannedOrder]) {
    for order in orders {
        let engine = pool.get_mut(&order.engine).expect("known");
        engine.record_version("a", order.version, "test");
    }
}

/// Publishes a version and completes the changes that it causes. Returns the orders.
fn publish(pool: &mut EnginePool, target: &ModelTarget) -> Vec<PlannedOrder> {
    let concurrent = max_concurrent_changes(ENGINES, 2);
    let mut all = Vec::new();
    for _ in 0..ROUNDS {
        let targets = std::slice::from_ref(target);
        let orders = plan(pool, targets, &[], concurrent, BootInstant::now());
        apply(pool, &orders);
        all.extend(orders);
    }
    all
}

fn engines_from_version(pool: &EnginePool, version: u64) -> usize {
    let engines = pool.iter().map(|(_, engine)| engine.version("a"));
    engines.filter(|known| known.0 >= version).count()
}

/// Guards against bringing each version to every engine although it serves two steps, and against
/// all engines of a model changing when a version is published while its newest batch waits.
#[test]
fn half_of_the_engines_take_each_version_in_turn() {
    let mut pool = pool_of_one_model();
    publish(&mut pool, &scarce_target(2, 1));
    for version in 3..9 {
        let accepting = engines_from_version(&pool, version - 1);
        assert_eq!(accepting, ENGINES / 2, "before version {version}");
        let orders = publish(&mut pool, &scarce_target(version, 1));
        assert_eq!(orders.len(), ENGINES / 2, "for version {version}");
        assert_eq!(engines_from_version(&pool, version - 1), ENGINES);
    }
}

/// Guards against steps that only the newest version serves and that get half of the engines.
#[test]
fn version_that_serves_one_step_goes_to_all_engines() {
    let mut pool = pool_of_one_model();
    for version in 2..5 {
        let orders = publish(&mut pool, &scarce_target(version, 0));
        assert_eq!(orders.len(), ENGINES, "for version {version}");
    }
}

/// Guards against a newest batch without engines after a jump of versions: none accepts it at
/// first, and the limit on concurrent changes allows a fifth of the engines per change.
#[test]
fn batch_that_no_engine_accepts_gets_as_many_changes_as_allowed() {
    let pool = pool_of_one_model();
    let concurrent = max_concurrent_changes(ENGINES, 2);
    let now = BootInstant::now();
    let orders = plan(&pool, &[scarce_target(5, 1)], &[], concurrent, now);
    assert_eq!(orders.len(), concurrent);
}

/// Guards against stalling full engines although others with less work are due.
#[test]
fn engine_with_least_running_work_changes_first() {
    let mut pool = pool_of_one_model();
    let ids = engines_of_model(&pool, "a");
    for (index, id) in ids.iter().enumerate() {
        let engine = pool.get_mut(id).expect("known");
        engine.record_version("a", WeightVersion(2), "test");
        engine.running = 8 - usize::from(index == 7);
    }
    let full_but_older = pool.get_mut(&ids[3]).expect("known");
    full_but_older
        .versions
        .insert("a".to_owned(), WeightVersion(1));
    let orders = plan(&pool, &[scarce_target(4, 1)], &[], 1, BootInstant::now());
    assert_eq!(orders[0].engine, ids[7]);
}

/// Guards against updating nearly all usable engines because slow ones, which are not updated,
/// count towards the share that has to have the newest version.
#[test]
fn slow_engines_do_not_count_towards_the_shares() {
    let mut pool = pool_of_one_model();
    let ids: Vec<EngineId> = engines_of_model(&pool, "a");
    for (index, id) in ids.iter().enumerate() {
        set_event_interval(&pool, id, if index < 16 { 130 } else { 33 });
    }
    assert!(pool.update_slow_engines());
    let orders = publish(&mut pool, &scarce_target(2, 1));
    assert_eq!(orders.len(), (ENGINES - 16) / 2);
}

/// Guards against a newest batch that waits because engines of other models change first: half of
/// its model's engines accept it within the time of two changes.
#[test]
fn half_of_a_models_engines_accept_its_newest_batch_within_two_changes() {
    let mut pool = pool(ENGINES);
    let other = |model: &str| ModelTarget {
        model: model.to_owned(),
        ..scarce_target(2, 1)
    };
    let targets = [scarce_target(5, 1), other("b"), other("c")];
    let concurrent = max_concurrent_changes(ENGINES, 2);
    for _ in 0..2 {
        let orders = plan(&pool, &targets, &[], concurrent, BootInstant::now());
        for order in &orders {
            let engine = pool.get_mut(&order.engine).expect("known");
            engine.record_version(&order.model, order.version, "test");
        }
    }
    let assigned = engines_of_model(&pool, "a");
    let accepting = assigned
        .iter()
        .filter(|id| pool.get(id).expect("known").version("a").0 >= 4);
    assert!(accepting.count() >= assigned.len() / 2);
}
