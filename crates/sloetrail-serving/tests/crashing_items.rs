//! Items and reward calls under which back ends crash: they end few of them, also when the
//! owner changes, and the other items go on.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::{batch, item, with_reward};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually};
use std::time::Duration;
use support::{accepted, lease_holder, native_cluster};

const PACE: Duration = Duration::from_millis(5);
const LETHAL_EVENTS: u64 = 13;
/// Engines that one item may end: after the third it is kept from others.
const CRASHES_MOST: usize = 3;

async fn add_engine(cluster: &mut Cluster) {
    let engine = cluster.add_engine(PACE).await;
    engine.set_crash_body(format!("events={LETHAL_EVENTS}"));
}

async fn fragile_cluster() -> Cluster {
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    for _ in 0..3 {
        add_engine(&mut cluster).await;
    }
    for name in ["node-1", "node-2", "node-3"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    cluster
}

fn crashed(cluster: &Cluster) -> usize {
    let engines = cluster.engines.iter();
    engines.filter(|engine| engine.has_crashed()).count()
}

/// Replaces what has crashed for a while.
async fn keep_replaced(cluster: &mut Cluster, replaced: &mut usize, time: Duration) {
    let until = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < until {
        let ended = cluster.engines.iter().filter(|engine| engine.has_crashed());
        let ended: Vec<_> = ended.cloned().collect();
        for engine in ended.iter().skip(*replaced) {
            cluster.unlist(engine);
            match engine.service.as_str() {
                "application" => {
                    let application = cluster.add_application("zone-a").await;
                    application.set_crash_body("score");
                }
                _ => add_engine(cluster).await,
            }
        }
        *replaced = ended.len();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Six ordinary items and the one under which engines crash.
fn with_a_lethal_item() -> Value {
    let mut items: Vec<Value> = (0..6)
        .map(|number| item(&format!("i{number}"), &format!("g{number}"), 20))
        .collect();
    items.push(item("lethal", "g-lethal", LETHAL_EVENTS));
    batch(&items, MODEL, 1)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_ends_few_engines_and_the_others_go_on() {
    let mut cluster = fragile_cluster().await;
    accepted(&cluster, 0, "b1", &with_a_lethal_item()).await;
    let mut replaced = 0;
    keep_replaced(&mut cluster, &mut replaced, Duration::from_secs(3)).await;
    let results = cluster.wait_results(0, "b1", 6).await;
    assert!(results.iter().all(|result| result["id"] != "lethal"));
    assert_eq!(results.len(), 6, "the lethal item is not given up either");
    keep_replaced(&mut cluster, &mut replaced, Duration::from_secs(3)).await;
    let ended = crashed(&cluster);
    assert!((1..=CRASHES_MOST + 1).contains(&ended), "{ended}");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_owner_keeps_the_item_from_engines_as_well() {
    let mut cluster = fragile_cluster().await;
    accepted(&cluster, 0, "b1", &with_a_lethal_item()).await;
    let mut replaced = 0;
    keep_replaced(&mut cluster, &mut replaced, Duration::from_secs(3)).await;
    cluster.wait_results(0, "b1", 6).await;
    let ended = crashed(&cluster);
    for _ in 0..2 {
        let owner = lease_holder(&cluster).await;
        if cluster.nodes[owner].has_ended() {
            break;
        }
        cluster.nodes[owner].kill();
        let others = (0..3).filter(|node| !cluster.nodes[*node].has_ended());
        let others: Vec<usize> = others.collect();
        let taken = || async {
            let next = lease_holder(&cluster).await;
            others.contains(&next).then_some(())
        };
        eventually("another node owns the service", taken).await;
        keep_replaced(&mut cluster, &mut replaced, Duration::from_secs(2)).await;
    }
    assert_eq!(crashed(&cluster), ended, "a new owner sent it again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reward_call_ends_few_back_ends_and_the_other_texts_are_scored() {
    let mut cluster = native_cluster();
    for _ in 0..3 {
        let application = cluster.add_application("zone-a").await;
        application.set_crash_body("score");
    }
    cluster.add_engine(PACE).await;
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    let scored = |number: usize, body: &str| {
        let mut scored = with_reward(item(&format!("i{number}"), "g", 10), HOST);
        scored["reward"]["body"] = Value::from(body);
        scored
    };
    // In base64: "score", and "other".
    let items = [
        scored(0, "c2NvcmU="),
        scored(1, "b3RoZXI="),
        scored(2, "b3RoZXI="),
    ];
    accepted(&cluster, 0, "b1", &batch(&items, MODEL, 1)).await;
    let mut replaced = 0;
    keep_replaced(&mut cluster, &mut replaced, Duration::from_secs(5)).await;
    let results = cluster.wait_results(1, "b1", 2).await;
    assert!(results.iter().all(|result| result["id"] != "i0"));
    let ended = crashed(&cluster);
    keep_replaced(&mut cluster, &mut replaced, Duration::from_secs(3)).await;
    assert_eq!(crashed(&cluster), ended, "it goes on ending back ends");
    assert!((1..=CRASHES_MOST + 2).contains(&ended), "{ended}");
}
