//! The log tells which interrupted item is at no engine, and why. One test, since a process has one
//! log.

mod support;

use log::LevelFilter;
use sloetrail_serving::events;
use sloetrail_serving_testkit::client::{batch, item};
use sloetrail_serving_testkit::cluster::{MODEL, eventually};
use std::time::Duration;
use support::log_reader::LogReader;
use support::{accepted, native_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(400);
/// How long the line may name an engine that is gone.
const DOWN_FOR: Duration = Duration::from_millis(2_500);

#[tokio::test(flavor = "multi_thread")]
async fn an_item_without_an_engine_is_logged_with_the_state_of_the_engines() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Debug, "node-1", reader.clone()).expect("starts");
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    let engine = cluster.add_engine(EVENT_INTERVAL).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let work = batch(&[item("i1", "g", 4)], MODEL, 1);
    accepted(&cluster, node, "b1", &work).await;
    let is_running = || async { (!engine.runs_of("i1").is_empty()).then_some(()) };
    eventually("the item is running", is_running).await;
    engine.crash();
    cluster.unlist(&engine);
    tokio::time::sleep(DOWN_FOR).await;
    let unplaced = reader.decisions("item_unplaced");
    let last = unplaced.last().expect("a line about the item");
    assert_eq!(
        (&last["item"], &last["batch"]),
        (&"i1".into(), &"b1".into())
    );
    assert!(last["interrupted_ms"].as_u64() >= Some(1_000), "{last}");
    for field in ["engines", "backing_off", "full", "able"] {
        assert_eq!(last[field], 0, "{field} of {last}");
    }
    assert!(unplaced.len() <= 3, "once a second: {unplaced:?}");
    cluster.add_engine(EVENT_INTERVAL).await;
    cluster.wait_results(node, "b1", 1).await;
    let started = reader.decisions("item_started");
    let last = started.last().expect("a start");
    assert!(last["interrupted_ms"].as_u64() >= Some(2_000), "{last}");
    assert!(started[0]["interrupted_ms"].is_null(), "{}", started[0]);
}
