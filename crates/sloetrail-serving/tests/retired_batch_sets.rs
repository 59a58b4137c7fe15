//! Batch sets of services that are gone cost nothing any more, and their leases may return.

mod support;

use serde_json::{Value, json};
use sloetrail_serving_testkit::client::{batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, eventually};
use sloetrail_serving_testkit::engine::OrderRecord;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{
    assert_each_once, native_cluster, routes_to, routes_with_rollout, routes_without_rollout,
};

const EVENT_INTERVAL: Duration = Duration::from_millis(2);
const ITEMS: usize = 4;
/// Longer than batches are kept, and than sets are kept without batches.
const LONG_TIME: Duration = Duration::from_secs(25 * 60 * 60);
const SERVICES: usize = 6;

fn service(number: usize) -> String {
    format!("models-{number}")
}

/// A batch whose items have ids of their own.
fn work(id: &str, min_version: u64) -> Value {
    let items = (0..ITEMS).map(|number| item(&format!("{id}-{number}"), "g", 3));
    batch(&items.collect::<Vec<Value>>(), MODEL, min_version)
}

async fn cluster() -> Cluster {
    let mut cluster = native_cluster();
    cluster.removed_services = vec!["models".to_owned()];
    cluster.configure(routes_without_rollout());
    cluster.add_application("zone-a").await;
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    cluster
}

/// Configures a service as the only one with models, and runs a batch there.
async fn use_service(cluster: &mut Cluster, service: &str, batch_id: &str, min_version: u64) {
    cluster.other_services = vec![service.to_owned()];
    cluster.configure(routes_to(service));
    let is_accepted = || async {
        let body = work(batch_id, min_version);
        let answer = cluster.submit(0, batch_id, &body).await?;
        (answer.status == 202).then_some(())
    };
    eventually("the route is in force", is_accepted).await;
    assert_each_once(&cluster.wait_results(1, batch_id, ITEMS).await, ITEMS);
}

fn remove_services(cluster: &mut Cluster) {
    cluster.other_services.clear();
    cluster.configure(routes_without_rollout());
}

/// The keys of the rows that name a service, in all tables of leases.
fn rows_of_services(cluster: &Cluster) -> BTreeSet<String> {
    let tables = [
        "sloetrail_leases",
        "sloetrail_order_windows",
        "sloetrail_batches",
    ];
    let rows = tables
        .into_iter()
        .flat_map(|table| cluster.table.rows(table));
    let keys = rows.map(|row| row.address.key);
    keys.filter(|key| key.contains("models-") || key.starts_with("b-"))
        .collect()
}

/// Advances the table's clock until first the batches and then the rows of all services are deleted.
/// Each takes some sweeps of five seconds.
async fn wait_until_retired(cluster: &Cluster) {
    wait_until_deleted(cluster, "b-").await;
    wait_until_deleted(cluster, "").await;
}

/// Advances the table's clock until the rows of services whose keys contain this text are deleted.
async fn wait_until_deleted(cluster: &Cluster, text: &str) {
    let are_deleted = || async {
        cluster.table.advance_clock(LONG_TIME);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let rows = rows_of_services(cluster);
        let is_left = rows.iter().any(|key| key.contains(text));
        (!is_left).then_some(())
    };
    eventually("the rows of the services are deleted", are_deleted).await;
}

/// The commits of all nodes within three seconds.
async fn commits_of_idle_nodes(cluster: &Cluster) -> usize {
    let before = cluster.table.commits();
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.table.commits() - before
}

/// Guards against leases, rows and renewals that grow with every service there ever was.
#[tokio::test(flavor = "multi_thread")]
async fn services_that_are_gone_leave_no_rows_and_no_renewals() {
    let mut cluster = cluster().await;
    let idle = commits_of_idle_nodes(&cluster).await;
    for number in 0..SERVICES {
        let name = service(number);
        cluster.add_engine_of(&name, EVENT_INTERVAL).await;
        use_service(&mut cluster, &name, &format!("b-{number}"), 1).await;
    }
    remove_services(&mut cluster);
    let known = rows_of_services(&cluster);
    for number in 0..SERVICES {
        let lease = format!("lease/{}", service(number));
        assert!(known.contains(&lease), "{known:?}");
    }
    wait_until_retired(&cluster).await;
    assert_eq!(commits_of_idle_nodes(&cluster).await, idle);
    assert_eq!(rows_of_services(&cluster), BTreeSet::new());
}

