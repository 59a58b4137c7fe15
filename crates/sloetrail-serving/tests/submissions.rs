//! Batches that are submitted while the table does not answer.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::{Answer, batch, item, submission};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL};
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::time::{Duration, Instant};
use support::client_cluster;

/// Long enough for a node to know that the table does not answer.
const KNOWN_AFTER: Duration = Duration::from_millis(1_500);
/// The time of the route.
const ROUTE_TIME: Duration = Duration::from_secs(5);

/// One node with an engine, whose calls to the table know of its absence.
async fn cluster_of_one(body_budget_bytes: Option<usize>) -> Cluster {
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
        .expect("when to come back");
    text.to_str().expect("text").parse().expect("seconds")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_sent_in_an_outage_is_accepted_when_the_outage_ends() {
    let cluster = cluster_of_one(None).await;
    cluster.table.set_down(true);
    tokio::time::sleep(KNOWN_AFTER).await;
    let ending = async {
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        cluster.table.set_down(false);
    };
    let body = small_batch("b1");
    let (answer, ()) = tokio::join!(cluster.submit(0, "b1", &body), ending);
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 202, "{}", answer.text());
    assert_eq!(cluster.wait_results(0, "b1", 4).await.len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_whose_outage_lasts_is_refused_with_half_of_the_time_left() {
    let cluster = cluster_of_one(None).await;
    cluster.table.set_down(true);
    tokio::time::sleep(KNOWN_AFTER).await;
    let began = Instant::now();
    let answer = cluster.submit(0, "b1", &small_batch("b1")).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.text());
    let left = ROUTE_TIME - began.elapsed();
    assert!(left > ROUTE_TIME / 2, "{left:?} left");
    let retry_after = retry_after(&answer);
    assert!(
        retry_after <= left.as_secs_f64() / 3.0,
        "callers heed {retry_after} s"
    );
    cluster.table.set_down(false);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(runs_of(&cluster, "b1"), 0, "refused as not run");
}

#[tokio::test(flavor = "multi_thread")]
async fn batches_that_wait_leave_room_for_live_requests() {
    const BUDGET: usize = 200_000;
    let cluster = cluster_of_one(Some(BUDGET)).await;
    cluster.table.set_down(true);
    tokio::time::sleep(KNOWN_AFTER).await;
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
async fn nothing_runs_for_a_caller_that_leaves_while_its_batch_waits() {
    let cluster = cluster_of_one(None).await;
    cluster.table.set_down(true);
    tokio::time::sleep(KNOWN_AFTER).await;
    let call = submission(&cluster.names(), HOST, "b1", &small_batch("b1"));
    let sending = call.send(cluster.nodes[0].callers);
    let left = tokio::time::timeout(Duration::from_millis(500), sending).await;
    assert!(left.is_err(), "it left before the answer");
    cluster.table.set_down(false);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert!(cluster.table.rows("sloetrail_batches").is_empty());
    assert_eq!(runs_of(&cluster, "b1"), 0);
}
