//! Readers of results that give a waiting time.

mod support;

use serde_json::Value;
use sloetrail_serving::dialect::CallerPaths;
use sloetrail_serving_testkit::client::{Answer, Call, batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually};
use std::time::Duration;
use support::{accepted, usual_cluster};
use tokio::time::Instant;

/// One event of an engine.
const PACE: Duration = Duration::from_millis(4);
/// What a reader allows.
const WAIT: Duration = Duration::from_millis(1_000);

/// Three groups of which the trainer waits for two: one of single events, one that takes
/// half a second and one that takes many.
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

/// The batch has this many results.
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
async fn a_reader_is_answered_when_the_groups_that_are_waited_for_are_whole() {
    let cluster = usual_cluster(PACE).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 1).await;
    let began = Instant::now();
    let answer = read_waiting(&cluster, "b1", 0, WAIT).await;
    let was_kept = began.elapsed() >= WAIT / 2;
    let has_both = ids(&answer).len() == 4;
    assert!(
        has_both || was_kept,
        "answered before anything of use was there: {:?}",
        ids(&answer)
    );
    wait_listed(&cluster, "b1", 4).await;
    let again = read_waiting(&cluster, "b1", 0, WAIT).await;
    assert_eq!(ids(&again).len(), 4);
    let told = again.json()["results"].to_string();
    assert!(!told.contains("whole"), "kept with the entries only");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_without_a_waiting_time_gets_what_there_is() {
    let cluster = usual_cluster(PACE * 10).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 3).await;
    let answer = read_waiting(&cluster, "b1", 0, Duration::ZERO).await;
    assert_eq!(ids(&answer).len(), 3, "the other group takes five seconds");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_table_that_goes_away_while_a_reader_waits_keeps_nothing_from_it() {
    let cluster = usual_cluster(PACE * 10).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 3).await;
    let reading = read_waiting(&cluster, "b1", 0, WAIT);
    let going_away = async {
        tokio::time::sleep(WAIT / 5).await;
        cluster.table.set_down(true);
    };
    let (answer, ()) = tokio::join!(reading, going_away);
    assert_eq!(answer.status, 200);
    assert_eq!(ids(&answer).len(), 3);
}

/// Longer than any reader may be kept, shorter than calls of the table are waited for.
const SLOW: Duration = Duration::from_millis(1_600);
/// What a reader is kept for beyond its time, on a busy machine.
const MARGIN: Duration = Duration::from_millis(400);

/// How long a reader from `after` on is kept by a node whose table becomes slow meanwhile.
async fn kept_while_the_table_turns_slow(cluster: &Cluster, after: usize) -> (Answer, Duration) {
    let began = Instant::now();
    let reading = read_waiting(cluster, "b1", after, WAIT);
    let turning_slow = async {
        tokio::time::sleep(WAIT / 5).await;
        cluster.nodes[0].link.set_answer_time(SLOW);
    };
    let (answer, ()) = tokio::join!(reading, turning_slow);
    (answer, began.elapsed())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_with_results_is_kept_no_longer_than_it_waits_by_a_table_that_turns_slow() {
    let cluster = usual_cluster(PACE * 10).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 3).await;
    let (answer, kept) = kept_while_the_table_turns_slow(&cluster, 0).await;
    assert_eq!(answer.status, 200);
    assert_eq!(ids(&answer).len(), 3);
    assert!(kept < WAIT + MARGIN, "{kept:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_without_results_is_kept_no_longer_than_it_waits_by_a_table_that_turns_slow() {
    let cluster = usual_cluster(PACE * 10).await;
    accepted(&cluster, 0, "b1", &step()).await;
    wait_listed(&cluster, "b1", 3).await;
    let (answer, kept) = kept_while_the_table_turns_slow(&cluster, 3).await;
    assert_eq!(answer.status, 200);
    assert!(ids(&answer).is_empty());
    assert_eq!(answer.json()["next"], 3);
    assert!(kept < WAIT + MARGIN, "{kept:?}");
}
