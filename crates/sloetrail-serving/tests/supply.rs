//! Engine counts: only the owner of the service orders engines, based on their load, and only
//! where the configuration and the work call for it.

mod support;

use async_trait::async_trait;
use serde_json::json;
use sloetrail_serving::engine_supply::SupplyAnswer;
use sloetrail_serving::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use sloetrail_serving_testkit::cluster::{Cluster, MODELS, eventually, usual_routes};
use sloetrail_serving_testkit::supply::{SupplyRecord, SupplyRecorder};
use sloetrail_types::RowVersion;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{lease, lease_holder, native_cluster, submit_items};

/// Minimum time between the orders of two owners, by the settings of the cluster's nodes.
const MIN_ORDER_INTERVAL: Duration = Duration::from_millis(800);
const ENGINES: usize = 2;
/// Items that keep every slot of the engines busy, and items that use only a few.
const HEAVY_LOAD_ITEMS: usize = 40;
const LIGHT_LOAD_ITEMS: usize = 3;
/// Covers the 8 s of load history that releasing engines requires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(11);

async fn cluster(scaling: bool) -> (Cluster, Arc<SupplyRecorder>) {
    let (mut cluster, recorder) = configured(scaling);
    start(&mut cluster).await;
    (cluster, recorder)
}

fn configured(scaling: bool) -> (Cluster, Arc<SupplyRecorder>) {
    let recorder = SupplyRecorder::new();
    let mut cluster = native_cluster();
    cluster.engine_supply = Some(Arc::<SupplyRecorder>::clone(&recorder));
    if scaling {
        cluster.scaling = Some(json!({"min": 1, "max": 8, "boot_s": 0.2}));
    }
    cluster.configure(usual_routes());
    (cluster, recorder)
}

async fn start(cluster: &mut Cluster) {
    cluster.add_application("zone-a").await;
    for _ in 0..ENGINES {
        cluster.add_engine(Duration::from_millis(5)).await;
    }
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
}

