//! Reads of results with a waiting time.

mod support;

use serde_json::Value;
use sloetrail_serving::dialect::CallerPaths;
use sloetrail_serving_testkit::client::{Answer, Call, batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually};
use std::time::Duration;
use support::{accepted, usual_cluster};
use tokio::time::Instant;

const EVENT_INTERVAL: Duration = Duration::from_millis(4);
/// Waiting time of the reader.
const WAIT: Duration = Duration::from_millis(1_000);

/// Builds a batch of three groups of which the trainer requires two. One group has single events,
/// one takes half a second, and one takes many seconds.
fn step() -> Value {
    let items = [
        item("a1", "a", 1),
        item("a2", "a", 1),
        item("b1", "b", 1),
        item("b2", "b", 120),
        item("c1", "c", 5_000),
    ];
    let mut step = batch(&items, MODEL, 1);
    step["desired"] = Value::from(2);
    step
}

async fn read_waiting(cluster: &Cluster, id: &str, after: usize, wait: Duration) -> Answer {
    let path = format!("{}{id}?after={after}", CallerPaths::default().batches);
    Call::new(http::Method::GET, HOST, path)
        .header(&cluster.names().wait_ms, &wait.as_millis().to_string())
        .send(cluster.nodes[0].callers)
        .await
        .expect("an answer")
}

/// Waits until at least `count` results of the batch are listed.
async fn wait_listed(cluster: &Cluster, id: &str, count: usize) {
    eventually("results are listed", || async {
        let page = cluster.read(0, id, 0).await?;
        (page["results"].as_array()?.len() >= count).then_some(())
    })
    .await;
}

fn ids(answer: &Answer) -> Vec<String> {
    let page = answer.json();
    let results = page["results"].as_array().expect("results");
    let id = |result: &Value| result["id"].as_str().expect("an id").to_owned();
    results.iter().map(id).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_waits_for_the_required_groups() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 1).await;
    let started_at = Instant::now();
    let answer = read_waiting(&cluster, "b1", 0, WAIT).await;
    let has_waited = started_at.elapsed() >= WAIT / 2;
    let has_both = ids(&answer).len() == 4;
    assert!(
        has_both || has_waited,
        "answered before the required groups were complete: {:?}",
        ids(&answer)
    );
    wait_listed(&cluster, "b1", 4).await;
    let again = read_waiting(&cluster, "b1", 0, WAIT).await;
    assert_eq!(ids(&again).len(), 4);
    let results = again.json()["results"].to_string();
    assert!(!results.contains("whole"), "stored but not reported");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_without_waiting_time_gets_available_results() {
    let cluster = usual_cluster(EVENT_INTERVAL * 10).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 3).await;
    let answer = read_waiting(&cluster, "b1", 0, Duration::ZERO).await;
    assert_eq!(ids(&answer).len(), 3, "the unfinished group takes longer");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_table_outage_returns_results_already_read() {
    let cluster = usual_cluster(EVENT_INTERVAL * 10).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 3).await;
    let reading = read_waiting(&cluster, "b1", 0, WAIT);
    let outage = async {
        tokio::time::sleep(WAIT / 5).await;
        cluster.table.set_down(true);
    };
    let (answer, ()) = tokio::join!(reading, outage);
    assert_eq!(answer.status, 200);
    assert_eq!(ids(&answer).len(), 3);
}

/// Answer time of the slow table: longer than the reader's wait, shorter than the timeout of table
/// calls.
const SLOW: Duration = Duration::from_millis(1_600);
/// Tolerance beyond the waiting time, for a busy machine.
const MARGIN: Duration = Duration::from_millis(400);

/// Reads from position `after` while the table becomes slow. Returns the answer and the elapsed
/// time.
async fn read_while_table_slows(cluster: &Cluster, after: usize) -> (Answer, Duration) {
    let started_at = Instant::now();
    let reading = read_waiting(cluster, "b1", after, WAIT);
    let slowdown = async {
        tokio::time::sleep(WAIT / 5).await;
        cluster.nodes[0].link.set_answer_time(SLOW);
    };
    let (answer, ()) = tokio::join!(reading, slowdown);
    (answer, started_at.elapsed())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_table_delays_no_reader_with_results() {
    let cluster = usual_cluster(EVENT_INTERVAL * 10).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 3).await;
    let (answer, elapsed) = read_while_table_slows(&cluster, 0).await;
    assert_eq!(answer.status, 200);
    assert_eq!(ids(&answer).len(), 3);
    assert!(elapsed < WAIT + MARGIN, "{elapsed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_table_delays_no_reader_without_results() {
    let cluster = usual_cluster(EVENT_INTERVAL * 10).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 3).await;
    let (answer, elapsed) = read_while_table_slows(&cluster, 3).await;
    assert_eq!(answer.status, 200);
    assert!(ids(&answer).is_empty());
    assert_eq!(answer.json()["next"], 3);
    assert!(elapsed < WAIT + MARGIN, "{elapsed:?}");
}
