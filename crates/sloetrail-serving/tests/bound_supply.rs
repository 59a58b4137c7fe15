//! The number of engines where batches are bound to regions: their owners tell what they take,
//! and engines are ordered where these batches may run, also while owners and the table fail.

mod support;

use serde_json::json;
use sloetrail_serving_testkit::cluster::{Cluster, eventually, usual_routes};
use sloetrail_serving_testkit::supply::{SupplyBook, SupplyRecord};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{native_cluster, submit_items};

const FREE_KEY: &str = "key-of-free";
const BOUND_KEY: &str = "key-of-bound";
/// Zones of the region that the work is bound to, and one of another.
const NORTH_ZONE: &str = "zone-a";
const NORTH_ZONE_TWO: &str = "zone-c";
const SOUTH_ZONE: &str = "zone-b";
const ENGINES_A_ZONE: usize = 2;
/// Items that keep every place of the engines busy, and a little work.
const MUCH: usize = 40;
const LITTLE: usize = 3;
const EVENTS: u64 = 60;
/// The owner's report, the decision and the least time between two of them, with room.
const ORDERED_WITHIN: Duration = Duration::from_secs(15);

struct Setting {
    cluster: Cluster,
    book: Arc<SupplyBook>,
}

impl Setting {
    /// Two engines in each of these zones, and a node in each of those.
    async fn start(engine_zones: &[&str], node_zones: &[&str]) -> Self {
        let book = SupplyBook::new();
        let mut cluster = native_cluster();
        cluster.engine_supply = Some(Arc::<SupplyBook>::clone(&book));
        cluster.scaling = Some(json!({"min": 1, "max": 8, "boot_s": 0.2}));
        let regions = [
            (NORTH_ZONE, "north"),
            (NORTH_ZONE_TWO, "north"),
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
            for _ in 0..ENGINES_A_ZONE {
                cluster.add_engine_in(zone, Duration::from_millis(5)).await;
            }
        }
        for (index, zone) in node_zones.iter().enumerate() {
            let name = format!("node-{}", index + 1);
            let node = cluster.add_node_in(zone, &name).await;
            cluster.wait_ready(node).await;
        }
        cluster.api_key = Some(BOUND_KEY.to_owned());
        Self { cluster, book }
    }