/// Runs batches one after the other until an order is given or [`RELEASE_TIMEOUT`] is over.
async fn run_batches_until_ordered(
    cluster: &Cluster,
    node: usize,
    recorder: &SupplyRecorder,
    count: usize,
) {
    let started_at = Instant::now();
    let before = recorder.records().len();
    while started_at.elapsed() < RELEASE_TIMEOUT && recorder.records().len() == before {
        let id = format!("b-{node}-{}", started_at.elapsed().as_millis());
        submit_items(cluster, node, &id, count, 60).await;
        cluster.wait_results(node, &id, count).await;
        cluster.end(node, &id).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_owner_and_its_successor_add_engines_under_load() {
    let (mut cluster, recorder) = cluster(true).await;
    let owner = lease_holder(&cluster).await;
    run_batches_until_ordered(&cluster, 1 - owner, &recorder, HEAVY_LOAD_ITEMS).await;
    let first = recorder.records().first().cloned().expect("an order");
    assert_eq!(first.order.service.as_str(), MODELS);
    assert_eq!(first.order.zone.as_str(), "zone-a");
    assert!(first.order.engines > ENGINES, "{first:?}");
    assert_eq!(first.holder.node, format!("node-{}", owner + 1));
    cluster.nodes[owner].kill();
    let before = recorder.records().len();
    run_batches_until_ordered(&cluster, 1 - owner, &recorder, HEAVY_LOAD_ITEMS).await;
    let records = recorder.records();
    assert!(records.len() > before, "the successor gives an order");
    let (last, next) = (&records[before - 1], &records[before]);
    assert_ne!(next.holder.node, last.holder.node);
    assert!(next.holder.epoch > last.holder.epoch, "{records:?}");
    assert!(next.at - last.at >= MIN_ORDER_INTERVAL, "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn baseline_engines_are_not_released() {
    let (cluster, recorder) = cluster(true).await;
    run_batches_until_ordered(&cluster, 0, &recorder, LIGHT_LOAD_ITEMS).await;
    assert!(recorder.records().is_empty(), "{:?}", recorder.records());
    let baselines = cluster.table.rows("sloetrail_engine_floors");
    assert_eq!(baselines[0].value, ENGINES.to_string());
}

/// Forwards calls and records the keys that they access and the tables that are followed.
struct RecordingTable {
    inner: Arc<dyn Table>,
    keys: Arc<Mutex<BTreeSet<String>>>,
    followed: Arc<Mutex<BTreeSet<String>>>,
}

#[async_trait]
impl Table for RecordingTable {
    fn limits(&self) -> TableLimits {
        self.inner.limits()
    }

    fn now_ms(&self) -> Option<u64> {
        self.inner.now_ms()
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let keys = transaction.addresses().map(|address| address.key.clone());
        self.keys.lock().expect("not poisoned").extend(keys);
        self.inner.commit(transaction).await
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let key = range.from.clone();
        self.keys.lock().expect("not poisoned").insert(key);
        self.inner.scan(range).await
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let name = table.to_owned();
        self.followed.lock().expect("not poisoned").insert(name);
        self.inner.changes(table, since, wait).await
    }
}

/// Longer than two reporting periods of slot demand.
const DEMAND_REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Tables that nodes follow, except those of the operator and of back ends.
const FOLLOWED_TABLES: [&str; 3] = ["sloetrail_batches", "sloetrail_ends", "sloetrail_leases"];

#[tokio::test(flavor = "multi_thread")]
async fn without_bound_batches_no_table_call_concerns_demand() {
    let (mut cluster, recorder) = configured(true);
    let keys = Arc::new(Mutex::new(BTreeSet::new()));
    let followed = Arc::new(Mutex::new(BTreeSet::new()));
    let recorded = (Arc::clone(&keys), Arc::clone(&followed));
    cluster = cluster.with_table(move |link| {
        Arc::new(RecordingTable {
            inner: link,
            keys: Arc::clone(&recorded.0),
            followed: Arc::clone(&recorded.1),
        })
    });
    start(&mut cluster).await;
    let started_at = Instant::now();
    while started_at.elapsed() < DEMAND_REPORT_TIMEOUT {
        run_batches_until_ordered(&cluster, 0, &recorder, HEAVY_LOAD_ITEMS).await;
    }
    assert!(!recorder.records().is_empty(), "engines are ordered");
    let keys = keys.lock().expect("not poisoned").clone();
    assert!(keys.contains("lease/models"), "{keys:?}");
    let about_demand = keys.iter().any(|key| key.contains("demand"));
    assert!(!about_demand, "{keys:?}");
    let followed = followed.lock().expect("not poisoned").clone();
    let own = followed
        .iter()
        .filter(|table| table.starts_with("sloetrail_"));
    assert_eq!(own.map(String::as_str).collect::<Vec<_>>(), FOLLOWED_TABLES);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_engines_above_the_baseline_are_released() {
    let (mut cluster, recorder) = cluster(true).await;
    run_batches_until_ordered(&cluster, 0, &recorder, HEAVY_LOAD_ITEMS).await;
    assert!(!recorder.records().is_empty());
    for _ in 0..4 {
        cluster.add_engine(Duration::from_millis(5)).await;
    }
    run_batches_until_ordered(&cluster, 0, &recorder, LIGHT_LOAD_ITEMS).await;
    let last = recorder.records().last().cloned().expect("an order");
    assert!(
        (ENGINES..ENGINES + 4).contains(&last.order.engines),
        "{last:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_ordered_without_scaling_bounds() {
    let (cluster, recorder) = cluster(false).await;
    run_batches_until_ordered(&cluster, 0, &recorder, HEAVY_LOAD_ITEMS).await;
    assert!(recorder.records().is_empty(), "{:?}", recorder.records());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fenced_owner_ends_its_term() {
    let (cluster, recorder) = cluster(true).await;
    let owner = lease_holder(&cluster).await;
    let epoch = lease(&cluster).expect("a lease")["epoch"].clone();
    recorder.set_next_answer(SupplyAnswer::Fenced);
    run_batches_until_ordered(&cluster, 1 - owner, &recorder, HEAVY_LOAD_ITEMS).await;
    assert!(!recorder.records().is_empty());
    let has_ended = || async { (lease(&cluster)?["epoch"] != epoch).then_some(()) };
    eventually("a new term has begun", has_ended).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_counts_of_evacuated_zones_stay() {
    let (mut cluster, recorder) = cluster(true).await;
    let evacuated_engine = cluster
        .add_engine_in("zone-b", Duration::from_millis(5))
        .await;
    cluster.evacuate("zone-b");
    tokio::time::sleep(Duration::from_millis(300)).await;
    run_batches_until_ordered(&cluster, 0, &recorder, HEAVY_LOAD_ITEMS).await;
    let records = recorder.records();
    assert!(!records.is_empty(), "engines are ordered elsewhere");
    let zones = records.iter().map(|record| record.order.zone.as_str());
    assert!(zones.clone().all(|zone| zone == "zone-a"), "{records:?}");
    assert!(records[0].order.engines > ENGINES, "{records:?}");
    assert!(evacuated_engine.arrivals().is_empty());
    let baselines = cluster.table.rows("sloetrail_engine_floors");
    let all = ENGINES + 1;
    assert_eq!(
        baselines[0].value,
        all.to_string(),
        "engines of the evacuated zone count"
    );
}

const FREE_KEY: &str = "key-of-free";
const BOUND_KEY: &str = "key-of-bound";

/// Starts a cluster in the region north with a region-bound tenant and with more engines than a
/// light load needs.
async fn overprovisioned_cluster(bound_to: &str) -> (Cluster, Arc<SupplyRecorder>) {
    let (mut cluster, recorder) = configured(true);
    cluster.regions = [("zone-a", "north"), ("zone-b", "south")]
        .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
        .into();
    cluster.tenants = Some(json!([
        {"name": "free", "api_keys": [FREE_KEY]},
        {"name": "bound", "api_keys": [BOUND_KEY], "allowed_regions": [bound_to]},
    ]));
    let mut routes = usual_routes();
    for route in routes.as_array_mut().expect("a list") {
        if route["name"] == "rollout" {
            route["run_target_ms"] = json!(60_000);
        }
    }
    cluster.configure(routes);
    start(&mut cluster).await;
    cluster.api_key = Some(FREE_KEY.to_owned());
    run_batches_until_ordered(&cluster, 0, &recorder, HEAVY_LOAD_ITEMS).await;
    assert!(
        !recorder.records().is_empty(),
        "busy engines lead to an order"
    );
    for _ in 0..4 {
        cluster.add_engine(Duration::from_millis(5)).await;
    }
    (cluster, recorder)
}

/// No node is in the region south, so the batch has no owner that reports its demand.
#[tokio::test(flavor = "multi_thread")]
async fn no_engine_is_released_while_bound_demand_is_unknown() {
    let (mut cluster, recorder) = overprovisioned_cluster("south").await;
    let before = recorder.records().len();
    cluster.api_key = Some(BOUND_KEY.to_owned());
    submit_items(&cluster, 0, "bound", 1, 60).await;
    cluster.api_key = Some(FREE_KEY.to_owned());
    run_batches_until_ordered(&cluster, 0, &recorder, LIGHT_LOAD_ITEMS).await;
    let records = recorder.records();
    assert_eq!(records.len(), before, "{records:?}");
}

/// The owner of bound batches reports their slot demand, and later that they are done.
#[tokio::test(flavor = "multi_thread")]
async fn engines_are_released_after_other_owners_batches_finish() {
    /// Items that keep most slots busy for longer than the load history covers.
    const BOUND_ITEMS: usize = 20;
    const LONG_RUN_EVENTS: u64 = 3_500;
    let (mut cluster, recorder) = overprovisioned_cluster("north").await;
    let before = recorder.records().len();
    let engines = ENGINES + 4;
    cluster.api_key = Some(BOUND_KEY.to_owned());
    submit_items(&cluster, 0, "bound", BOUND_ITEMS, LONG_RUN_EVENTS).await;
    cluster.api_key = Some(FREE_KEY.to_owned());
    run_batches_until_ordered(&cluster, 0, &recorder, LIGHT_LOAD_ITEMS).await;
    let records = recorder.records().split_off(before);
    let is_fewer = |record: &SupplyRecord| record.order.engines < engines;
    assert!(!records.iter().any(is_fewer), "{records:?}");
    // The batch has neither been ended nor expired: its owner reports that nothing runs.
    cluster.api_key = Some(BOUND_KEY.to_owned());
    cluster.wait_results(0, "bound", BOUND_ITEMS).await;
    cluster.api_key = Some(FREE_KEY.to_owned());
    let done = recorder.records().len();
    for _ in 0..2 {
        run_batches_until_ordered(&cluster, 0, &recorder, LIGHT_LOAD_ITEMS).await;
    }
    let records = recorder.records().split_off(done);
    assert!(records.iter().any(is_fewer), "{records:?}");
}