/// Guards against fences that start again from the beginning once a lease was deleted.
#[tokio::test(flavor = "multi_thread")]
async fn fences_of_a_service_that_returns_are_higher_than_before() {
    let mut cluster = cluster().await;
    let name = service(0);
    let engine = cluster.add_engine_of(&name, EVENT_INTERVAL).await;
    cluster.publish(2);
    use_service(&mut cluster, &name, "b-0", 2).await;
    let orders = engine.orders();
    let last = orders.last().expect("an order").order.fence;
    remove_services(&mut cluster);
    wait_until_retired(&cluster).await;
    let before = engine.orders().len();
    cluster.publish(3);
    use_service(&mut cluster, &name, "b-1", 3).await;
    let orders = engine.orders();
    let is_higher = |record: &OrderRecord| record.order.fence > last;
    assert!(orders.len() > before);
    assert!(orders[before..].iter().all(is_higher), "{orders:?}");
}

/// Guards against a set that is retired while one of its batches is open.
#[tokio::test(flavor = "multi_thread")]
async fn set_with_an_open_batch_is_kept_until_the_batch_is_deleted() {
    let mut cluster = cluster().await;
    let name = service(0);
    cluster.other_services = vec![name.clone()];
    cluster.configure(routes_to(&name));
    let is_configured = || async {
        let answer = cluster.submit(0, "b-0", &work("b-0", 1)).await?;
        (answer.status == 202).then_some(())
    };
    eventually("the batch is accepted", is_configured).await;
    remove_services(&mut cluster);
    cluster.table.advance_clock(Duration::from_secs(20));
    // Two sweeps.
    tokio::time::sleep(Duration::from_secs(11)).await;
    let key = format!("set/{name}");
    assert!(rows_of_services(&cluster).contains(&key));
    cluster.add_engine_of(&name, EVENT_INTERVAL).await;
    assert_each_once(&cluster.wait_results(1, "b-0", ITEMS).await, ITEMS);
    wait_until_retired(&cluster).await;
}

/// Guards against engines without weight orders for a bound batch, once the unbound set was retired.
#[tokio::test(flavor = "multi_thread")]
async fn unbound_set_is_kept_while_its_service_has_a_bound_batch() {
    let mut cluster = cluster().await;
    cluster.regions = [("zone-a".to_owned(), "north".to_owned())].into();
    let name = service(0);
    let engine = cluster.add_engine_of(&name, EVENT_INTERVAL).await;
    cluster.unlist(&engine);
    for node in &mut cluster.nodes {
        node.kill();
    }
    cluster.other_services = vec![name.clone()];
    let bound = json!({"service": name, "allowed_regions": ["north"], "retain_s": 600});
    cluster.configure(routes_with_rollout(&bound));
    let node = cluster.add_node("node-3").await;
    cluster.wait_ready(node).await;
    cluster.publish(2);
    let answer = cluster.submit(node, "b-0", &work("b-0", 2)).await;
    assert_eq!(answer.expect("an answer").status, 202);
    remove_services(&mut cluster);
    // Two sweeps, the second of them after the retirement delay on the table's clock.
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.table.advance_clock(Duration::from_secs(60));
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.list(&engine);
    let is_ordered = || async { (engine.version(MODEL) == 2).then_some(()) };
    eventually("the engine has the version", is_ordered).await;
    // The owner of the bound batch reads the version from the row of the engine.
    cluster.list(&engine);
    assert_each_once(&cluster.wait_results(node, "b-0", ITEMS).await, ITEMS);
    // The unbound set follows the bound one.
    wait_until_deleted(&cluster, "@north").await;
    wait_until_retired(&cluster).await;
}
