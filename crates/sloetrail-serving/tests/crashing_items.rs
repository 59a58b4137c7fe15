//! Items and reward calls under which back ends crash. They crash few back ends, also across a
//! change of owner, and the other items complete.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::{batch, item, with_reward};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually};
use std::collections::BTreeSet;
use std::time::Duration;
use support::{accepted, lease_holder, native_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const LETHAL_EVENTS: u64 = 13;
/// Back ends that one item may crash before it is quarantined.
const MAX_CRASHES: usize = 3;

async fn add_engine(cluster: &mut Cluster) {
    let engine = cluster.add_engine(EVENT_INTERVAL).await;
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

fn crash_count(cluster: &Cluster) -> usize {
    let engines = cluster.engines.iter();
    engines.filter(|engine| engine.has_crashed()).count()
}

/// Replaces crashed back ends during `time`.
async fn replace_crashed_for(
    cluster: &mut Cluster,
    replaced: &mut BTreeSet<String>,
    time: Duration,
) {
    let until = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < until {
        let crashed_engines = cluster.engines.iter().filter(|engine| engine.has_crashed());
        let crashed_engines: Vec<_> = crashed_engines.cloned().collect();
        for engine in crashed_engines {
            if !replaced.insert(engine.id.clone()) {
                continue;
            }
            cluster.unlist(&engine);
            match engine.service.as_str() {
                "application" => {
                    let application = cluster.add_application("zone-a").await;
                    application.set_crash_body("score");
                }
                _ => add_engine(cluster).await,
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Six ordinary items and one that crashes engines.
fn batch_with_lethal_item() -> Value {
    let mut items: Vec<Value> = (0..6)
        .map(|number| item(&format!("i{number}"), &format!("g{number}"), 20))
        .collect();
    items.push(item("lethal", "g-lethal", LETHAL_EVENTS));
    batch(&items, MODEL, 1)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_item_crashes_few_engines_and_others_complete() {
    let mut cluster = fragile_cluster().await;
    accepted(&cluster, 0, "b1", &batch_with_lethal_item()).await;
    let mut replaced = BTreeSet::new();
    replace_crashed_for(&mut cluster, &mut replaced, Duration::from_secs(3)).await;
    let results = cluster.wait_results(0, "b1", 6).await;
    assert!(results.iter().all(|result| result["id"] != "lethal"));
    assert_eq!(results.len(), 6, "the lethal item must have no result");
    replace_crashed_for(&mut cluster, &mut replaced, Duration::from_secs(3)).await;
    let crashed_engines = crash_count(&cluster);
    assert!(
        (1..=MAX_CRASHES + 1).contains(&crashed_engines),
        "{crashed_engines}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_stays_quarantined_under_a_new_owner() {
    let mut cluster = fragile_cluster().await;
    accepted(&cluster, 0, "b1", &batch_with_lethal_item()).await;
    let mut replaced = BTreeSet::new();
    replace_crashed_for(&mut cluster, &mut replaced, Duration::from_secs(3)).await;
    cluster.wait_results(0, "b1", 6).await;
    let crashed_engines = crash_count(&cluster);
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
        replace_crashed_for(&mut cluster, &mut replaced, Duration::from_secs(2)).await;
    }
    assert_eq!(
        crash_count(&cluster),
        crashed_engines,
        "a new owner sent the quarantined item again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_reward_call_crashes_few_back_ends() {
    let mut cluster = native_cluster();
    for _ in 0..3 {
        let application = cluster.add_application("zone-a").await;
        application.set_crash_body("score");
    }
    cluster.add_engine(EVENT_INTERVAL).await;
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    let scored = |number: usize, body: &str| {
        let mut scored = with_reward(item(&format!("i{number}"), "g", 10), HOST);
        scored["reward"]["body"] = Value::from(body);
        scored
    };
    // Base64 of "score" and "other".
    let items = [
        scored(0, "c2NvcmU="),
        scored(1, "b3RoZXI="),
        scored(2, "b3RoZXI="),
    ];
    accepted(&cluster, 0, "b1", &batch(&items, MODEL, 1)).await;
    let mut replaced = BTreeSet::new();
    replace_crashed_for(&mut cluster, &mut replaced, Duration::from_secs(5)).await;
    let results = cluster.wait_results(1, "b1", 2).await;
    assert!(results.iter().all(|result| result["id"] != "i0"));
    let crashed_engines = crash_count(&cluster);
    replace_crashed_for(&mut cluster, &mut replaced, Duration::from_secs(3)).await;
    assert_eq!(
        crash_count(&cluster),
        crashed_engines,
        "the reward call crashes further back ends"
    );
    assert!(
        (1..=MAX_CRASHES + 2).contains(&crashed_engines),
        "{crashed_engines}"
    );
}
