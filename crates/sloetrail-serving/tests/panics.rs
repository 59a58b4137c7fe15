//! A panic in one part of a node stops no other part, and the part goes on afterwards.

mod support;

use serde_json::{Value, json};
use sloetrail_serving::table::RowAddress;
use sloetrail_serving_testkit::client::batch;
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually, usual_routes};
use sloetrail_serving_testkit::engine::FakeEngine;
use sloetrail_serving_testkit::wire::NativeWire;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::panicking::{PANIC_KEY, PanicBudget, PanickingDialect, PanickingTable};
use support::{accepted, assert_each_once, items, live};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

async fn start_back_ends(cluster: &mut Cluster) {
    cluster.add_application("zone-a").await;
    cluster.add_application("zone-b").await;
    cluster.add_engine(EVENT_INTERVAL).await;
    cluster.add_engine(EVENT_INTERVAL).await;
}

async fn start_nodes(cluster: &mut Cluster, names: &[&str]) {
    for name in names {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
}

/// The usual routes with a further one, which tells that the configuration is in force.
fn routes_with(prefix: &str) -> Value {
    let mut routes = usual_routes();
    let list = routes.as_array_mut().expect("a list");
    list.push(
        json!({"name": prefix, "host": HOST, "path_prefix": prefix, "kind": "idempotent",
                     "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 3,
                     "service": "application"}),
    );
    routes
}

async fn wait_in_force(cluster: &Cluster, node: usize, prefix: &str) {
    let is_in_force = || async {
        let answer = live(cluster, node, &format!("{prefix}x"), "r").await?;
        (answer.status == 200).then_some(())
    };
    eventually("the configuration is in force", is_in_force).await;
}

/// Submits batches of the newest version until an engine has run an item of one.
async fn wait_for_run(cluster: &Cluster, engine: &FakeEngine) {
    let next_number = AtomicUsize::new(1);
    let has_run = || async {
        let id = format!("b{}", next_number.fetch_add(1, Ordering::Relaxed));
        let work = batch(&items(24, 20), MODEL, 2);
        accepted(cluster, 2, &id, &work).await;
        assert_each_once(&cluster.wait_results(0, &id, 24).await, 24);
        (!engine.runs().is_empty()).then_some(())
    };
    eventually("the new engine is listed and runs items", has_run).await;
}

/// Guards against a row that ends the task which applies its table: configurations, versions and
/// back ends that came later were not applied, at running and at starting nodes.
#[tokio::test(flavor = "multi_thread")]
async fn rows_whose_decoding_panics_keep_no_other_row_out_of_force() {
    let dialect = Arc::new(PanickingDialect::default());
    let mut cluster = Cluster::new(Arc::new(NativeWire), dialect);
    start_back_ends(&mut cluster).await;
    start_nodes(&mut cluster, &["node-1", "node-2"]).await;
    for table in ["operator", "back_ends"] {
        for key in [PANIC_KEY, "evacuations/panic", "versions/panic"] {
            cluster.table.write(RowAddress::new(table, "", key), "{}");
        }
    }
    cluster.configure(routes_with("/new/"));
    cluster.publish(2);
    let engine = cluster.add_engine(EVENT_INTERVAL).await;
    start_nodes(&mut cluster, &["node-3"]).await;
    for node in [0, 1, 2] {
        wait_in_force(&cluster, node, "/new/").await;
    }
    wait_for_run(&cluster, &engine).await;
    cluster.evacuate("zone-b");
    let has_no_new_work = || async {
        let evacuated = &cluster.engines[1];
        let before = evacuated.runs().len();
        for number in 0..10 {
            live(&cluster, number % 3, "/live/x", "r").await?;
        }
        (evacuated.runs().len() == before).then_some(())
    };
    eventually("the zone is evacuated", has_no_new_work).await;
}

/// Guards against a panic that ends the follower of a table.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_applied_after_panics_of_the_follower() {
    let budget = Arc::new(PanicBudget::default());
    let changes = Arc::clone(&budget);
    let cluster = support::native_cluster();
    let mut cluster = cluster.with_table(move |table| {
        let changes = Arc::clone(&changes);
        Arc::new(PanickingTable { table, changes })
    });
    start_back_ends(&mut cluster).await;
    start_nodes(&mut cluster, &["node-1"]).await;
    budget.set(12);
    cluster.configure(routes_with("/new/"));
    wait_in_force(&cluster, 0, "/new/").await;
    let is_spent = || async { budget.is_spent().then_some(()) };
    eventually("all panics have come", is_spent).await;
    cluster.configure(routes_with("/newer/"));
    wait_in_force(&cluster, 0, "/newer/").await;
    let work = batch(&items(6, 20), MODEL, 1);
    accepted(&cluster, 0, "b1", &work).await;
    assert_each_once(&cluster.wait_results(0, "b1", 6).await, 6);
}

/// Guards against a panic of a task of an owner whose lease goes on to be renewed: no batch of
/// the service ran any more.
#[tokio::test(flavor = "multi_thread")]
async fn batches_are_run_after_panics_of_an_owner() {
    let dialect = Arc::new(PanickingDialect::default());
    let mut cluster = Cluster::new(Arc::new(NativeWire), Arc::clone(&dialect) as Arc<_>);
    start_back_ends(&mut cluster).await;
    start_nodes(&mut cluster, &["node-1", "node-2"]).await;
    dialect.engine_calls.set(3);
    cluster.publish(2);
    let work = batch(&items(6, 20), MODEL, 2);
    accepted(&cluster, 0, "b1", &work).await;
    assert_each_once(&cluster.wait_results(1, "b1", 6).await, 6);
    assert!(dialect.engine_calls.is_spent());
}
