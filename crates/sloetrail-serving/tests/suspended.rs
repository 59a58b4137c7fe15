//! A node whose machine was suspended must not act on views or leases from before, although its
//! monotonic clock did not advance.

mod support;

use sloetrail_serving_testkit::cluster::{Cluster, eventually};
use std::time::Duration;
use support::{lease, lease_holder, live, native_cluster, submit_items, usual_cluster};

const SUSPENDED: Duration = Duration::from_secs(5);
/// Shorter than the time for which a resumed node waits for the table.
const EARLY_ANSWER_TIME: Duration = Duration::from_millis(300);

fn arrivals(cluster: &Cluster) -> usize {
    let engines = cluster.engines.iter();
    engines.map(|engine| engine.arrivals().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_node_sends_nothing_until_the_table_answers() {
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let answer = live(&cluster, 0, "/once/x", "before").await;
    assert_eq!(answer.expect("an answer").status, 200);
    let before = arrivals(&cluster);
    cluster.nodes[0].link.set_blocked(true);
    cluster.nodes[0].suspend(SUSPENDED).await;
    let request = live(&cluster, 0, "/once/x", "after");
    let early = tokio::time::timeout(EARLY_ANSWER_TIME, request).await;
    assert!(early.is_err(), "answered before the table");
    assert_eq!(
        arrivals(&cluster),
        before,
        "sent on a view from before the suspension"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_steps_down_when_lease_expired_during_suspension() {
    let mut cluster = usual_cluster(Duration::from_millis(5)).await;
    submit_items(&cluster, 0, "b1", 2, 2).await;
    cluster.wait_results(0, "b1", 2).await;
    let owner = lease_holder(&cluster).await;
    let epoch = |cluster: &Cluster| lease(cluster).and_then(|lease| lease["epoch"].as_u64());
    let before = epoch(&cluster);
    // The other node takes over; the suspended owner notices neither that nor the elapsed time.
    cluster.nodes[owner].link.set_cut(true);
    let taken_over = || async { (epoch(&cluster) > before).then_some(()) };
    eventually("another node owns the service", taken_over).await;
    cluster.nodes[owner].suspend(SUSPENDED).await;
    cluster.nodes[owner].link.set_cut(false);
    submit_items(&cluster, 1 - owner, "b2", 4, 10).await;
    cluster.wait_results(1 - owner, "b2", 4).await;
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    let i0_runs = runs.filter(|run| run.id == "i0").count();
    assert!(
        i0_runs <= 2,
        "expected at most one run of the item in each batch, got {i0_runs} runs"
    );
    let node = cluster.add_node("node-3").await;
    cluster.wait_ready(node).await;
}
