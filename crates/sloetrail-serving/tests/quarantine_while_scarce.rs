//! A quarantined item that waits while slots are scarce. One test, since a process has one log.

mod support;

use log::LevelFilter;
use serde_json::Value;
use sloetrail_serving::events;
use sloetrail_serving_testkit::client::{batch, item};
use sloetrail_serving_testkit::cluster::MODEL;
use sloetrail_serving_testkit::engine::FakeEngine;
use std::sync::Arc;
use std::time::Duration;
use support::log_reader::LogReader;
use support::{accepted, cluster_with_run_target};

const FAST: Duration = Duration::from_millis(20);
const SLOWER: Duration = Duration::from_millis(50);
const FAST_ENGINES: usize = 6;
const SLOWER_ENGINES: usize = 5;
const ORDINARY_ITEMS: usize = 800;
/// Fewer than any other item has, so that slower engines prefer the item.
const LETHAL_EVENTS: u64 = 9;
/// A run that starts just before the quarantine is withheld, and so may be a trial.
const MAX_WITHHELD: usize = 3;

fn items() -> Vec<Value> {
    let ordinary = |number: usize| {
        let (id, group) = (format!("i{number}"), format!("g{}", number / 4));
        item(&id, &group, 10 + number as u64 % 31)
    };
    let mut items: Vec<Value> = (0..ORDINARY_ITEMS).map(ordinary).collect();
    items.push(item("lethal", "g-lethal", LETHAL_EVENTS));
    items
}

/// Load: slots are scarce, and the shortest waiting item crashes engines. Guards against starting
/// the item again and again once it is quarantined, because it is not the next of its batch.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantined_item_is_set_aside_although_it_is_not_the_next() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Debug, "node-1", reader.clone()).expect("starts");
    // Long enough that the batch fits: otherwise its smallest group, that of the item, goes first at
    // any engine.
    let mut cluster = cluster_with_run_target(60_000).await;
    for _ in 0..FAST_ENGINES {
        cluster.add_engine(FAST).await;
    }
    let mut slower: Vec<Arc<FakeEngine>> = Vec::new();
    for _ in 0..SLOWER_ENGINES {
        let engine = cluster.add_engine(SLOWER).await;
        engine.set_crash_body(format!("events={LETHAL_EVENTS}"));
        slower.push(engine);
    }
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    accepted(&cluster, node, "b1", &batch(&items(), MODEL, 1)).await;
    let results = cluster.wait_results(node, "b1", ORDINARY_ITEMS).await;
    assert!(results.iter().all(|result| result["id"] != "lethal"));
    let crashed = slower.iter().filter(|engine| engine.has_crashed()).count();
    assert!((1..SLOWER_ENGINES).contains(&crashed), "{crashed} crashes");
    let interrupted = reader.decisions("item_interrupted");
    let withheld = interrupted
        .iter()
        .filter(|run| run["item"] == "lethal" && run["outcome"] == "held back");
    let withheld = withheld.count();
    assert!(withheld <= MAX_WITHHELD, "{withheld} withheld runs");
}
