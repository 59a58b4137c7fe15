//! Readers that name the oldest version that their trainer takes now.

mod support;

use http::Method;
use serde_json::{Value, json};
use sloetrail_serving::dialect::CallerPaths;
use sloetrail_serving_testkit::client::{Answer, Call, batch};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually};
use std::time::Duration;
use support::{accepted, assert_each_once, items, lease_holder, usual_cluster};

const PACE: Duration = Duration::from_millis(4);
const RESULTS: &str = "sloetrail_results";

/// One page of results from a position on, for a trainer that takes `oldest` and newer.
async fn page_for(cluster: &Cluster, node: usize, after: usize, oldest: &str) -> Answer {
    let batches = CallerPaths::default().batches;
    let path = format!("{batches}b1?after={after}&oldest_version={oldest}");
    Call::new(Method::GET, HOST, path)
        .send(cluster.nodes[node].callers)
        .await
        .expect("an answer")
}

/// All that is listed, as such a trainer reads it.
async fn read_for(cluster: &Cluster, node: usize, oldest: u64) -> Vec<Value> {
    let mut results: Vec<Value> = Vec::new();
    loop {
        let answer = page_for(cluster, node, results.len(), &oldest.to_string()).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        let page = answer.json();
        let told = page["results"].as_array().expect("results").clone();
        assert_eq!(page["next"], json!(results.len() + told.len()));
        if told.is_empty() {
            return results;
        }
        results.extend(told);
    }
}

fn ids(results: &[Value]) -> Vec<&Value> {
    results.iter().map(|result| &result["id"]).collect()
}

/// The oldest version that made an event of a result.
fn oldest_of(result: &Value) -> u64 {
    let versions = result["versions"].as_array().expect("versions");
    let numbers = versions.iter().filter_map(Value::as_u64);
    numbers.min().expect("a version")
}

/// Asserts that `told` is what a trainer that takes `oldest` and newer may see of `listed`.
fn assert_judged(listed: &[Value], told: &[Value], oldest: u64) {
    assert_eq!(ids(told), ids(listed), "positions hold");
    for (listed, told) in listed.iter().zip(told) {
        if oldest_of(listed) >= oldest {
            assert_eq!(told, listed);
            continue;
        }
        let expected = json!({
            "id": listed["id"], "state": "too_old", "text": "", "versions": listed["versions"],
        });
        assert_eq!(told, &expected);
    }
}

fn count_too_old(told: &[Value]) -> usize {
    let too_old = |result: &&Value| result["state"] == "too_old";
    told.iter().filter(too_old).count()
}

fn rows(cluster: &Cluster) -> Vec<(String, Vec<u8>)> {
    let rows = cluster.table.rows(RESULTS).into_iter();
    rows.map(|row| (row.address.key.clone(), row.value.to_vec()))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_result_is_listed_without_its_text_and_its_row_stays() {
    let cluster = usual_cluster(PACE).await;
    accepted(&cluster, 0, "b1", &batch(&items(6, 4), MODEL, 1)).await;
    let listed = cluster.wait_results(0, "b1", 6).await;
    let before = rows(&cluster);
    let told = read_for(&cluster, 1, 2).await;
    assert_judged(&listed, &told, 2);
    assert_eq!(count_too_old(&told), 6);
    assert_eq!(rows(&cluster), before);
    assert_eq!(read_for(&cluster, 1, 1).await, listed);
    assert_eq!(cluster.wait_results(1, "b1", 6).await, listed);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_trainer_that_goes_on_while_owner_and_node_die_sees_nothing_too_old() {
    let mut cluster = usual_cluster(PACE).await;
    let owner = lease_holder(&cluster).await;
    let other = 1 - owner;
    accepted(&cluster, other, "b1", &batch(&items(30, 40), MODEL, 1)).await;
    let early = cluster.wait_results(other, "b1", 4).await;
    for engine in &cluster.engines {
        if engine.service == "models" {
            engine.force_version(MODEL, 2);
        }
    }
    cluster.nodes[owner].kill();
    let listed = cluster.wait_results(other, "b1", 30).await;
    assert_each_once(&listed, 30);
    let told = read_for(&cluster, other, 2).await;
    assert_judged(&listed, &told, 2);
    let too_old = count_too_old(&told);
    assert!((early.len()..30).contains(&too_old), "{too_old} of 30");
    let third = cluster.add_node("node-3").await;
    cluster.wait_ready(third).await;
    cluster.nodes[other].kill();
    assert_eq!(read_for(&cluster, third, 2).await, told);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_result_that_was_taken_may_be_too_old_when_it_is_read_again() {
    let cluster = usual_cluster(PACE).await;
    cluster.publish(2);
    accepted(&cluster, 0, "b1", &batch(&items(4, 4), MODEL, 2)).await;
    let listed = cluster.wait_results(0, "b1", 4).await;
    for oldest in [1, 2, 3] {
        let told = read_for(&cluster, 1, oldest).await;
        assert_judged(&listed, &told, oldest);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_was_given_up_stays_dead() {
    let cluster = usual_cluster(PACE).await;
    accepted(&cluster, 0, "b1", &batch(&items(3, 2), MODEL, 9)).await;
    cluster.table.advance_clock(Duration::from_secs(35));
    let dead = cluster.wait_results(0, "b1", 3).await;
    assert!(dead.iter().all(|result| result["state"] == "dead"));
    assert_eq!(read_for(&cluster, 1, 9).await, dead);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_cannot_be_read_is_refused_and_not_left_out() {
    let cluster = usual_cluster(PACE).await;
    accepted(&cluster, 0, "b1", &batch(&items(2, 2), MODEL, 1)).await;
    cluster.wait_results(0, "b1", 2).await;
    for unreadable in ["", "two", "-1", "1.5"] {
        let answer = page_for(&cluster, 0, 0, unreadable).await;
        assert_eq!(answer.status, 400, "{unreadable:?}: {}", answer.text());
        assert_eq!(answer.json()["code"], 1003);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_waits_is_judged_by_the_version_that_it_named() {
    const WAIT_MS: &str = "900";
    let cluster = usual_cluster(PACE).await;
    accepted(&cluster, 0, "b1", &batch(&items(4, 60), MODEL, 1)).await;
    let has_begun = || async {
        let mut engines = cluster.engines.iter();
        engines
            .any(|engine| !engine.events().is_empty())
            .then_some(())
    };
    eventually("an event is made", has_begun).await;
    let path = format!(
        "{}b1?after=0&oldest_version=2",
        CallerPaths::default().batches
    );
    let answer = Call::new(Method::GET, HOST, path)
        .header(&cluster.names().wait_ms, WAIT_MS)
        .send(cluster.nodes[1].callers)
        .await
        .expect("an answer");
    let told = answer.json()["results"]
        .as_array()
        .expect("results")
        .clone();
    assert!(!told.is_empty(), "they take a quarter of a second");
    let listed = cluster.wait_results(0, "b1", told.len()).await;
    assert_judged(&listed[..told.len()], &told, 2);
}
