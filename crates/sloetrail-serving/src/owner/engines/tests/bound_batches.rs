use super::{MODELS, models, set_event_interval, target};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::owner::bound_demand::BoundDemand;
use crate::owner::engine::SendLimits;
use crate::owner::engines::EnginePool;
use crate::owner::event::PlannedOrder;
use crate::owner::weight_update_plan::plan;
use sloetrail_clock::BootInstant;
use sloetrail_types::{
    AllowedRegions, EngineId, RegionName, ServiceName, Topology, WeightVersion, ZoneName,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const PUBLISHED: WeightVersion = WeightVersion(4);
const MIN_VERSION: WeightVersion = WeightVersion(3);

fn topology() -> Topology {
    let zones = [("n1", "north"), ("n2", "north"), ("s1", "south")];
    let regions: BTreeMap<ZoneName, RegionName> = zones
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .into();
    Topology::new(ZoneName::from("s1"), regions)
}

/// A pool with an engine at version 1 in each of `zones`. Engines are named after their zone and
/// their position.
fn pool(zones: &[&str]) -> EnginePool {
    let template = super::directory(1, &[]);
    let template = template.back_ends.values().next().expect("one engine");
    let mut directory = Directory::default();
    for (index, zone) in zones.iter().enumerate() {
        let id = EngineId::new(format!("{zone}-{index}"));
        let back_end = BackEnd {
            id: id.clone(),
            zone: ZoneName::from(*zone),
            ..BackEnd::clone(template)
        };
        directory.back_ends.insert(id, Arc::new(back_end));
    }
    let mut pool = EnginePool::within_regions(topology(), AllowedRegions::everywhere());
    pool.apply_directory(&directory, &ServiceName::from("models"));
    pool.assign(&models());
    pool
}

fn demand(model: &str, region: &str) -> BoundDemand {
    BoundDemand {
        model: model.to_owned(),
        regions: AllowedRegions::only([RegionName::from(region)]),
        oldest_version: MIN_VERSION,
    }
}

/// Plans for batches of all models, and for batches of `model` that are bound to the north.
fn plan_with_bound_batch(pool: &EnginePool, model: &str) -> Vec<PlannedOrder> {
    let targets = MODELS.map(|model| target(model, PUBLISHED.0, MIN_VERSION.0));
    let demands = [demand(model, "north")];
    plan(pool, &targets, &demands, 1, BootInstant::now())
}

fn evacuate(pool: &mut EnginePool, zone: &str) {
    pool.set_send_limits(|back_end| SendLimits {
        evacuated: back_end.zone.as_str() == zone,
        ..SendLimits::default()
    });
}

fn make_slow(pool: &mut EnginePool, slow: &str) {
    let ids: Vec<EngineId> = pool.iter().map(|(id, _)| id.clone()).collect();
    for id in &ids {
        let interval_ms = if id.as_str() == slow { 130 } else { 33 };
        set_event_interval(pool, id, interval_ms);
    }
    assert!(pool.update_slow_engines());
    pool.assign(&models());
}

fn engines_of(orders: &[PlannedOrder]) -> Vec<&str> {
    orders.iter().map(|order| order.engine.as_str()).collect()
}

/// Guards against a bound batch that never runs because the one engine of its region that takes
/// work counts as slow, and therefore never gets the version that the batch requires.
#[test]
fn slow_engine_is_updated_if_it_is_the_only_one_of_a_region() {
    let mut pool = pool(&["n1", "n2", "s1", "s1", "s1"]);
    evacuate(&mut pool, "n1");
    make_slow(&mut pool, "n2-1");
    for model in MODELS {
        let orders = plan_with_bound_batch(&pool, model);
        assert_eq!(engines_of(&orders), ["n2-1"], "model {model}");
        assert_eq!(orders[0].model, model);
        assert_eq!(orders[0].version, PUBLISHED);
    }
}

/// Guards against a bound batch that never runs because all engines of its region are kept up to
/// date with other models.
#[test]
fn engine_of_another_model_is_updated_if_a_region_has_no_other() {
    let pool = pool(&["n1", "s1", "s1", "s1", "s1"]);
    for model in MODELS {
        let orders = plan_with_bound_batch(&pool, model);
        assert_eq!(engines_of(&orders), ["n1-0"], "model {model}");
    }
}

/// Guards against changing more engines than needed once the region has a usable one, or one that
/// is changing.
#[test]
fn usable_engine_of_the_region_needs_no_further_order() {
    let mut pool = pool(&["n1", "n2", "s1", "s1", "s1"]);
    let id = EngineId::new("n1-0");
    pool.get_mut(&id).expect("known").has_order_in_flight = true;
    let orders = plan(&pool, &[], &[demand("a", "north")], 5, BootInstant::now());
    assert!(orders.is_empty(), "an order is in flight");
    let engine = pool.get_mut(&id).expect("known");
    engine.has_order_in_flight = false;
    engine.record_version("a", MIN_VERSION, "test");
    let targets = [target("a", PUBLISHED.0, 1)];
    let mut served = plan(&pool, &targets, &[], 5, BootInstant::now());
    let demands = [demand("a", "north")];
    let mut with_demand = plan(&pool, &targets, &demands, 5, BootInstant::now());
    for orders in [&mut served, &mut with_demand] {
        orders.sort_by(|left, right| left.engine.cmp(&right.engine));
    }
    assert_eq!(engines_of(&served), engines_of(&with_demand));
}

/// Guards against orders beyond the limit, and against repeating an order that was just refused.
#[test]
fn bound_demand_respects_limits_on_orders() {
    let mut pool = pool(&["n1", "s1", "s1"]);
    let targets = [target("a", PUBLISHED.0, MIN_VERSION.0)];
    let demands = [demand("a", "north")];
    let now = BootInstant::now();
    assert!(plan(&pool, &targets, &demands, 0, now).is_empty());
    let engine = pool.get_mut(&EngineId::new("n1-0")).expect("known");
    engine.order_not_before = now + Duration::from_millis(150);
    let orders = plan(&pool, &targets, &demands, 5, now);
    assert!(!engines_of(&orders).contains(&"n1-0"));
}
