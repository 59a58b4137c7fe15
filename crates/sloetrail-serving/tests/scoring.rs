//! Scoring of complete texts: limited by free slots, oldest batch first, without starving live
//! requests.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::{batch, with_reward};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use std::sync::Arc;
use std::time::Duration;
use support::{items, live, native_cluster};

const TEXT_EVENT_INTERVAL: Duration = Duration::from_millis(1);
/// Slots that one node may use at one application.
const SLOTS: usize = 8;

async fn cluster_with_one_application(event_interval: Duration) -> (Cluster, Arc<FakeEngine>) {
    let mut cluster = native_cluster();
    let application = cluster.add_application("zone-a").await;
    application.set_event_interval(event_interval);
    cluster.add_engine(TEXT_EVENT_INTERVAL).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    (cluster, application)
}

/// Submits a batch of texts of a single event, each with a reward call.
async fn submit(cluster: &Cluster, id: &str, count: usize) {
    let with_unique_id = |mut item: Value| {
        let original = item["id"].as_str().expect("an id").to_owned();
        item["id"] = Value::from(format!("{id}-{original}"));
        with_reward(item, HOST)
    };
    let rewarded: Vec<Value> = items(count, 1).into_iter().map(with_unique_id).collect();
    let answer = cluster.submit(0, id, &batch(&rewarded, MODEL, 1)).await;
    assert_eq!(answer.expect("an answer").status, 202);
}

#[tokio::test(flavor = "multi_thread")]
async fn texts_of_the_oldest_batch_are_scored_first() {
    const OLDER_TEXTS: usize = 160;
    const NEWER_TEXTS: usize = 60;
    let (cluster, application) = cluster_with_one_application(Duration::from_millis(60)).await;
    submit(&cluster, "old", OLDER_TEXTS).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    submit(&cluster, "young", NEWER_TEXTS).await;
    cluster.wait_results(0, "old", OLDER_TEXTS).await;
    cluster.wait_results(0, "young", NEWER_TEXTS).await;
    let runs = application.runs();
    let is_old = |id: &str| id.starts_with("reward-old");
    let last_old = runs
        .iter()
        .rposition(|run| is_old(&run.id))
        .expect("scored");
    let before = &runs[..last_old];
    let overtakers = before.iter().filter(|run| !is_old(&run.id)).count();
    assert!(
        overtakers <= SLOTS,
        "{overtakers} texts of the newer batch were scored earlier"
    );
    assert_eq!(
        runs.len(),
        OLDER_TEXTS + NEWER_TEXTS,
        "each text must be scored once"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_hundreds_of_texts_wait() {
    const TEXTS: usize = 300;
    let (cluster, _application) = cluster_with_one_application(Duration::from_millis(40)).await;
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
async fn waiting_texts_back_off_while_applications_refuse() {
    const TEXTS: usize = 100;
    let (cluster, application) = cluster_with_one_application(Duration::from_millis(5)).await;
    application.set_fault(EngineFault::Refuses, None);
    submit(&cluster, "b1", TEXTS).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = application.arrivals().len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = application.arrivals().len() - before;
    assert!(calls <= 50, "{calls} reward calls in one second");
    application.set_fault(EngineFault::None, None);
    let results = cluster.wait_results(0, "b1", TEXTS).await;
    assert!(results.iter().all(|result| result["state"] == "succeeded"));
}
