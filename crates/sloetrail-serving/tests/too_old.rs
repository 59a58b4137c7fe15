//! Readers that state the oldest version that their trainer accepts: results with older events
//! are reported as `too_old`.

mod support;

use http::Method;
use serde_json::{Value, json};
use sloetrail_serving::dialect::CallerPaths;
use sloetrail_serving_testkit::client::{Answer, Call, batch};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually};
use std::time::Duration;
use support::{accepted, assert_each_once, items, lease_holder, usual_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(4);
const RESULTS: &str = "sloetrail_results";

/// Reads one page of results for a trainer that accepts `oldest` and newer versions.
async fn page_accepting(cluster: &Cluster, node: usize, after: usize, oldest: &str) -> Answer {
    let batches = CallerPaths::default().batches;
    let path = format!("{batches}b1?after={after}&oldest_version={oldest}");
    Call::new(Method::GET, HOST, path)
        .send(cluster.nodes[node].callers)
        .await
        .expect("an answer")
}

/// Reads all listed results for a trainer that accepts `oldest` and newer versions.
async fn read_accepting(cluster: &Cluster, node: usize, oldest: u64) -> Vec<Value> {
    let mut results: Vec<Value> = Vec::new();
    loop {
        let answer = page_accepting(cluster, node, results.len(), &oldest.to_string()).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        let page = answer.json();
        let reported = page["results"].as_array().expect("results").clone();
        assert_eq!(page["next"], json!(results.len() + reported.len()));
        if reported.is_empty() {
            return results;
        }
        results.extend(reported);
    }
}

fn ids(results: &[Value]) -> Vec<&Value> {
    results.iter().map(|result| &result["id"]).collect()
}

/// The oldest version that generated an event of a result.
fn oldest_of(result: &Value) -> u64 {
    let versions = result["versions"].as_array().expect("versions");
    let numbers = versions.iter().filter_map(Value::as_u64);
    numbers.min().expect("a version")
}

/// Asserts that `reported` is `listed` with results older than `oldest` reduced to `too_old`.
fn assert_reported_for(listed: &[Value], reported: &[Value], oldest: u64) {
    assert_eq!(
        ids(reported),
        ids(listed),
        "positions must match the listed results"
    );
    for (listed, reported) in listed.iter().zip(reported) {
        if oldest_of(listed) >= oldest {
            assert_eq!(reported, listed);
            continue;
        }
        let expected = json!({
            "id": listed["id"], "state": "too_old", "text": "", "versions": listed["versions"],
        });
        assert_eq!(reported, &expected);
    }
}

fn count_too_old(reported: &[Value]) -> usize {
    let too_old = |result: &&Value| result["state"] == "too_old";
    reported.iter().filter(too_old).count()
}

fn rows(cluster: &Cluster) -> Vec<(String, Vec<u8>)> {
    let rows = cluster.table.rows(RESULTS).into_iter();
    rows.map(|row| (row.address.key.clone(), row.value.to_vec()))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn too_old_results_lose_text_but_keep_their_row() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    accepted(&cluster, 0, "b1", &batch(&items(6, 4), MODEL, 1)).await;
    let listed = cluster.wait_results(0, "b1", 6).await;
    let before = rows(&cluster);
    let reported = read_accepting(&cluster, 1, 2).await;
    assert_reported_for(&listed, &reported, 2);
    assert_eq!(count_too_old(&reported), 6);
    assert_eq!(rows(&cluster), before);
    assert_eq!(read_accepting(&cluster, 1, 1).await, listed);
    assert_eq!(cluster.wait_results(1, "b1", 6).await, listed);
}

#[tokio::test(flavor = "multi_thread")]
async fn too_old_texts_stay_hidden_after_failovers() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
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
    let reported = read_accepting(&cluster, other, 2).await;
    assert_reported_for(&listed, &reported, 2);
    let too_old = count_too_old(&reported);
    assert!((early.len()..30).contains(&too_old), "{too_old} of 30");
    let third = cluster.add_node("node-3").await;
    cluster.wait_ready(third).await;
    cluster.nodes[other].kill();
    assert_eq!(read_accepting(&cluster, third, 2).await, reported);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_result_can_become_too_old_on_later_reads() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    cluster.publish(2);
    accepted(&cluster, 0, "b1", &batch(&items(4, 4), MODEL, 2)).await;
    let listed = cluster.wait_results(0, "b1", 4).await;
    for oldest in [1, 2, 3] {
        let reported = read_accepting(&cluster, 1, oldest).await;
        assert_reported_for(&listed, &reported, oldest);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_items_are_not_reported_as_too_old() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    accepted(&cluster, 0, "b1", &batch(&items(3, 2), MODEL, 9)).await;
    cluster.table.advance_clock(Duration::from_secs(35));
    let dead = cluster.wait_results(0, "b1", 3).await;
    assert!(dead.iter().all(|result| result["state"] == "dead"));
    assert_eq!(read_accepting(&cluster, 1, 9).await, dead);
}

#[tokio::test(flavor = "multi_thread")]
async fn unparsable_versions_are_refused_not_ignored() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    accepted(&cluster, 0, "b1", &batch(&items(2, 2), MODEL, 1)).await;
    cluster.wait_results(0, "b1", 2).await;
    for unparsable in ["", "two", "-1", "1.5"] {
        let answer = page_accepting(&cluster, 0, 0, unparsable).await;
        assert_eq!(answer.status, 400, "{unparsable:?}: {}", answer.text());
        assert_eq!(answer.json()["code"], 1003);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_readers_get_results_for_their_version() {
    const WAIT_MS: &str = "900";
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    accepted(&cluster, 0, "b1", &batch(&items(4, 60), MODEL, 1)).await;
    let has_event = || async {
        let mut engines = cluster.engines.iter();
        engines
            .any(|engine| !engine.events().is_empty())
            .then_some(())
    };
    eventually("an event is generated", has_event).await;
    let path = format!(
        "{}b1?after=0&oldest_version=2",
        CallerPaths::default().batches
    );
    let answer = Call::new(Method::GET, HOST, path)
        .header(&cluster.names().wait_ms, WAIT_MS)
        .send(cluster.nodes[1].callers)
        .await
        .expect("an answer");
    let reported = answer.json()["results"]
        .as_array()
        .expect("results")
        .clone();
    assert!(
        !reported.is_empty(),
        "results must be listed within the wait"
    );
    let listed = cluster.wait_results(0, "b1", reported.len()).await;
    assert_reported_for(&listed[..reported.len()], &reported, 2);
}
