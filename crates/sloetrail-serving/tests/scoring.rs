//! Whole texts that wait for their scores: no more at a time than there are places, the oldest
//! first, and callers' requests beside them.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::{batch, with_reward};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL};
use sloetrail_serving_testkit::engine::{EngineFault, EngineStandIn};
use std::sync::Arc;
use std::time::Duration;
use support::{items, live, native_cluster};

const TEXT_PACE: Duration = Duration::from_millis(1);
/// The places that one node may use at one application.
const PLACES: usize = 8;

async fn cluster_of_one_application(pace: Duration) -> (Cluster, Arc<EngineStandIn>) {
    let mut cluster = native_cluster();
    let application = cluster.add_application("zone-a").await;
    application.set_pace(pace);
    cluster.add_engine(TEXT_PACE).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    (cluster, application)
}

/// Submits a batch whose texts are whole at once and whose scores take their time.
async fn submit(cluster: &Cluster, id: &str, count: usize) {
    let named = |mut item: Value| {
        let own = item["id"].as_str().expect("an id").to_owned();
        item["id"] = Value::from(format!("{id}-{own}"));
        with_reward(item, HOST)
    };
    let rewarded: Vec<Value> = items(count, 1).into_iter().map(named).collect();
    let answer = cluster.submit(0, id, &batch(&rewarded, MODEL, 1)).await;
    assert_eq!(answer.expect("an answer").status, 202);
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_of_the_oldest_batch_are_scored_first() {
    const OLD: usize = 160;
    const YOUNG: usize = 60;
    let (cluster, application) = cluster_of_one_application(Duration::from_millis(60)).await;
    submit(&cluster, "old", OLD).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    submit(&cluster, "young", YOUNG).await;
    cluster.wait_results(0, "old", OLD).await;
    cluster.wait_results(0, "young", YOUNG).await;
    let runs = application.runs();
    let is_old = |id: &str| id.starts_with("reward-old");
    let last_old = runs
        .iter()
        .rposition(|run| is_old(&run.id))
        .expect("scored");
    let before = &runs[..last_old];
    let overtakers = before.iter().filter(|run| !is_old(&run.id)).count();
    assert!(overtakers <= PLACES, "{overtakers} young texts went before");
    assert_eq!(runs.len(), OLD + YOUNG, "each is scored once");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_find_places_while_hundreds_of_texts_wait() {
    const TEXTS: usize = 300;
    let (cluster, _application) = cluster_of_one_application(Duration::from_millis(40)).await;
    submit(&cluster, "b1", TEXTS).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut served = 0;
    for number in 0..20 {
        let answer = live(&cluster, 0, "/live/x", &format!("r{number}")).await;
        let status = answer.expect("an answer").status.as_u16();
        served += usize::from(status == 200);
    }
    assert_eq!(served, 20);
    cluster.wait_results(0, "b1", TEXTS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_wait_without_asking_while_no_application_takes_them() {
    const TEXTS: usize = 100;
    let (cluster, application) = cluster_of_one_application(Duration::from_millis(5)).await;
    application.set_fault(EngineFault::Refuses, None);
    submit(&cluster, "b1", TEXTS).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = application.arrivals().len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let asked = application.arrivals().len() - before;
    assert!(asked <= 50, "{asked} calls in a second");
    application.set_fault(EngineFault::None, None);
    let results = cluster.wait_results(0, "b1", TEXTS).await;
    assert!(results.iter().all(|result| result["state"] == "succeeded"));
}
