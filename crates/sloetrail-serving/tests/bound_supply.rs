//! Engine counts with region-bound batches: their owners report the slot demand, and engines are
//! ordered in the allowed regions, also when owners or the table fail.

mod support;

use serde_json::json;
use sloetrail_serving_testkit::cluster::{Cluster, eventually, usual_routes};
use sloetrail_serving_testkit::supply::{SupplyRecord, SupplyRecorder};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{native_cluster, submit_items};

const FREE_KEY: &str = "key-of-free";
const BOUND_KEY: &str = "key-of-bound";
/// Two zones in the region that the work is bound to, and one in another region.
const NORTH_ZONE: &str = "zone-a";
const SECOND_NORTH_ZONE: &str = "zone-c";
const SOUTH_ZONE: &str = "zone-b";
const ENGINES_PER_ZONE: usize = 2;
/// Items that keep every slot of the engines busy, and items that use only a few.
const HEAVY_LOAD_ITEMS: usize = 40;
const LIGHT_LOAD_ITEMS: usize = 3;
const EVENTS: u64 = 60;
/// Covers the owner's report, the scaling decision and the minimum interval between orders.
const ORDER_TIMEOUT: Duration = Duration::from_secs(15);

struct Fixture {
    cluster: Cluster,
    recorder: Arc<SupplyRecorder>,
}

impl Fixture {
    /// Starts two engines in each of `engine_zones` and a node in each of `node_zones`.
    async fn start(engine_zones: &[&str], node_zones: &[&str]) -> Self {
        let recorder = SupplyRecorder::new();
        let mut cluster = native_cluster();
        cluster.engine_supply = Some(Arc::<SupplyRecorder>::clone(&recorder));
        cluster.scaling = Some(json!({"min": 1, "max": 8, "boot_s": 0.2}));
        let regions = [
            (NORTH_ZONE, "north"),
            (SECOND_NORTH_ZONE, "north"),
            (SOUTH_ZONE, "south"),
        ];
        let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        cluster.regions = regions.into();
        cluster.tenants = Some(json!([
            {"name": "free", "api_keys": [FREE_KEY]},
            {"name": "bound", "api_keys": [BOUND_KEY], "allowed_regions": ["north"]},
        ]));
        cluster.configure(usual_routes());
        cluster.add_application(NORTH_ZONE).await;
        for zone in engine_zones {
            for _ in 0..ENGINES_PER_ZONE {
                cluster.add_engine_in(zone, Duration::from_millis(5)).await;
            }
        }
        for (index, zone) in node_zones.iter().enumerate() {
            let name = format!("node-{}", index + 1);
            let node = cluster.add_node_in(zone, &name).await;
            cluster.wait_ready(node).await;
        }
        cluster.api_key = Some(BOUND_KEY.to_owned());
        Self { cluster, recorder }
    }

    async fn run_batch(&self, node: usize, count: usize) {
        let id = format!("b-{node}-{}", unique_id());
        submit_items(&self.cluster, node, &id, count, EVENTS).await;
        self.cluster.wait_results(node, &id, count).await;
        self.cluster.end(node, &id).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Runs batches one after the other until `is_done` holds for the orders since the call.
    async fn run_batches_until(
        &self,
        node: usize,
        count: usize,
        is_done: impl Fn(&[SupplyRecord]) -> bool,
    ) -> Vec<SupplyRecord> {
        let before = self.recorder.records().len();
        let started_at = Instant::now();
        loop {
            let records = self.recorder.records().split_off(before);
            if is_done(&records) || started_at.elapsed() > ORDER_TIMEOUT {
                return records;
            }
            self.run_batch(node, count).await;
        }
    }

    fn demand_keys(&self) -> Vec<String> {
        let rows = self.cluster.table.rows("sloetrail_leases");
        let keys = rows.into_iter().map(|row| row.address.key);
        keys.filter(|key| key.starts_with("demand/")).collect()
    }

    /// Returns the node that holds a lease, and the lease's epoch.
    async fn holder(&self, resource: &str) -> (usize, u64) {
        let found = || async {
            let rows = self.cluster.table.rows("sloetrail_leases");
            let key = format!("lease/{resource}");
            let row = rows.iter().find(|row| row.address.key == key)?;
            let record: serde_json::Value = serde_json::from_slice(&row.value).ok()?;
            let name = record["holder"].as_str()?.split('/').next()?.to_owned();
            let number: usize = name.strip_prefix("node-")?.parse().ok()?;
            Some((number - 1, record["epoch"].as_u64()?))
        };
        eventually("a node holds the lease", found).await
    }
}

fn unique_id() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("after 1970").as_nanos()
}

fn zone_grows(records: &[SupplyRecord], zone: &str) -> bool {
    let mut orders = records.iter().map(|record| &record.order);
    orders.any(|order| order.zone.as_str() == zone && order.engines > ENGINES_PER_ZONE)
}

