//! Open batches keep an owner, whatever changes first: routes, services, owners or back ends.

mod support;

use serde_json::{Value, json};
use sloetrail_serving_testkit::client::batch;
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, MODELS, eventually, usual_routes};
use std::time::Duration;
use support::{
    accepted, assert_each_once, client_cluster, items, lease_holder, routes_to,
    routes_with_rollout, routes_without_rollout, submit_items,
};

const EVENT_INTERVAL: Duration = Duration::from_millis(10);
const OTHER_MODELS: &str = "other-models";
const ITEMS: usize = 24;
/// Items run for 600 ms, and eight at a time, so that most are open when the changes come.
const EVENTS: u64 = 60;
const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];

/// Starts an application, two model services with an engine each, and the nodes.
async fn two_services() -> Cluster {
    let mut cluster = client_cluster();
    cluster.other_services = vec![OTHER_MODELS.to_owned()];
    cluster.configure(usual_routes());
    cluster.add_application("zone-a").await;
    cluster.add_engine(EVENT_INTERVAL).await;
    cluster.add_engine_of(OTHER_MODELS, EVENT_INTERVAL).await;
    start_nodes(&mut cluster).await;
    lease_holder(&cluster).await;
    cluster
}

async fn start_nodes(cluster: &mut Cluster) {
    for name in NODES {
        start_node(cluster, name).await;
    }
}

async fn start_node(cluster: &mut Cluster, name: &str) -> usize {
    let node = cluster.add_node(name).await;
    cluster.wait_ready(node).await;
    node
}

/// Kills the nodes one after the other and starts each again before the next one is killed.
async fn restart_in_turn(cluster: &mut Cluster) {
    let first = cluster.nodes.len() - NODES.len();
    for (number, name) in NODES.iter().enumerate() {
        cluster.nodes[first + number].kill();
        start_node(cluster, name).await;
    }
}

fn kill_all(cluster: &mut Cluster) {
    for node in &mut cluster.nodes {
        node.kill();
    }
}

fn last_node(cluster: &Cluster) -> usize {
    cluster.nodes.len() - 1
}

async fn assert_completes(cluster: &Cluster, id: &str) {
    let results = cluster.wait_results(last_node(cluster), id, ITEMS).await;
    assert_each_once(&results, ITEMS);
    assert!(results.iter().all(|result| result["state"] == "succeeded"));
}

/// Guards against an open batch that no node owns once its route has moved and all nodes restarted.
#[tokio::test(flavor = "multi_thread")]
async fn open_batch_runs_on_after_its_route_moved_and_all_nodes_restarted() {
    let mut cluster = two_services().await;
    submit_items(&cluster, 0, "b1", ITEMS, EVENTS).await;
    cluster.wait_results(0, "b1", 1).await;
    cluster.configure(routes_to(OTHER_MODELS));
    restart_in_turn(&mut cluster).await;
    assert_completes(&cluster, "b1").await;
    let other = &cluster.engines[2];
    assert!(other.runs().is_empty(), "the batch stays at its service");
}

