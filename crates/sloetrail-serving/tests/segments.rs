//! Results name which engine made which events under which version, also where owners
//! die, engines go and texts come from an earlier batch.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::batch;
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, eventually};
use sloetrail_serving_testkit::engine::{EngineStandIn, EventRecord};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use support::{accepted, assert_each_once, items, lease_holder, usual_cluster};

const PACE: Duration = Duration::from_millis(15);
/// Events of a text that is still being made, also on a busy machine, after three pieces of it
/// were kept: 4.5 s.
const LONG: u64 = 300;
const CHECKPOINTS: &str = "sloetrail_checkpoints";

type Made = BTreeMap<String, BTreeSet<EventRecord>>;

/// What each engine wrote down of the events that it made.
fn made(cluster: &Cluster) -> Made {
    let engines = cluster.engines.iter();
    engines
        .map(|engine| (engine.id.clone(), engine.events()))
        .collect()
}

/// The engines that a result names.
fn engines_of(result: &Value) -> BTreeSet<String> {
    let segments = result["segments"].as_array().expect("segments");
    let engine = |segment: &Value| segment["engine"].as_str().expect("an engine").to_owned();
    segments.iter().map(engine).collect()
}

/// Asserts that the segments of a result cover each event of its text, that the engines
/// wrote down having made them so, and that no two that follow each other are the same.
fn assert_true_segments(made: &Made, result: &Value) {
    let id = result["id"].as_str().expect("an id");
    let text = result["text"].as_str().expect("a text");
    let segments = result["segments"].as_array().expect("segments");
    let mut number = 0;
    for segment in segments {
        let engine = segment["engine"].as_str().expect("an engine");
        let version = segment["version"].as_u64().expect("a version");
        for _ in 0..segment["events"].as_u64().expect("a number") {
            number += 1;
            let event = EventRecord {
                id: id.to_owned(),
                number,
                version,
            };
            assert!(made[engine].contains(&event), "{event:?} not of {engine}");
        }
    }
    assert_eq!(number as usize, text.lines().count(), "{result}");
    let mut pairs = segments.windows(2);
    let is_joined = pairs.all(|pair| {
        pair[0]["engine"] != pair[1]["engine"] || pair[0]["version"] != pair[1]["version"]
    });
    assert!(is_joined, "{result}");
}

fn assert_all_true(cluster: &Cluster, results: &[Value]) {
    let made = made(cluster);
    for result in results {
        assert_true_segments(&made, result);
    }
}

fn of_several_engines(results: &[Value]) -> usize {
    let several = |result: &&Value| engines_of(result).len() > 1;
    results.iter().filter(several).count()
}

async fn wait_running(cluster: &Cluster, count: usize) {
    let are_running = || async {
        let engines = cluster.engines.iter();
        let runs: usize = engines.map(|engine| engine.runs().len()).sum();
        (runs >= count).then_some(())
    };
    eventually("the items run", are_running).await;
}

async fn wait_kept(cluster: &Cluster, count: usize) {
    let are_kept = || async { (cluster.table.rows(CHECKPOINTS).len() >= count).then_some(()) };
    eventually("texts are kept", are_kept).await;
}

fn model_engines(cluster: &Cluster) -> Vec<Arc<EngineStandIn>> {
    let engines = cluster.engines.iter();
    let of_models = engines.filter(|engine| engine.service == "models");
    of_models.cloned().collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_changes_within_a_text_begins_a_segment() {
    let cluster = usual_cluster(PACE).await;
    accepted(&cluster, 0, "b1", &batch(&items(8, 60), MODEL, 1)).await;
    wait_running(&cluster, 8).await;
    tokio::time::sleep(PACE * 10).await;
    for engine in model_engines(&cluster) {
        engine.force_version(MODEL, 2);
    }
    let results = cluster.wait_results(0, "b1", 8).await;
    assert_each_once(&results, 8);
    assert_all_true(&cluster, &results);
    let of_both = |result: &&Value| {
        result["segments"]
            .as_array()
            .is_some_and(|all| all.len() > 1)
    };
    assert!(results.iter().filter(of_both).count() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_that_go_on_after_their_owner_was_killed_name_each_engine() {
    let mut cluster = usual_cluster(PACE).await;
    let owner = lease_holder(&cluster).await;
    let other = 1 - owner;
    accepted(&cluster, other, "b1", &batch(&items(8, LONG), MODEL, 1)).await;
    wait_kept(&cluster, 24).await;
    let gone = &model_engines(&cluster)[0];
    gone.crash();
    cluster.unlist(gone);
    for engine in model_engines(&cluster) {
        engine.force_version(MODEL, 2);
    }
    cluster.nodes[owner].kill();
    let results = cluster.wait_results(other, "b1", 8).await;
    assert_each_once(&results, 8);
    assert_all_true(&cluster, &results);
    assert!(of_several_engines(&results) > 0, "{results:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_that_move_to_another_engine_name_both() {
    let cluster = usual_cluster(PACE).await;
    accepted(&cluster, 0, "b1", &batch(&items(8, 60), MODEL, 1)).await;
    wait_running(&cluster, 8).await;
    tokio::time::sleep(PACE * 10).await;
    let gone = &model_engines(&cluster)[0];
    gone.crash();
    cluster.unlist(gone);
    let results = cluster.wait_results(1, "b1", 8).await;
    assert_each_once(&results, 8);
    assert_all_true(&cluster, &results);
    assert!(of_several_engines(&results) > 0, "{results:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_that_an_earlier_batch_left_over_name_its_engines() {
    let cluster = usual_cluster(PACE).await;
    accepted(&cluster, 0, "b1", &batch(&items(8, 80), MODEL, 1)).await;
    wait_running(&cluster, 8).await;
    tokio::time::sleep(PACE * 20).await;
    assert_eq!(cluster.end(0, "b1").await.expect("an answer").status, 200);
    let gone = &model_engines(&cluster)[0];
    let is_idle = || async {
        let runs = gone.runs();
        runs.iter().all(|run| run.ended.is_some()).then_some(())
    };
    eventually("its runs are closed", is_idle).await;
    gone.crash();
    cluster.unlist(gone);
    let other = batch(&items(8, 80), MODEL, 1);
    accepted(&cluster, 0, "b2", &other).await;
    let results = cluster.wait_results(1, "b2", 8).await;
    assert_each_once(&results, 8);
    assert_all_true(&cluster, &results);
    assert!(of_several_engines(&results) > 0, "{results:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_left_over_and_taken_over_name_the_engines_of_both_batches() {
    let mut cluster = usual_cluster(PACE).await;
    let owner = lease_holder(&cluster).await;
    let other = 1 - owner;
    accepted(&cluster, other, "b1", &batch(&items(8, LONG), MODEL, 1)).await;
    wait_running(&cluster, 8).await;
    tokio::time::sleep(PACE * 20).await;
    assert_eq!(
        cluster.end(other, "b1").await.expect("an answer").status,
        200
    );
    let b1_kept = cluster.table.rows(CHECKPOINTS).len();
    accepted(&cluster, other, "b2", &batch(&items(8, LONG), MODEL, 1)).await;
    wait_kept(&cluster, b1_kept + 16).await;
    let gone = &model_engines(&cluster)[0];
    gone.crash();
    cluster.unlist(gone);
    cluster.nodes[owner].kill();
    let results = cluster.wait_results(other, "b2", 8).await;
    assert_each_once(&results, 8);
    assert_all_true(&cluster, &results);
    assert!(of_several_engines(&results) > 0, "{results:?}");
}
