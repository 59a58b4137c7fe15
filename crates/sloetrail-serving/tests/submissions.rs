//! Submissions of batches during an outage of the table.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::{Answer, batch, item, submission};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL};
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::time::{Duration, Instant};
use support::client_cluster;

/// Time after which a node has detected that the table does not answer.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts one node and one engine, with a table client that detects outages.
async fn single_node_cluster(body_budget_bytes: Option<usize>) -> Cluster {
    let mut cluster = client_cluster();
    cluster.body_budget_bytes = body_budget_bytes;
    cluster.add_application("zone-a").await;
    cluster.add_engine(Duration::from_millis(4)).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    cluster
}

fn small_batch(id: &str) -> Value {
    let items: Vec<Value> = (0..4)
        .map(|number| item(&format!("{id}-i{number}"), "g", 2))
        .collect();
    batch(&items, MODEL, 1)
}

fn runs_of(cluster: &Cluster, id: &str) -> usize {
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.id.starts_with(id)).count()
}

fn retry_after(answer: &Answer) -> f64 {
    let text = answer
        .headers
        .get("retry-after")
        .expect("a retry-after header");
    text.to_str().expect("text").parse().expect("seconds")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_is_accepted_when_the_outage_ends() {
    let cluster = single_node_cluster(None).await;
    cluster.table.set_down(true);
    tokio::time::sleep(DETECTION_TIME).await;
    let outage_end = async {
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        cluster.table.set_down(false);
    };
    let body = small_batch("b1");
    let (answer, ()) = tokio::join!(cluster.submit(0, "b1", &body), outage_end);
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 202, "{}", answer.text());
    assert_eq!(cluster.wait_results(0, "b1", 4).await.len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_outage_refuses_with_half_the_time_remaining() {
    let cluster = single_node_cluster(None).await;
    cluster.table.set_down(true);
    tokio::time::sleep(DETECTION_TIME).await;
    let started_at = Instant::now();
    let answer = cluster.submit(0, "b1", &small_batch("b1")).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.text());
    let remaining = ROUTE_TIMEOUT - started_at.elapsed();
    assert!(remaining > ROUTE_TIMEOUT / 2, "{remaining:?} remaining");
    let retry_after = retry_after(&answer);
    assert!(
        retry_after <= remaining.as_secs_f64() / 3.0,
        "retry after {retry_after} s exceeds a third of the remaining time"
    );
    cluster.table.set_down(false);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(runs_of(&cluster, "b1"), 0, "refused as not run");
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_batches_leave_budget_for_live_requests() {
    const BUDGET: usize = 200_000;
    let cluster = single_node_cluster(Some(BUDGET)).await;
    cluster.table.set_down(true);
    tokio::time::sleep(DETECTION_TIME).await;
    let large = |id: &str| {
        let mut large = small_batch(id);
        large["padding"] = Value::from("p".repeat(BUDGET * 2 / 5));
        large
    };
    let (first, second) = (large("b1"), large("b2"));
    let watch = Stopwatch::start();
    let second = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let answer = cluster.submit(0, "b2", &second).await.expect("an answer");
        (answer, watch.elapsed())
    };
    let live = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        support::live(&cluster, 0, "/live/x", "r1").await
    };
    let (first, (second, second_took), live) =
        tokio::join!(cluster.submit(0, "b1", &first), second, live);
    assert_eq!(second.status, 503);
    assert!(second_took < Duration::from_secs(1), "{second_took:?}");
    assert!(retry_after(&second) < 1.0);
    assert_eq!(live.expect("an answer").status, 200);
    assert_eq!(first.expect("an answer").status, 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_batch_of_a_disconnected_caller_never_runs() {
    let cluster = single_node_cluster(None).await;
    cluster.table.set_down(true);
    tokio::time::sleep(DETECTION_TIME).await;
    let call = submission(&cluster.names(), HOST, "b1", &small_batch("b1"));
    let sending = call.send(cluster.nodes[0].callers);
    let answer = tokio::time::timeout(Duration::from_millis(500), sending).await;
    assert!(answer.is_err(), "answered before the caller disconnected");
    cluster.table.set_down(false);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert!(cluster.table.rows("sloetrail_batches").is_empty());
    assert_eq!(runs_of(&cluster, "b1"), 0);
}