#[tokio::test(flavor = "multi_thread")]
async fn bound_work_orders_engines_only_in_its_regions() {
    let fixture = Fixture::start(&[NORTH_ZONE, SOUTH_ZONE], &[NORTH_ZONE, SOUTH_ZONE]).await;
    let grows_in_north = |records: &[SupplyRecord]| zone_grows(records, NORTH_ZONE);
    let records = fixture
        .run_batches_until(0, HEAVY_LOAD_ITEMS, grows_in_north)
        .await;
    assert!(zone_grows(&records, NORTH_ZONE), "{records:?}");
    assert!(!zone_grows(&records, SOUTH_ZONE), "{records:?}");
    let within = records.iter().all(|record| record.order.engines <= 8);
    assert!(within, "{records:?}");
    assert_eq!(fixture.demand_keys(), ["demand/models@north"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_successor_of_an_owner_reports_bound_demand() {
    let zones = [NORTH_ZONE, NORTH_ZONE, NORTH_ZONE];
    let mut fixture = Fixture::start(&[NORTH_ZONE, SOUTH_ZONE], &zones).await;
    let grows_in_north = |records: &[SupplyRecord]| zone_grows(records, NORTH_ZONE);
    fixture
        .run_batches_until(0, HEAVY_LOAD_ITEMS, grows_in_north)
        .await;
    let (owner, epoch) = fixture.holder("models@north").await;
    fixture.cluster.nodes[owner].kill();
    let other = (owner + 1) % zones.len();
    fixture.run_batch(other, HEAVY_LOAD_ITEMS).await;
    let (_, next) = fixture.holder("models@north").await;
    assert!(next > epoch, "{next} after {epoch}");
    let records = fixture
        .run_batches_until(other, HEAVY_LOAD_ITEMS, grows_in_north)
        .await;
    assert!(zone_grows(&records, NORTH_ZONE), "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bound_work_orders_no_engines_in_an_evacuated_zone() {
    let engine_zones = [NORTH_ZONE, SECOND_NORTH_ZONE, SOUTH_ZONE];
    let fixture = Fixture::start(&engine_zones, &[NORTH_ZONE, SOUTH_ZONE]).await;
    fixture.cluster.evacuate(SECOND_NORTH_ZONE);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let grows_in_north = |records: &[SupplyRecord]| zone_grows(records, NORTH_ZONE);
    let records = fixture
        .run_batches_until(0, HEAVY_LOAD_ITEMS, grows_in_north)
        .await;
    assert!(zone_grows(&records, NORTH_ZONE), "{records:?}");
    let mut zones = records.iter().map(|record| record.order.zone.as_str());
    assert!(zones.all(|zone| zone != SECOND_NORTH_ZONE), "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn work_of_an_unconfigured_set_still_counts() {
    /// Runs take longer than a report, a scaling decision and an order.
    const LONG_RUN_EVENTS: u64 = 1_500;
    let mut fixture = Fixture::start(&[NORTH_ZONE, SOUTH_ZONE], &[NORTH_ZONE, SOUTH_ZONE]).await;
    submit_items(
        &fixture.cluster,
        0,
        "long",
        HEAVY_LOAD_ITEMS,
        LONG_RUN_EVENTS,
    )
    .await;
    fixture.cluster.tenants = Some(json!([
        {"name": "free", "api_keys": [FREE_KEY]},
        {"name": "bound", "api_keys": [BOUND_KEY]},
    ]));
    fixture.cluster.configure(usual_routes());
    let ordered = || async { zone_grows(&fixture.recorder.records(), NORTH_ZONE).then_some(()) };
    eventually("engines are ordered in the north zone", ordered).await;
    let records = fixture.recorder.records();
    assert!(!zone_grows(&records, SOUTH_ZONE), "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_engine_is_released_during_a_table_outage() {
    const OUTAGE: Duration = Duration::from_secs(4);
    let fixture = Fixture::start(&[NORTH_ZONE, SOUTH_ZONE], &[NORTH_ZONE, SOUTH_ZONE]).await;
    let grows_in_north = |records: &[SupplyRecord]| zone_grows(records, NORTH_ZONE);
    fixture
        .run_batches_until(0, HEAVY_LOAD_ITEMS, grows_in_north)
        .await;
    fixture.cluster.table.set_down(true);
    tokio::time::sleep(OUTAGE).await;
    fixture.cluster.table.set_down(false);
    let records = fixture
        .run_batches_until(0, HEAVY_LOAD_ITEMS, grows_in_north)
        .await;
    assert!(zone_grows(&records, NORTH_ZONE), "{records:?}");
    let records = fixture.recorder.records();
    let is_fewer = |record: &SupplyRecord| record.order.engines < ENGINES_PER_ZONE;
    assert!(!records.iter().any(is_fewer), "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_without_bound_batches_writes_no_demand() {
    let mut fixture = Fixture::start(&[NORTH_ZONE, SOUTH_ZONE], &[NORTH_ZONE, SOUTH_ZONE]).await;
    fixture.holder("models@north").await;
    fixture.cluster.api_key = Some(FREE_KEY.to_owned());
    for _ in 0..4 {
        fixture.run_batch(0, HEAVY_LOAD_ITEMS).await;
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    assert!(fixture.demand_keys().is_empty());
    fixture.cluster.api_key = Some(BOUND_KEY.to_owned());
    fixture.run_batch(0, LIGHT_LOAD_ITEMS).await;
    let reported = || async { (!fixture.demand_keys().is_empty()).then_some(()) };
    eventually("the owner reports demand once there is work", reported).await;
}
