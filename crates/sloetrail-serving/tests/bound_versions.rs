//! Weight versions for region-bound batches whose region has few engines.

mod support;

use serde_json::json;
use sloetrail_serving_testkit::client::batch;
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, eventually, usual_routes};
use std::sync::Arc;
use std::time::Duration;
use support::{accepted, assert_each_once, items, native_cluster, submit_items};

const FREE_KEY: &str = "key-of-free";
const BOUND_KEY: &str = "key-of-bound";
const NORTH_ZONE: &str = "zone-a";
const SOUTH_ZONE: &str = "zone-b";
const FAST_INTERVAL: Duration = Duration::from_millis(10);
/// Over twice the median, so that the engine counts as slow.
const SLOW_INTERVAL: Duration = Duration::from_millis(60);
/// Enough items for all slots of all engines, so that each engine's interval is measured.
const ITEMS_FOR_ALL: usize = 48;
const EVENTS: u64 = 12;

/// Starts a slow engine in the north, three fast ones in the south, and a node in each.
async fn cluster() -> Cluster {
    let mut cluster = native_cluster();
    let regions = [(NORTH_ZONE, "north"), (SOUTH_ZONE, "south")];
    cluster.regions = regions
        .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
        .into();
    cluster.tenants = Some(json!([
        {"name": "free", "api_keys": [FREE_KEY]},
        {"name": "bound", "api_keys": [BOUND_KEY], "allowed_regions": ["north"]},
    ]));
    cluster.configure(usual_routes());
    cluster.add_application(NORTH_ZONE).await;
    cluster.add_engine_in(NORTH_ZONE, SLOW_INTERVAL).await;
    for _ in 0..3 {
        cluster.add_engine_in(SOUTH_ZONE, FAST_INTERVAL).await;
    }
    for (zone, name) in [(SOUTH_ZONE, "node-1"), (NORTH_ZONE, "node-2")] {
        let node = cluster.add_node_in(zone, name).await;
        cluster.wait_ready(node).await;
    }
    cluster
}

/// Guards against a batch that waits for ever: the only engine of its region counted as slow among
/// all engines, and slow engines were not brought to new weight versions.
#[tokio::test(flavor = "multi_thread")]
async fn bound_batch_runs_on_the_slow_engine_of_its_region() {
    const ITEMS: usize = 6;
    let mut cluster = cluster().await;
    cluster.api_key = Some(FREE_KEY.to_owned());
    submit_items(&cluster, 0, "free", ITEMS_FOR_ALL, EVENTS).await;
    cluster.wait_results(0, "free", ITEMS_FOR_ALL).await;
    cluster.publish(2);
    cluster.api_key = Some(BOUND_KEY.to_owned());
    let needs_new_version = batch(&items(ITEMS, EVENTS), MODEL, 2);
    accepted(&cluster, 0, "bound", &needs_new_version).await;
    let mut engines = cluster.engines.iter();
    let north = engines.find(|engine| engine.zone == NORTH_ZONE && engine.service == "models");
    let north = Arc::clone(north.expect("an engine in the north"));
    let has_version = || async { (north.version(MODEL) == 2).then_some(()) };
    eventually("the slow engine has the new version", has_version).await;
    cluster.list(&north);
    let results = cluster.wait_results(0, "bound", ITEMS).await;
    assert_each_once(&results, ITEMS);
}