    /// Runs one batch to its end.
    async fn run_batch(&self, node: usize, count: usize) {
        let id = format!("b-{node}-{}", rand_id());
        submit_items(&self.cluster, node, &id, count, EVENTS).await;
        self.cluster.wait_results(node, &id, count).await;
        self.cluster.end(node, &id).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Runs batches one after the other until this is true of the orders since the call.
    async fn work_until(
        &self,
        node: usize,
        count: usize,
        is_enough: impl Fn(&[SupplyRecord]) -> bool,
    ) -> Vec<SupplyRecord> {
        let before = self.book.records().len();
        let began = Instant::now();
        loop {
            let records = self.book.records().split_off(before);
            if is_enough(&records) || began.elapsed() > ORDERED_WITHIN {
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

    /// The node that holds a lease, and its epoch.
    async fn holder(&self, subject: &str) -> (usize, u64) {
        let found = || async {
            let rows = self.cluster.table.rows("sloetrail_leases");
            let key = format!("lease/{subject}");
            let row = rows.iter().find(|row| row.address.key == key)?;
            let record: serde_json::Value = serde_json::from_slice(&row.value).ok()?;
            let name = record["holder"].as_str()?.split('/').next()?.to_owned();
            let number: usize = name.strip_prefix("node-")?.parse().ok()?;
            Some((number - 1, record["epoch"].as_u64()?))
        };
        eventually("somebody holds the lease", found).await
    }
}

fn rand_id() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("after 1970").as_nanos()
}

fn zone_grows(records: &[SupplyRecord], zone: &str) -> bool {
    let mut orders = records.iter().map(|record| &record.order);
    orders.any(|order| order.zone.as_str() == zone && order.engines > ENGINES_A_ZONE)
}

#[tokio::test(flavor = "multi_thread")]
async fn bound_work_alone_orders_engines_in_the_zones_of_its_regions_only() {
    let setting = Setting::start(&[NORTH_ZONE, SOUTH_ZONE], &[NORTH_ZONE, SOUTH_ZONE]).await;
    let in_north = |records: &[SupplyRecord]| zone_grows(records, NORTH_ZONE);
    let records = setting.work_until(0, MUCH, in_north).await;
    assert!(zone_grows(&records, NORTH_ZONE), "{records:?}");
    assert!(!zone_grows(&records, SOUTH_ZONE), "{records:?}");
    let within = records.iter().all(|record| record.order.engines <= 8);
    assert!(within, "{records:?}");
    assert_eq!(setting.demand_keys(), ["demand/models@north"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_successor_of_an_owner_of_bound_batches_tells_what_they_take() {
    let zones = [NORTH_ZONE, NORTH_ZONE, NORTH_ZONE];
    let mut setting = Setting::start(&[NORTH_ZONE, SOUTH_ZONE], &zones).await;
    let in_north = |records: &[SupplyRecord]| zone_grows(records, NORTH_ZONE);
    setting.work_until(0, MUCH, in_north).await;
    let (owner, epoch) = setting.holder("models@north").await;
    setting.cluster.nodes[owner].kill();
    let other = (owner + 1) % zones.len();
    setting.run_batch(other, MUCH).await;
    let (_, next) = setting.holder("models@north").await;
    assert!(next > epoch, "{next} after {epoch}");
    let records = setting.work_until(other, MUCH, in_north).await;
    assert!(zone_grows(&records, NORTH_ZONE), "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_for_bound_work_are_not_ordered_in_an_evacuated_zone() {
    let engine_zones = [NORTH_ZONE, NORTH_ZONE_TWO, SOUTH_ZONE];
    let setting = Setting::start(&engine_zones, &[NORTH_ZONE, SOUTH_ZONE]).await;
    setting.cluster.evacuate(NORTH_ZONE_TWO);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let in_north = |records: &[SupplyRecord]| zone_grows(records, NORTH_ZONE);
    let records = setting.work_until(0, MUCH, in_north).await;
    assert!(zone_grows(&records, NORTH_ZONE), "{records:?}");
    let mut zones = records.iter().map(|record| record.order.zone.as_str());
    assert!(zones.all(|zone| zone != NORTH_ZONE_TWO), "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_work_of_a_set_that_no_configuration_names_any_more_counts() {
    /// They take longer than a report, a decision and an order.
    const LONG: u64 = 1_500;
    let mut setting = Setting::start(&[NORTH_ZONE, SOUTH_ZONE], &[NORTH_ZONE, SOUTH_ZONE]).await;
    submit_items(&setting.cluster, 0, "long", MUCH, LONG).await;
    setting.cluster.tenants = Some(json!([
        {"name": "free", "api_keys": [FREE_KEY]},
        {"name": "bound", "api_keys": [BOUND_KEY]},
    ]));
    setting.cluster.configure(usual_routes());
    let ordered = || async { zone_grows(&setting.book.records(), NORTH_ZONE).then_some(()) };
    eventually("engines are ordered for it", ordered).await;
    let records = setting.book.records();
    assert!(!zone_grows(&records, SOUTH_ZONE), "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_table_is_away_no_engine_of_bound_work_is_given_back() {
    const AWAY: Duration = Duration::from_secs(4);
    let setting = Setting::start(&[NORTH_ZONE, SOUTH_ZONE], &[NORTH_ZONE, SOUTH_ZONE]).await;
    let in_north = |records: &[SupplyRecord]| zone_grows(records, NORTH_ZONE);
    setting.work_until(0, MUCH, in_north).await;
    setting.cluster.table.set_down(true);
    tokio::time::sleep(AWAY).await;
    setting.cluster.table.set_down(false);
    let records = setting.work_until(0, MUCH, in_north).await;
    assert!(zone_grows(&records, NORTH_ZONE), "{records:?}");
    let records = setting.book.records();
    let is_fewer = |record: &SupplyRecord| record.order.engines < ENGINES_A_ZONE;
    assert!(!records.iter().any(is_fewer), "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_without_bound_batches_writes_no_demand() {
    let mut setting = Setting::start(&[NORTH_ZONE, SOUTH_ZONE], &[NORTH_ZONE, SOUTH_ZONE]).await;
    setting.holder("models@north").await;
    setting.cluster.api_key = Some(FREE_KEY.to_owned());
    for _ in 0..4 {
        setting.run_batch(0, MUCH).await;
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    assert!(setting.demand_keys().is_empty());
    setting.cluster.api_key = Some(BOUND_KEY.to_owned());
    setting.run_batch(0, LITTLE).await;
    let told = || async { (!setting.demand_keys().is_empty()).then_some(()) };
    eventually("the owner tells once there is work", told).await;
}
