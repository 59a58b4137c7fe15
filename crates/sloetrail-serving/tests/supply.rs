//! The number of engines: ordered by the owner of the service alone, from what its engines
//! do, and left alone where the configuration or the work gives no reason.

mod support;

use async_trait::async_trait;
use serde_json::json;
use sloetrail_serving::engine_supply::SupplyAnswer;
use sloetrail_serving::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use sloetrail_serving_testkit::cluster::{Cluster, MODELS, eventually, usual_routes};
use sloetrail_serving_testkit::supply::{SupplyBook, SupplyRecord};
use sloetrail_types::RowVersion;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{lease, lease_holder, native_cluster, submit_items};

/// As the cluster's nodes are set up.
const ORDER_GAP: Duration = Duration::from_millis(800);
const ENGINES: usize = 2;
/// Items that keep every place of the engines busy, and a little work.
const MUCH: usize = 40;
const LITTLE: usize = 3;
/// The load is looked at for eight seconds before engines are given back.
const SEEN: Duration = Duration::from_secs(11);

async fn cluster(scaling: bool) -> (Cluster, Arc<SupplyBook>) {
    let (mut cluster, book) = configured(scaling);
    start(&mut cluster).await;
    (cluster, book)
}

fn configured(scaling: bool) -> (Cluster, Arc<SupplyBook>) {
    let book = SupplyBook::new();
    let mut cluster = native_cluster();
    cluster.engine_supply = Some(Arc::<SupplyBook>::clone(&book));
    if scaling {
        cluster.scaling = Some(json!({"min": 1, "max": 8, "boot_s": 0.2}));
    }
    cluster.configure(usual_routes());
    (cluster, book)
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

/// Submits batches, one after the other, until there is an order or the time is over.
async fn work_until_ordered(cluster: &Cluster, node: usize, book: &SupplyBook, count: usize) {
    let began = Instant::now();
    let before = book.records().len();
    while began.elapsed() < SEEN && book.records().len() == before {
        let id = format!("b-{node}-{}", began.elapsed().as_millis());
        submit_items(cluster, node, &id, count, 60).await;
        cluster.wait_results(node, &id, count).await;
        cluster.end(node, &id).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_are_busy_get_more_from_the_owner_and_from_its_successor() {
    let (mut cluster, book) = cluster(true).await;
    let owner = lease_holder(&cluster).await;
    work_until_ordered(&cluster, 1 - owner, &book, MUCH).await;
    let first = book.records().first().cloned().expect("an order");
    assert_eq!(first.order.service.as_str(), MODELS);
    assert_eq!(first.order.zone.as_str(), "zone-a");
    assert!(first.order.engines > ENGINES, "{first:?}");
    assert_eq!(first.holder.node, format!("node-{}", owner + 1));
    cluster.nodes[owner].kill();
    let before = book.records().len();
    work_until_ordered(&cluster, 1 - owner, &book, MUCH).await;
    let records = book.records();
    assert!(records.len() > before, "the successor orders too");
    let (last, next) = (&records[before - 1], &records[before]);
    assert_ne!(next.holder.node, last.holder.node);
    assert!(next.holder.epoch > last.holder.epoch, "{records:?}");
    assert!(next.at - last.at >= ORDER_GAP, "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_were_there_from_the_beginning_are_not_given_back() {
    let (cluster, book) = cluster(true).await;
    work_until_ordered(&cluster, 0, &book, LITTLE).await;
    assert!(book.records().is_empty(), "{:?}", book.records());
    let floors = cluster.table.rows("sloetrail_engine_floors");
    assert_eq!(floors[0].value, ENGINES.to_string());
}

/// Hands calls on, and keeps which rows they are about.
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

/// An owner of bound batches would have told their demand twice in this time.
const DEMAND_TOLD: Duration = Duration::from_secs(5);
/// The tables of the product that nodes follow, beside those of the operator and of back ends.
const FOLLOWED: [&str; 3] = ["sloetrail_batches", "sloetrail_ends", "sloetrail_leases"];

#[tokio::test(flavor = "multi_thread")]
async fn without_bound_batches_nobody_calls_the_table_about_their_demand() {
    let (mut cluster, book) = configured(true);
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
    let began = Instant::now();
    while began.elapsed() < DEMAND_TOLD {
        work_until_ordered(&cluster, 0, &book, MUCH).await;
    }
    assert!(!book.records().is_empty(), "engines are ordered");
    let keys = keys.lock().expect("not poisoned").clone();
    assert!(keys.contains("lease/models"), "{keys:?}");
    let about_demand = keys.iter().any(|key| key.contains("demand"));
    assert!(!about_demand, "{keys:?}");
    let followed = followed.lock().expect("not poisoned").clone();
    let own = followed
        .iter()
        .filter(|table| table.starts_with("sloetrail_"));
    assert_eq!(own.map(String::as_str).collect::<Vec<_>>(), FOLLOWED);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_were_ordered_are_given_back_when_they_have_nothing_to_do() {
    let (mut cluster, book) = cluster(true).await;
    work_until_ordered(&cluster, 0, &book, MUCH).await;
    assert!(!book.records().is_empty());
    for _ in 0..4 {
        cluster.add_engine(Duration::from_millis(5)).await;
    }
    work_until_ordered(&cluster, 0, &book, LITTLE).await;
    let last = book.records().last().cloned().expect("an order");
    assert!(
        (ENGINES..ENGINES + 4).contains(&last.order.engines),
        "{last:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_ordered_where_the_configuration_does_not_say_that_it_may_be() {
    let (cluster, book) = cluster(false).await;
    work_until_ordered(&cluster, 0, &book, MUCH).await;
    assert!(book.records().is_empty(), "{:?}", book.records());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_is_fenced_off_ends_its_term() {
    let (cluster, book) = cluster(true).await;
    let owner = lease_holder(&cluster).await;
    let epoch = lease(&cluster).expect("a lease")["epoch"].clone();
    book.set_next_answer(SupplyAnswer::Fenced);
    work_until_ordered(&cluster, 1 - owner, &book, MUCH).await;
    assert!(!book.records().is_empty());
    let has_ended = || async { (lease(&cluster)?["epoch"] != epoch).then_some(()) };
    eventually("another term has begun", has_ended).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_number_of_engines_of_an_evacuated_zone_is_left_alone() {
    let (mut cluster, book) = cluster(true).await;
    let spared = cluster
        .add_engine_in("zone-b", Duration::from_millis(5))
        .await;
    cluster.evacuate("zone-b");
    tokio::time::sleep(Duration::from_millis(300)).await;
    work_until_ordered(&cluster, 0, &book, MUCH).await;
    let records = book.records();
    assert!(!records.is_empty(), "engines are ordered elsewhere");
    let zones = records.iter().map(|record| record.order.zone.as_str());
    assert!(zones.clone().all(|zone| zone == "zone-a"), "{records:?}");
    assert!(records[0].order.engines > ENGINES, "{records:?}");
    assert!(spared.arrivals().is_empty());
    let floors = cluster.table.rows("sloetrail_engine_floors");
    let all = ENGINES + 1;
    assert_eq!(floors[0].value, all.to_string(), "its engines count");
}

const FREE_KEY: &str = "key-of-free";
const BOUND_KEY: &str = "key-of-bound";

/// A cluster in the region north, one of whose tenants is bound to a region, and whose engines
/// have become more than a little work needs.
async fn with_more_engines_than_the_work_needs(bound_to: &str) -> (Cluster, Arc<SupplyBook>) {
    let (mut cluster, book) = configured(true);
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
    work_until_ordered(&cluster, 0, &book, MUCH).await;
    assert!(!book.records().is_empty(), "busy engines get more");
    for _ in 0..4 {
        cluster.add_engine(Duration::from_millis(5)).await;
    }
    (cluster, book)
}

/// No node is in the region south, so nobody owns the batch and tells of it.
#[tokio::test(flavor = "multi_thread")]
async fn no_engine_is_given_back_while_nobody_tells_what_a_bound_batch_takes() {
    let (mut cluster, book) = with_more_engines_than_the_work_needs("south").await;
    let before = book.records().len();
    cluster.api_key = Some(BOUND_KEY.to_owned());
    submit_items(&cluster, 0, "bound", 1, 60).await;
    cluster.api_key = Some(FREE_KEY.to_owned());
    work_until_ordered(&cluster, 0, &book, LITTLE).await;
    let records = book.records();
    assert_eq!(records.len(), before, "{records:?}");
}

/// The owner of bound batches tells how many places these take, and that they are done.
#[tokio::test(flavor = "multi_thread")]
async fn engines_are_given_back_only_once_the_batches_of_another_owner_are_done() {
    /// Items that keep most places busy for longer than the load is looked at.
    const BOUND_ITEMS: usize = 20;
    const LONG: u64 = 3_500;
    let (mut cluster, book) = with_more_engines_than_the_work_needs("north").await;
    let before = book.records().len();
    let engines = ENGINES + 4;
    cluster.api_key = Some(BOUND_KEY.to_owned());
    submit_items(&cluster, 0, "bound", BOUND_ITEMS, LONG).await;
    cluster.api_key = Some(FREE_KEY.to_owned());
    work_until_ordered(&cluster, 0, &book, LITTLE).await;
    let records = book.records().split_off(before);
    let is_fewer = |record: &SupplyRecord| record.order.engines < engines;
    assert!(!records.iter().any(is_fewer), "{records:?}");
    // It is not ended, and its time is not over: its owner tells that nothing runs.
    cluster.api_key = Some(BOUND_KEY.to_owned());
    cluster.wait_results(0, "bound", BOUND_ITEMS).await;
    cluster.api_key = Some(FREE_KEY.to_owned());
    let done = book.records().len();
    for _ in 0..2 {
        work_until_ordered(&cluster, 0, &book, LITTLE).await;
    }
    let records = book.records().split_off(done);
    assert!(records.iter().any(is_fewer), "{records:?}");
}
