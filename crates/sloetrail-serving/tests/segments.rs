//! Segments of results name the engine and the version that generated each event, also after the
//! loss of owners and engines and when texts of an earlier batch are reused.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::batch;
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, eventually};
use sloetrail_serving_testkit::engine::{EventRecord, FakeEngine};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use support::{accepted, assert_each_once, items, lease_holder, usual_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Enough that a text is still incomplete after three checkpoints, also on a busy machine.
const LONG_TEXT_EVENTS: u64 = 300;
const CHECKPOINTS: &str = "sloetrail_checkpoints";

type EngineEvents = BTreeMap<String, BTreeSet<EventRecord>>;

/// The events that each engine recorded as generated.
fn recorded_events(cluster: &Cluster) -> EngineEvents {
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

/// Asserts that the segments of a result cover each event of its text, match the engines'
/// records, and that adjacent segments differ in engine or version.
fn assert_segments_match(recorded: &EngineEvents, result: &Value) {
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
            assert!(
                recorded[engine].contains(&event),
                "{engine} did not generate {event:?}"
            );
        }
    }
    assert_eq!(number as usize, text.lines().count(), "{result}");
    let mut pairs = segments.windows(2);
    let are_distinct = pairs.all(|pair| {
        pair[0]["engine"] != pair[1]["engine"] || pair[0]["version"] != pair[1]["version"]
    });
    assert!(are_distinct, "{result}");
}

fn assert_all_segments_match(cluster: &Cluster, results: &[Value]) {
    let recorded = recorded_events(cluster);
    for result in results {
        assert_segments_match(&recorded, result);
    }
}

fn count_with_several_engines(results: &[Value]) -> usize {
    let several = |result: &&Value| engines_of(result).len() > 1;
    results.iter().filter(several).count()
}

async fn wait_for_runs(cluster: &Cluster, count: usize) {
    let are_running = || async {
        let engines = cluster.engines.iter();
        let runs: usize = engines.map(|engine| engine.runs().len()).sum();
        (runs >= count).then_some(())
    };
    eventually("the items run", are_running).await;
}

async fn wait_for_checkpoints(cluster: &Cluster, count: usize) {
    let are_written = || async { (cluster.table.rows(CHECKPOINTS).len() >= count).then_some(()) };
    eventually("checkpoints are written", are_written).await;
}

fn model_engines(cluster: &Cluster) -> Vec<Arc<FakeEngine>> {
    let engines = cluster.engines.iter();
    let of_models = engines.filter(|engine| engine.service == "models");
    of_models.cloned().collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_change_within_a_text_starts_a_segment() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    accepted(&cluster, 0, "b1", &batch(&items(8, 60), MODEL, 1)).await;
    wait_for_runs(&cluster, 8).await;
    tokio::time::sleep(EVENT_INTERVAL * 10).await;
    for engine in model_engines(&cluster) {
        engine.force_version(MODEL, 2);
    }
    let results = cluster.wait_results(0, "b1", 8).await;
    assert_each_once(&results, 8);
    assert_all_segments_match(&cluster, &results);
    let of_both = |result: &&Value| {
        result["segments"]
            .as_array()
            .is_some_and(|all| all.len() > 1)
    };
    assert!(results.iter().filter(of_both).count() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_continued_by_a_new_owner_name_each_engine() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    let owner = lease_holder(&cluster).await;
    let other = 1 - owner;
    accepted(
        &cluster,
        other,
        "b1",
        &batch(&items(8, LONG_TEXT_EVENTS), MODEL, 1),
    )
    .await;
    wait_for_checkpoints(&cluster, 24).await;
    let lost_engine = &model_engines(&cluster)[0];
    lost_engine.crash();
    cluster.unlist(lost_engine);
    for engine in model_engines(&cluster) {
        engine.force_version(MODEL, 2);
    }
    cluster.nodes[owner].kill();
    let results = cluster.wait_results(other, "b1", 8).await;
    assert_each_once(&results, 8);
    assert_all_segments_match(&cluster, &results);
    assert!(count_with_several_engines(&results) > 0, "{results:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_that_change_engines_name_both() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    accepted(&cluster, 0, "b1", &batch(&items(8, 60), MODEL, 1)).await;
    wait_for_runs(&cluster, 8).await;
    tokio::time::sleep(EVENT_INTERVAL * 10).await;
    let lost_engine = &model_engines(&cluster)[0];
    lost_engine.crash();
    cluster.unlist(lost_engine);
    let results = cluster.wait_results(1, "b1", 8).await;
    assert_each_once(&results, 8);
    assert_all_segments_match(&cluster, &results);
    assert!(count_with_several_engines(&results) > 0, "{results:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_texts_name_the_engines_of_both_batches() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    accepted(&cluster, 0, "b1", &batch(&items(8, 80), MODEL, 1)).await;
    wait_for_runs(&cluster, 8).await;
    tokio::time::sleep(EVENT_INTERVAL * 20).await;
    assert_eq!(cluster.end(0, "b1").await.expect("an answer").status, 200);
    let lost_engine = &model_engines(&cluster)[0];
    let is_idle = || async {
        let runs = lost_engine.runs();
        runs.iter().all(|run| run.ended.is_some()).then_some(())
    };
    eventually("its runs are closed", is_idle).await;
    lost_engine.crash();
    cluster.unlist(lost_engine);
    let other = batch(&items(8, 80), MODEL, 1);
    accepted(&cluster, 0, "b2", &other).await;
    let results = cluster.wait_results(1, "b2", 8).await;
    assert_each_once(&results, 8);
    assert_all_segments_match(&cluster, &results);
    assert!(count_with_several_engines(&results) > 0, "{results:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_texts_name_all_engines_after_owner_loss() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    let owner = lease_holder(&cluster).await;
    let other = 1 - owner;
    accepted(
        &cluster,
        other,
        "b1",
        &batch(&items(8, LONG_TEXT_EVENTS), MODEL, 1),
    )
    .await;
    wait_for_runs(&cluster, 8).await;
    tokio::time::sleep(EVENT_INTERVAL * 20).await;
    assert_eq!(
        cluster.end(other, "b1").await.expect("an answer").status,
        200
    );
    let b1_checkpoints = cluster.table.rows(CHECKPOINTS).len();
    accepted(
        &cluster,
        other,
        "b2",
        &batch(&items(8, LONG_TEXT_EVENTS), MODEL, 1),
    )
    .await;
    wait_for_checkpoints(&cluster, b1_checkpoints + 16).await;
    let lost_engine = &model_engines(&cluster)[0];
    lost_engine.crash();
    cluster.unlist(lost_engine);
    cluster.nodes[owner].kill();
    let results = cluster.wait_results(other, "b2", 8).await;
    assert_each_once(&results, 8);
    assert_all_segments_match(&cluster, &results);
    assert!(count_with_several_engines(&results) > 0, "{results:?}");
}
