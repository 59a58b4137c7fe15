//! A batch with four times the work that fits before it is due: groups become complete one set
//! after another. One test, since a process has one log.

mod support;

use log::LevelFilter;
use serde_json::{Value, json};
use sloetrail_serving::events;
use sloetrail_serving_testkit::client::{batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, eventually, usual_routes};
use std::collections::BTreeMap;
use std::time::Duration;
use support::log_reader::LogReader;
use support::{accepted, items, native_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const RUN_TARGET: Duration = Duration::from_secs(3);
/// Lengths of the items of each group. The longest of all groups would run first if groups were
/// not finished one set after another, and so no group would be complete by the due time.
const LENGTHS: [u64; 4] = [50, 40, 20, 10];
/// Groups that two engines of eight slots can complete in the run target.
const FITTING_GROUPS: usize = 20;
const GROUPS: usize = 4 * FITTING_GROUPS;

fn step() -> Value {
    let groups = 0..GROUPS;
    let items = groups.flat_map(|group| {
        let lengths = LENGTHS.iter().enumerate();
        lengths.map(move |(number, events)| {
            item(&format!("i{group}-{number}"), &format!("g{group}"), *events)
        })
    });
    let mut step = batch(&items.collect::<Vec<Value>>(), MODEL, 1);
    step["desired"] = json!(GROUPS * 9 / 10);
    step
}

async fn complete_groups(cluster: &Cluster, id: &str) -> usize {
    let results = cluster.wait_results(0, id, 0).await;
    let mut items: BTreeMap<&str, usize> = BTreeMap::new();
    for result in &results {
        let group = result["id"].as_str().and_then(|id| id.split('-').next());
        *items.entry(group.expect("an id")).or_default() += 1;
    }
    let complete = items.values().filter(|items| **items == LENGTHS.len());
    complete.count()
}

/// Guards against an owner that runs all groups side by side at overload, so that all end late.
#[tokio::test(flavor = "multi_thread")]
async fn groups_are_complete_in_time_at_four_times_the_load() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Debug, "node-1", reader.clone()).expect("starts");
    let mut cluster = native_cluster();
    let mut routes = usual_routes();
    for route in routes.as_array_mut().expect("a list") {
        if route["kind"] == "rollout" {
            route["run_target_ms"] = json!(RUN_TARGET.as_millis() as u64);
        }
    }
    cluster.configure(routes);
    for _ in 0..2 {
        cluster.add_engine(EVENT_INTERVAL).await;
    }
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    // These items train the length model and the event intervals. They fit.
    accepted(&cluster, node, "b0", &batch(&items(16, 8), MODEL, 1)).await;
    cluster.wait_results(node, "b0", 16).await;
    assert_eq!(reader.decisions("triage_changed"), Vec::<Value>::new());

    accepted(&cluster, node, "b1", &step()).await;
    tokio::time::sleep(RUN_TARGET).await;
    let complete = complete_groups(&cluster, "b1").await;
    println!("{complete} of {GROUPS} groups are complete by the due time");
    assert!(complete >= FITTING_GROUPS / 3, "{complete} groups in time");
    let begun = reader.decisions("triage_changed");
    assert_eq!(begun.len(), 1, "{begun:?}");
    assert_eq!(
        (&begun[0]["active"], &begun[0]["model"]),
        (&json!(true), &json!(MODEL))
    );
    assert!(begun[0]["late"].as_u64() > begun[0]["in_time"].as_u64());

    // Late groups run as well.
    eventually("a late group is complete", || async {
        (complete_groups(&cluster, "b1").await >= FITTING_GROUPS * 3 / 2).then_some(())
    })
    .await;
    cluster.end(node, "b1").await.expect("an answer");
    let ended = || async { (reader.decisions("triage_changed").len() == 2).then_some(()) };
    eventually("triage ends with the batch", ended).await;
    let ended = &reader.decisions("triage_changed")[1];
    assert_eq!(ended["active"], json!(false));
}
