//! Numbers at the edges of their types, from the configuration, callers, trainers and back ends:
//! a large number stays large and stops no part of a node.

mod support;

use http::Method;
use serde_json::{Value, json};
use sloetrail_serving_testkit::client::{Call, batch};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually, usual_routes};
use std::time::Duration;
use support::{accepted, items, live, submit_items, usual_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Events of an item that takes longer than expired items are still run.
const LONG_ITEM_EVENTS: u64 = 600;

/// Applies the usual routes with one field of the rollout route replaced, and waits until all
/// nodes have it. A new route tells that the configuration is in force.
async fn configure_rollout(cluster: &mut Cluster, field: &str, value: Value) {
    let mut routes = usual_routes();
    routes[3][field] = value;
    let list = routes.as_array_mut().expect("a list");
    let mut probe = list[0].clone();
    probe["name"] = json!("probe");
    probe["path_prefix"] = json!("/probe/");
    list.push(probe);
    cluster.configure(routes);
    for node in [0, 1] {
        let is_in_force = || async {
            let answer = live(cluster, node, "/probe/x", "r").await?;
            (answer.status == 200).then_some(())
        };
        eventually("the configuration is in force", is_in_force).await;
    }
}

fn assert_all_succeeded(results: &[Value], count: usize) {
    assert_eq!(results.len(), count);
    for result in results {
        assert_eq!(result["state"], "succeeded", "{result}");
    }
}

/// Guards against a retention whose milliseconds wrap around: accepted items were listed as dead.
#[tokio::test(flavor = "multi_thread")]
async fn items_outlive_the_shortest_retention_if_it_is_configured_huge() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    // In 64 bits, its milliseconds wrap around to 384.
    configure_rollout(&mut cluster, "retain_s", json!(1.844_674_407_370_955e16)).await;
    submit_items(&cluster, 0, "b1", 6, LONG_ITEM_EVENTS).await;
    assert_all_succeeded(&cluster.wait_results(1, "b1", 6).await, 6);
}

/// Guards against a target whose sum with the time of acceptance overflows: readers waited for
/// no result, or the owner's task ended.
#[tokio::test(flavor = "multi_thread")]
async fn batch_with_a_huge_run_target_is_run_and_read() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    configure_rollout(&mut cluster, "run_target_ms", json!(u64::MAX)).await;
    submit_items(&cluster, 0, "b1", 6, 20).await;
    assert_all_succeeded(&cluster.wait_results(1, "b1", 6).await, 6);
}

/// Guards against length hints whose sum overflows: the owner's task ended, and all batches of
/// the service stood still.
#[tokio::test(flavor = "multi_thread")]
async fn batch_with_huge_length_hints_is_run_with_the_others() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    let mut hinted = items(6, 20);
    for item in &mut hinted {
        item["tokens"] = json!(u64::MAX);
    }
    accepted(&cluster, 0, "hinted", &batch(&hinted, MODEL, 1)).await;
    assert_all_succeeded(&cluster.wait_results(1, "hinted", 6).await, 6);
    submit_items(&cluster, 0, "usual", 6, 20).await;
    assert_all_succeeded(&cluster.wait_results(1, "usual", 6).await, 6);
}

/// Guards against a version whose successor overflows.
#[tokio::test(flavor = "multi_thread")]
async fn largest_weight_version_is_ordered_and_used() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    cluster.publish(u64::MAX);
    let work = batch(&items(6, 20), MODEL, u64::MAX);
    accepted(&cluster, 0, "b1", &work).await;
    let results = cluster.wait_results(1, "b1", 6).await;
    assert_all_succeeded(&results, 6);
    assert_eq!(results[0]["versions"], json!([u64::MAX]));
}

/// Guards against an event number whose successor overflows: the connection ended without an
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn stream_after_the_largest_event_number_is_answered() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    let names = cluster.names();
    let call = Call::new(Method::POST, HOST, "/events/x")
        .header(&names.request_id, "r1")
        .header(&names.deadline_ms, "1500")
        .header(&names.last_event_id, &u64::MAX.to_string())
        .body("events=3");
    let answer = call.send(cluster.nodes[0].callers).await;
    assert!(answer.is_some(), "the connection ended without an answer");
    let answer = live(&cluster, 0, "/live/x", "r2").await.expect("an answer");
    assert_eq!(answer.status, 200);
}

/// Guards against a caller's deadline or wait that overflows a sum of times.
#[tokio::test(flavor = "multi_thread")]
async fn calls_with_the_longest_deadlines_and_waits_are_answered() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    let mut routes = usual_routes();
    for route in routes.as_array_mut().expect("a list") {
        route["timeout_ms"] = json!(u64::MAX);
        route["target_latency_ms"] = json!(u64::MAX);
    }
    cluster.configure(routes);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let names = cluster.names();
    for path in ["/live/x", "/once/x", "/events/x"] {
        let mut call = Call::new(Method::POST, HOST, path)
            .header(&names.request_id, path)
            .header(&names.deadline_ms, &u64::MAX.to_string())
            .header(&names.wait_ms, &u64::MAX.to_string());
        if let Some(key) = &names.idempotency_key {
            call = call.header(key, &format!("key{}", path.len()));
        }
        let answer = call.body("events=3").send(cluster.nodes[0].callers).await;
        let status = answer.map(|answer| answer.status.as_u16());
        assert_eq!(status, Some(200), "{path}");
    }
}

/// Guards against a position beyond all results that overflows a sum.
#[tokio::test(flavor = "multi_thread")]
async fn results_after_the_largest_position_are_an_empty_page() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    submit_items(&cluster, 0, "b1", 3, 5).await;
    cluster.wait_results(0, "b1", 3).await;
    for position in [usize::MAX, usize::MAX - 1, 1_000_000_000] {
        let page = cluster.read(1, "b1", position).await.expect("a page");
        assert_eq!(page["results"], json!([]), "{position}");
    }
}
