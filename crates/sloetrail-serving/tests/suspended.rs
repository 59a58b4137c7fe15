//! A node whose machine was suspended: its steady clock stood still, and it acts on nothing
//! that it believed before.

mod support;

use sloetrail_serving_testkit::cluster::{Cluster, eventually};
use std::time::Duration;
use support::{lease, lease_holder, live, native_cluster, submit_items, usual_cluster};

const SUSPENDED: Duration = Duration::from_secs(5);
/// Shorter than the time after which a woken node stops waiting for answers of the table.
const AT_ONCE: Duration = Duration::from_millis(300);

fn arrivals(cluster: &Cluster) -> usize {
    let engines = cluster.engines.iter();
    engines.map(|engine| engine.arrivals().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_woken_node_sends_nothing_before_the_table_has_answered() {
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let answer = live(&cluster, 0, "/once/x", "before").await;
    assert_eq!(answer.expect("an answer").status, 200);
    let before = arrivals(&cluster);
    cluster.nodes[0].link.set_blocked(true);
    cluster.nodes[0].suspend(SUSPENDED).await;
    let asking = live(&cluster, 0, "/once/x", "after");
    let early = tokio::time::timeout(AT_ONCE, asking).await;
    assert!(early.is_err(), "answered at once");
    assert_eq!(arrivals(&cluster), before, "sent on beliefs from before");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_whose_lease_ran_out_while_it_was_suspended_gives_way() {
    let mut cluster = usual_cluster(Duration::from_millis(5)).await;
    submit_items(&cluster, 0, "b1", 2, 2).await;
    cluster.wait_results(0, "b1", 2).await;
    let owner = lease_holder(&cluster).await;
    let epoch = |cluster: &Cluster| lease(cluster).and_then(|lease| lease["epoch"].as_u64());
    let before = epoch(&cluster);
    // Others see the silence; it sees neither that nor the time.
    cluster.nodes[owner].link.set_cut(true);
    let taken = || async { (epoch(&cluster) > before).then_some(()) };
    eventually("another node owns the service", taken).await;
    cluster.nodes[owner].suspend(SUSPENDED).await;
    cluster.nodes[owner].link.set_cut(false);
    submit_items(&cluster, 1 - owner, "b2", 4, 10).await;
    cluster.wait_results(1 - owner, "b2", 4).await;
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    let twice = runs.filter(|run| run.id == "i0").count();
    assert!(
        twice <= 2,
        "both batches have an item of this id: {twice} runs"
    );
    let node = cluster.add_node("node-3").await;
    cluster.wait_ready(node).await;
}
