//! Crash reports name how far the lost runs of items had got. One test, since a process has one log.

mod support;

use log::LevelFilter;
use serde_json::json;
use sloetrail_serving::events;
use sloetrail_serving_testkit::client::{batch, item};
use sloetrail_serving_testkit::cluster::{MODEL, eventually};
use std::time::Duration;
use support::log_reader::LogReader;
use support::{accepted, native_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(400);

#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_is_lost_after_its_first_event_is_reported_with_it() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Info, "node-1", reader.clone()).expect("starts");
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    let engine = cluster.add_engine(EVENT_INTERVAL).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    accepted(
        &cluster,
        node,
        "b1",
        &batch(&[item("i1", "g", 9)], MODEL, 1),
    )
    .await;
    eventually("the first event is sent", || async {
        (engine.events().len() == 1).then_some(())
    })
    .await;
    tokio::time::sleep(EVENT_INTERVAL / 4).await;
    engine.crash();
    let crashed = || async { reader.decisions("back_end_crashed").pop() };
    let crashed = eventually("the crash is logged", crashed).await;
    assert_eq!(crashed["last_events"], json!([1]));
}