#[tokio::test(flavor = "multi_thread")]
async fn open_batch_runs_on_after_its_route_moved_while_no_node_ran() {
    let mut cluster = two_services().await;
    submit_items(&cluster, 0, "b1", ITEMS, EVENTS).await;
    kill_all(&mut cluster);
    cluster.configure(routes_to(OTHER_MODELS));
    start_nodes(&mut cluster).await;
    assert_completes(&cluster, "b1").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn open_batch_runs_on_after_its_route_was_removed_and_all_nodes_stopped() {
    let mut cluster = two_services().await;
    submit_items(&cluster, 0, "b1", ITEMS, EVENTS).await;
    cluster.configure(routes_without_rollout());
    for number in 0..NODES.len() {
        cluster.nodes[number].stop();
    }
    start_nodes(&mut cluster).await;
    assert_completes(&cluster, "b1").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn open_batch_runs_on_after_its_service_was_removed() {
    let mut cluster = two_services().await;
    submit_items(&cluster, 0, "b1", ITEMS, EVENTS).await;
    cluster.removed_services = vec![MODELS.to_owned()];
    cluster.configure(routes_to(OTHER_MODELS));
    restart_in_turn(&mut cluster).await;
    assert_completes(&cluster, "b1").await;
}

/// Guards against a batch without an owner if its set had none before its route changed.
#[tokio::test(flavor = "multi_thread")]
async fn batch_whose_set_never_had_an_owner_runs_after_its_route_changed() {
    let mut cluster = client_cluster();
    let regions = [("zone-a", "north"), ("zone-b", "south")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    cluster.regions = regions.into();
    cluster.configure(routes_with_rollout(&json!({"allowed_regions": ["south"]})));
    cluster.add_application("zone-b").await;
    cluster.add_engine_in("zone-b", EVENT_INTERVAL).await;
    start_node(&mut cluster, "node-1").await;
    submit_items(&cluster, 0, "b1", ITEMS, 3).await;
    cluster.configure(usual_routes());
    kill_all(&mut cluster);
    start_node(&mut cluster, "node-1").await;
    let south = cluster.add_node_in("zone-b", "node-2").await;
    cluster.wait_ready(south).await;
    assert_completes(&cluster, "b1").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn open_batches_run_on_while_their_route_moves_back_and_forth_amid_restarts() {
    let mut cluster = two_services().await;
    let work = |number: usize| {
        let item = |mut item: Value| {
            let id = item["id"].as_str().unwrap_or_default().to_owned();
            item["id"] = json!(format!("b{number}-{id}"));
            item
        };
        let items: Vec<Value> = items(ITEMS, EVENTS).into_iter().map(item).collect();
        batch(&items, MODEL, 1)
    };
    for (number, service) in [OTHER_MODELS, MODELS, OTHER_MODELS].into_iter().enumerate() {
        let node = last_node(&cluster);
        accepted(&cluster, node, &format!("b{number}"), &work(number)).await;
        cluster.configure(routes_to(service));
        restart_in_turn(&mut cluster).await;
    }
    for number in 0..3 {
        assert_completes(&cluster, &format!("b{number}")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn open_batch_runs_on_at_engines_that_return_after_its_route_moved() {
    let mut cluster = two_services().await;
    submit_items(&cluster, 0, "b1", ITEMS, EVENTS).await;
    let engine = cluster.engines[1].clone();
    cluster.unlist(&engine);
    engine.crash();
    cluster.configure(routes_to(OTHER_MODELS));
    restart_in_turn(&mut cluster).await;
    cluster.add_engine(EVENT_INTERVAL).await;
    assert_completes(&cluster, "b1").await;
}

/// Guards against engines without weight orders while the configuration does not name their service.
#[tokio::test(flavor = "multi_thread")]
async fn open_batch_gets_the_version_that_it_needs_after_its_service_was_removed() {
    let mut cluster = two_services().await;
    let engine = cluster.engines[1].clone();
    cluster.unlist(&engine);
    cluster.publish(2);
    accepted(&cluster, 0, "b1", &batch(&items(ITEMS, 3), MODEL, 2)).await;
    cluster.removed_services = vec![MODELS.to_owned()];
    cluster.configure(routes_to(OTHER_MODELS));
    restart_in_turn(&mut cluster).await;
    cluster.list(&engine);
    assert_completes(&cluster, "b1").await;
}

/// Guards against engines that keep old weights because no rollout route leads to their service.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_a_service_without_a_rollout_route_get_new_versions() {
    let cluster = two_services().await;
    cluster.publish(2);
    for engine in &cluster.engines[1..] {
        let has_version = || async { (engine.version(MODEL) == 2).then_some(()) };
        eventually("the engine has the version", has_version).await;
    }
}

/// Guards against version changes amid the texts of a batch that allows one version, once its route
/// is gone.
#[tokio::test(flavor = "multi_thread")]
async fn version_changes_wait_for_a_single_version_batch_whose_route_was_removed() {
    let mut cluster = two_services().await;
    cluster.configure(routes_with_rollout(&json!({"single_version": true})));
    restart_in_turn(&mut cluster).await;
    let node = last_node(&cluster);
    submit_items(&cluster, node, "b1", ITEMS, EVENTS).await;
    cluster.wait_results(node, "b1", 1).await;
    cluster.configure(routes_to(OTHER_MODELS));
    restart_in_turn(&mut cluster).await;
    cluster.publish(2);
    let engine = &cluster.engines[1];
    let is_ordered = || async { engine.orders().into_iter().next() };
    let first = eventually("the engine is ordered to load the version", is_ordered).await;
    assert!(first.order.waits_for_runs, "{first:?}");
    assert_completes(&cluster, "b1").await;
}

/// Guards against items that are neither run nor given up once their service is gone.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_service_that_is_gone_are_given_up_after_their_retention() {
    let mut cluster = two_services().await;
    let engine = cluster.engines[1].clone();
    cluster.unlist(&engine);
    engine.crash();
    cluster.configure(routes_with_rollout(&json!({"retain_s": 3})));
    restart_in_turn(&mut cluster).await;
    let node = last_node(&cluster);
    submit_items(&cluster, node, "b1", ITEMS, 3).await;
    cluster.removed_services = vec![MODELS.to_owned()];
    cluster.configure(routes_to(OTHER_MODELS));
    restart_in_turn(&mut cluster).await;
    let results = cluster.wait_results(last_node(&cluster), "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    assert!(results.iter().all(|result| result["state"] == "dead"));
}
