//! An item whose engines crash while slots are scarce. One test, since a process has one log.

mod support;

use log::LevelFilter;
use serde_json::Value;
use sloetrail_serving::events;
use sloetrail_serving_testkit::client::{batch, item};
use sloetrail_serving_testkit::cluster::MODEL;
use std::time::Duration;
use support::crash_storm::crash_each_run;
use support::log_reader::LogReader;
use support::{accepted, cluster_with_run_target};

/// No event arrives before a crash, so that the item gets no further.
const FAST: Duration = Duration::from_millis(120);
const SLOWER: Duration = Duration::from_millis(300);
const FAST_ENGINES: usize = 6;
const SLOWER_ENGINES: usize = 5;
const ORDINARY_ITEMS: usize = 200;
/// Fewer than any other item has, so that slower engines prefer the item.
const SHORT_EVENTS: u64 = 9;
const CRASHES: usize = 6;

fn items() -> Vec<Value> {
    let ordinary = |number: usize| {
        let (id, group) = (format!("i{number}"), format!("g{}", number / 4));
        item(&id, &group, 10 + number as u64 % 31)
    };
    let mut items: Vec<Value> = (0..ORDINARY_ITEMS).map(ordinary).collect();
    items.push(item("short", "g-short", SHORT_EVENTS));
    items
}

/// Load: slots are scarce, and engines crash under the shortest waiting item. Guards against an item
/// that is kept from engines, or sent in vain, because engines have crashed under it.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_engines_crash_while_slots_are_scarce_completes() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Debug, "node-1", reader.clone()).expect("starts");
    // Long enough that the batch fits: otherwise its smallest group, that of the item, goes first at
    // any engine.
    let mut cluster = cluster_with_run_target(60_000).await;
    for _ in 0..FAST_ENGINES {
        cluster.add_engine(FAST).await;
    }
    for _ in 0..SLOWER_ENGINES {
        cluster.add_engine(SLOWER).await;
    }
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    accepted(&cluster, node, "b1", &batch(&items(), MODEL, 1)).await;
    crash_each_run(&mut cluster, "short", CRASHES).await;
    let results = cluster.wait_results(node, "b1", ORDINARY_ITEMS + 1).await;
    assert!(results.iter().any(|result| result["id"] == "short"));
    let interrupted = reader.decisions("item_interrupted");
    let of_item = |outcome: &str| {
        let runs = interrupted.iter().filter(|run| run["item"] == "short");
        runs.filter(|run| run["outcome"] == outcome).count()
    };
    assert!(of_item("lost") >= CRASHES, "{interrupted:?}");
    assert_eq!(of_item("held back"), 0);
}
