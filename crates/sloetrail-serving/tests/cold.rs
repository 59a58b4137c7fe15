//! Cold back ends: all nodes and owners together keep the bound on requests in any second.

mod support;

use sloetrail_serving_testkit::cluster::{Cluster, eventually, usual_routes};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use sloetrail_serving_testkit::table::CommitFault;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{
    lease_holder, live, max_arrivals_per_second, native_cluster, submit_items, tolerance,
};

/// Requests per second that a cold back end can serve.
const COLD_RATE_PER_S: usize = 8;
/// Requests that may reach a cold back end, as a factor and in any second.
const TOLERANCE_FACTOR: f64 = 1.5;
const MAX_PER_SECOND: usize = 12;
/// Requests in any second that one sender may send to a cold back end.
const MAX_PER_SENDER: usize = 6;
/// Short enough that slots are free long before the bound allows another item.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// A cluster with one engine whose nodes apply the bounds for cold back ends.
async fn cluster_of_one_engine(nodes: usize) -> (Cluster, Arc<FakeEngine>) {
    let mut cluster = cold_cluster();
    cluster.add_application("zone-a").await;
    let engine = cluster.add_engine(EVENT_INTERVAL).await;
    for number in 1..=nodes {
        let node = cluster.add_node(&format!("node-{number}")).await;
        cluster.wait_ready(node).await;
    }
    (cluster, engine)
}

fn cold_cluster() -> Cluster {
    let mut cluster = native_cluster();
    cluster.cold = Some((5.0, COLD_RATE_PER_S as f64));
    cluster.cold_tolerance = tolerance(TOLERANCE_FACTOR, 0.0);
    cluster.configure(usual_routes());
    cluster
}

async fn wait_for_arrivals(engine: &FakeEngine, count: usize) {
    let have_arrived = || async { (engine.arrivals().len() >= count).then_some(()) };
    eventually("items reach the engine", have_arrived).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusing_cold_engine_keeps_the_send_bound() {
    let (cluster, engine) = cluster_of_one_engine(1).await;
    engine.set_cold(Duration::from_secs(5));
    engine.set_fault(EngineFault::Refuses, Some(MAX_PER_SENDER + 2));
    cluster.unlist(&engine);
    tokio::time::sleep(Duration::from_millis(200)).await;
    submit_items(&cluster, 0, "b1", 40, 2).await;
    cluster.list(&engine);
    wait_for_arrivals(&engine, 3 * MAX_PER_SENDER).await;
    let peak = max_arrivals_per_second(engine.arrivals());
    assert!(
        peak <= MAX_PER_SENDER,
        "{peak} requests in a second, at most {MAX_PER_SENDER} allowed"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_change_keeps_bound_of_unnoticed_cold_engine() {
    let (mut cluster, engine) = cluster_of_one_engine(2).await;
    let owner = lease_holder(&cluster).await;
    // A new owner counts each engine as cold for the first second.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    submit_items(&cluster, 1 - owner, "b1", 60, 2).await;
    wait_for_arrivals(&engine, MAX_PER_SENDER).await;
    cluster.nodes[owner].kill();
    let killed_at = Instant::now();
    wait_for_arrivals(&engine, 4 * MAX_PER_SENDER).await;
    let arrivals = engine.arrivals();
    let later = arrivals.iter().filter(|at| **at > killed_at);
    assert!(
        later.count() >= 2 * MAX_PER_SENDER,
        "the next owner sends items too"
    );
    let peak = max_arrivals_per_second(arrivals);
    assert!(
        peak <= MAX_PER_SECOND,
        "{peak} requests in a second, at most {MAX_PER_SECOND} allowed"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn briefly_unlisted_engine_gets_no_second_budget() {
    let (cluster, engine) = cluster_of_one_engine(1).await;
    engine.set_cold(Duration::from_secs(5));
    cluster.list(&engine);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    submit_items(&cluster, 0, "b1", 60, 2).await;
    wait_for_arrivals(&engine, MAX_PER_SENDER).await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(60)).await;
        cluster.unlist(&engine);
        tokio::time::sleep(Duration::from_millis(60)).await;
        cluster.list(&engine);
    }
    wait_for_arrivals(&engine, 2 * MAX_PER_SENDER).await;
    let peak = max_arrivals_per_second(engine.arrivals());
    assert!(
        peak <= MAX_PER_SENDER,
        "{peak} requests in a second, at most {MAX_PER_SENDER} allowed"
    );
}

/// A request without an answer on a reused connection is repeated at the same engine, which may
/// have received the first one as well.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_run_requests_count_as_sends() {
    let (cluster, engine) = cluster_of_one_engine(1).await;
    engine.set_event_interval(Duration::from_millis(50));
    submit_items(&cluster, 0, "b1", MAX_PER_SENDER, 2).await;
    cluster.wait_results(0, "b1", MAX_PER_SENDER).await;
    let measured_from = Instant::now();
    engine.set_cold(Duration::from_secs(8));
    cluster.list(&engine);
    engine.set_fault(EngineFault::Silent, None);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    submit_items(&cluster, 0, "b2", 40, 2).await;
    let later = || {
        engine
            .arrivals()
            .into_iter()
            .filter(|at| *at > measured_from)
    };
    let are_repeated = || async { (later().count() > 2 * MAX_PER_SENDER).then_some(()) };
    eventually("run requests are repeated", are_repeated).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let peak = max_arrivals_per_second(later().collect());
    assert!(
        peak <= MAX_PER_SENDER,
        "{peak} requests in a second, at most {MAX_PER_SENDER} allowed"
    );
}

/// Sends live requests to every node, many more than the back end can serve. Returns how many were
/// answered with 200.
async fn request_every_node(cluster: &Cluster, time: Duration) -> usize {
    let started_at = Instant::now();
    let mut answered = 0;
    while started_at.elapsed() < time {
        let calls = (0..cluster.nodes.len()).map(|node| live(cluster, node, "/live/x", "r"));
        for answer in futures_util::future::join_all(calls).await {
            let answer = answer.expect("an answer");
            let is_refusal = answer.status == 503 && answer.headers.contains_key("retry-after");
            assert!(answer.status == 200 || is_refusal, "{answer:?}");
            answered += usize::from(answer.status == 200);
        }
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn live_requests_of_all_nodes_keep_cold_bound() {
    /// Nodes poll one another's rows every five seconds.
    const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(6_500);
    let mut cluster = cold_cluster();
    cluster.peers = true;
    let application = cluster.add_application("zone-a").await;
    application.set_cold(Duration::from_secs(60));
    cluster.list(&application);
    let lost = CommitFault::RequestLost;
    cluster
        .table
        .set_commit_fault_on("sloetrail_nodes", lost, usize::MAX);
    for name in ["node-1", "node-2", "node-3"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    request_every_node(&cluster, Duration::from_millis(500)).await;
    let before = application.arrivals().len();
    assert_eq!(before, 0, "nodes without known peers send nothing");
    cluster.table.set_commit_fault(CommitFault::None, None);
    tokio::time::sleep(PEER_DISCOVERY_TIME).await;
    let answered = request_every_node(&cluster, Duration::from_millis(2_500)).await;
    assert!(answered >= 3, "{answered} requests were answered with 200");
    let peak = max_arrivals_per_second(application.arrivals());
    assert!(
        peak <= MAX_PER_SENDER,
        "{peak} requests in a second, at most {MAX_PER_SENDER} allowed"
    );
}
