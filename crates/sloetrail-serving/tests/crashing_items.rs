//! Live requests that crash back ends which also run items or reward calls. They crash few back
//! ends, also across a change of owner, and the items complete.

mod support;

use http::Method;
use serde_json::{Value, json};
use sloetrail_serving_testkit::client::{Answer, Call, batch, with_reward};
use sloetrail_serving_testkit::cluster::{
    APPLICATION, Cluster, HOST, MODEL, MODELS, eventually, usual_routes,
};
use std::collections::BTreeSet;
use std::time::Duration;
use support::fragile::{MAX_CRASHES, REPORT_PROPAGATION_TIME, REQUEST_QUARANTINED};
use support::{accepted, assert_each_once, items, lease_holder, native_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const LETHAL: &str = "a question that ends its engine";
const ITEMS: usize = 24;
const EVENTS: u64 = 60;
const NODES: usize = 3;

/// A cluster whose engines also run live requests, and crash under one.
async fn shared_cluster() -> Cluster {
    let mut cluster = native_cluster();
    let mut routes = usual_routes();
    let shared = json!({
        "name": "shared", "host": HOST, "path_prefix": "/shared/", "kind": "idempotent",
        "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 3, "service": MODELS,
    });
    routes.as_array_mut().expect("routes").push(shared);
    cluster.configure(routes);
    cluster.add_application("zone-a").await;
    for _ in 0..4 {
        add_engine(&mut cluster).await;
    }
    for number in 1..=NODES {
        let node = cluster.add_node(&format!("node-{number}")).await;
        cluster.wait_ready(node).await;
    }
    cluster
}

async fn add_engine(cluster: &mut Cluster) {
    let engine = cluster.add_engine(EVENT_INTERVAL).await;
    engine.set_crash_body(LETHAL);
}

async fn send(cluster: &Cluster, node: usize, path: &str, id: &str, body: &str) -> Answer {
    let names = cluster.names();
    let call = Call::new(Method::POST, HOST, path)
        .header(&names.request_id, id)
        .header(&names.deadline_ms, "1500")
        .body(body.to_owned());
    let answer = call.send(cluster.nodes[node].callers).await;
    answer.expect("an answer")
}

fn crash_count(cluster: &Cluster) -> usize {
    let engines = cluster.engines.iter();
    engines.filter(|engine| engine.has_crashed()).count()
}

/// Replaces the back ends that have crashed.
async fn replace_crashed(cluster: &mut Cluster, replaced: &mut BTreeSet<String>) {
    for engine in cluster.engines.clone() {
        if !engine.has_crashed() || !replaced.insert(engine.id.clone()) {
            continue;
        }
        cluster.unlist(&engine);
        match engine.service.as_str() {
            APPLICATION => {
                let application = cluster.add_application("zone-a").await;
                application.set_crash_body(SCORE);
            }
            _ => add_engine(cluster).await,
        }
    }
}

/// Sends the lethal request to the living nodes in turn, and replaces what it crashes.
async fn send_lethal(
    cluster: &mut Cluster,
    replaced: &mut BTreeSet<String>,
    path: &str,
    body: &str,
    tries: usize,
) {
    let living = (0..cluster.nodes.len()).filter(|node| !cluster.nodes[*node].has_ended());
    let living: Vec<usize> = living.collect();
    for number in 0..tries {
        let node = living[number % living.len()];
        let id = format!("{}-lethal-{number}", crash_count(cluster));
        send(cluster, node, path, &id, body).await;
        tokio::time::sleep(REPORT_PROPAGATION_TIME).await;
        replace_crashed(cluster, replaced).await;
    }
}

/// Guards against items that explain the crashes of a live request, so that it is never held.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_beside_items_crashes_few_engines_and_the_items_complete() {
    let mut cluster = shared_cluster().await;
    accepted(&cluster, 0, "b1", &batch(&items(ITEMS, EVENTS), MODEL, 1)).await;
    let mut replaced = BTreeSet::new();
    send_lethal(&mut cluster, &mut replaced, "/shared/x", LETHAL, 9).await;
    let crashes = crash_count(&cluster);
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
    for node in 0..NODES {
        let answer = send(&cluster, node, "/shared/x", "held", LETHAL).await;
        assert_eq!(answer.json()["code"], REQUEST_QUARANTINED);
    }
    let results = cluster.wait_results(0, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    assert_eq!(crash_count(&cluster), crashes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_beside_items_stays_held_under_a_new_owner() {
    let mut cluster = shared_cluster().await;
    accepted(&cluster, 0, "b1", &batch(&items(ITEMS, EVENTS), MODEL, 1)).await;
    let mut replaced = BTreeSet::new();
    send_lethal(&mut cluster, &mut replaced, "/shared/x", LETHAL, 6).await;
    let crashes = crash_count(&cluster);
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
    let owner = lease_holder(&cluster).await;
    cluster.nodes[owner].kill();
    let taken = || async { (lease_holder(&cluster).await != owner).then_some(()) };
    eventually("another node owns the service", taken).await;
    send_lethal(&mut cluster, &mut replaced, "/shared/x", LETHAL, 4).await;
    assert_eq!(crash_count(&cluster), crashes);
    let node = lease_holder(&cluster).await;
    let results = cluster.wait_results(node, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
}

const SCORE: &str = "score";

/// Guards against a live request that goes free because a reward call with its content does.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_with_the_content_of_a_reward_call_crashes_few_back_ends() {
    let mut cluster = native_cluster();
    for _ in 0..4 {
        let application = cluster.add_application("zone-a").await;
        application.set_crash_body(SCORE);
    }
    cluster.add_engine(EVENT_INTERVAL).await;
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    let mut replaced = BTreeSet::new();
    send_lethal(&mut cluster, &mut replaced, "/live/score", SCORE, 8).await;
    let crashes = crash_count(&cluster);
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
    for engine in cluster
        .engines
        .iter()
        .filter(|engine| !engine.has_crashed())
    {
        engine.set_crash_body("another");
    }
    let scored: Vec<Value> = items(2, 4)
        .into_iter()
        .map(|item| with_reward(item, HOST))
        .collect();
    accepted(&cluster, 0, "b1", &batch(&scored, MODEL, 1)).await;
    let results = cluster.wait_results(1, "b1", 2).await;
    assert_each_once(&results, 2);
    for node in 0..2 {
        let answer = send(&cluster, node, "/live/score", "held", SCORE).await;
        assert_eq!(answer.json()["code"], REQUEST_QUARANTINED);
    }
}
