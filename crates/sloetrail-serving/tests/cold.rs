//! Back ends that are cold: all nodes and owners together send them no more than is allowed
//! in any second.

mod support;

use sloetrail_serving_testkit::cluster::{Cluster, eventually, usual_routes};
use sloetrail_serving_testkit::engine::{EngineFault, EngineStandIn};
use sloetrail_serving_testkit::table::CommitFault;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{lease_holder, live, most_in_a_second, native_cluster, submit_items, tolerance};

/// Requests a second that cold back ends bear.
const BEARS: usize = 8;
/// The most that may reach one: a factor, and requests in any second.
const EXCESS: f64 = 1.5;
const MOST: usize = 12;
/// What one sender may send to a cold one: half of the most.
const FROM_ONE: usize = 6;
/// Quick items, so that places are free long before the bound allows more.
const PACE: Duration = Duration::from_millis(2);

/// A cluster with one engine, whose nodes know what cold back ends bear.
async fn cluster_of_one_engine(nodes: usize) -> (Cluster, Arc<EngineStandIn>) {
    let mut cluster = cold_cluster();
    cluster.add_application("zone-a").await;
    let engine = cluster.add_engine(PACE).await;
    for number in 1..=nodes {
        let node = cluster.add_node(&format!("node-{number}")).await;
        cluster.wait_ready(node).await;
    }
    (cluster, engine)
}

fn cold_cluster() -> Cluster {
    let mut cluster = native_cluster();
    cluster.cold = Some((5.0, BEARS as f64));
    cluster.cold_tolerance = tolerance(EXCESS, 0.0);
    cluster.configure(usual_routes());
    cluster
}

async fn wait_arrivals(engine: &EngineStandIn, count: usize) {
    let have_come = || async { (engine.arrivals().len() >= count).then_some(()) };
    eventually("items reach the engine", have_come).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_returns_cold_gets_no_more_than_the_bound_though_it_refuses() {
    let (cluster, engine) = cluster_of_one_engine(1).await;
    engine.set_cold(Duration::from_secs(5));
    engine.set_fault(EngineFault::Refuses, Some(FROM_ONE + 2));
    cluster.unlist(&engine);
    tokio::time::sleep(Duration::from_millis(200)).await;
    submit_items(&cluster, 0, "b1", 40, 2).await;
    cluster.list(&engine);
    wait_arrivals(&engine, 3 * FROM_ONE).await;
    let most = most_in_a_second(engine.arrivals());
    assert!(most <= FROM_ONE, "{most} of {FROM_ONE} a second");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_turns_cold_unnoticed_gets_no_more_though_its_owner_is_replaced() {
    let (mut cluster, engine) = cluster_of_one_engine(2).await;
    let owner = lease_holder(&cluster).await;
    // The first second, in which a new owner counts each engine as cold, is over.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    submit_items(&cluster, 1 - owner, "b1", 60, 2).await;
    wait_arrivals(&engine, FROM_ONE).await;
    cluster.nodes[owner].kill();
    let killed_at = Instant::now();
    wait_arrivals(&engine, 4 * FROM_ONE).await;
    let arrivals = engine.arrivals();
    let later = arrivals.iter().filter(|at| **at > killed_at);
    assert!(later.count() >= 2 * FROM_ONE, "the successor sends too");
    let most = most_in_a_second(arrivals);
    assert!(most <= MOST, "{most} of {MOST} a second");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_is_not_listed_for_a_moment_gets_no_second_share() {
    let (cluster, engine) = cluster_of_one_engine(1).await;
    engine.set_cold(Duration::from_secs(5));
    cluster.list(&engine);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    submit_items(&cluster, 0, "b1", 60, 2).await;
    wait_arrivals(&engine, FROM_ONE).await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(60)).await;
        cluster.unlist(&engine);
        tokio::time::sleep(Duration::from_millis(60)).await;
        cluster.list(&engine);
    }
    wait_arrivals(&engine, 2 * FROM_ONE).await;
    let most = most_in_a_second(engine.arrivals());
    assert!(most <= FROM_ONE, "{most} of {FROM_ONE} a second");
}

/// Runs over kept connections that say nothing are opened anew at the same engine; the engine
/// may have got the first opening too.
#[tokio::test(flavor = "multi_thread")]
async fn runs_that_are_opened_anew_count_as_sends() {
    let (cluster, engine) = cluster_of_one_engine(1).await;
    engine.set_pace(Duration::from_millis(50));
    submit_items(&cluster, 0, "b1", FROM_ONE, 2).await;
    cluster.wait_results(0, "b1", FROM_ONE).await;
    let kept_from = Instant::now();
    engine.set_cold(Duration::from_secs(8));
    cluster.list(&engine);
    engine.set_fault(EngineFault::Silent, None);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    submit_items(&cluster, 0, "b2", 40, 2).await;
    let later = || engine.arrivals().into_iter().filter(|at| *at > kept_from);
    let met_again = || async { (later().count() > 2 * FROM_ONE).then_some(()) };
    eventually("runs are opened anew", met_again).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let most = most_in_a_second(later().collect());
    assert!(most <= FROM_ONE, "{most} of {FROM_ONE} a second");
}

/// Makes live requests at every node, many more than the back end bears.
async fn ask_every_node(cluster: &Cluster, time: Duration) -> usize {
    let began = Instant::now();
    let mut answered = 0;
    while began.elapsed() < time {
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
async fn live_requests_of_all_nodes_together_keep_the_bound_of_the_only_back_end() {
    /// The nodes look at one another's rows every five seconds.
    const KNOWN: Duration = Duration::from_millis(6_500);
    let mut cluster = cold_cluster();
    cluster.peers = true;
    let application = cluster.add_application("zone-a").await;
    application.set_cold(Duration::from_secs(60));
    cluster.list(&application);
    let lost = CommitFault::LostOnTheWay;
    cluster
        .table
        .set_commit_fault_on("sloetrail_nodes", lost, usize::MAX);
    for name in ["node-1", "node-2", "node-3"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    ask_every_node(&cluster, Duration::from_millis(500)).await;
    let before = application.arrivals().len();
    assert_eq!(before, 0, "nodes that do not know one another send nothing");
    cluster.table.set_commit_fault(CommitFault::None, None);
    tokio::time::sleep(KNOWN).await;
    let answered = ask_every_node(&cluster, Duration::from_millis(2_500)).await;
    assert!(answered >= 3, "{answered} were served");
    let most = most_in_a_second(application.arrivals());
    assert!(most <= FROM_ONE, "{most} of {FROM_ONE} a second");
}
