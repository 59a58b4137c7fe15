//! The log tells under which requests a back end crashed, by their digests, and tells a crash
//! from a reset of connections. One test, since a process has one log.

mod support;

use http::Method;
use log::LevelFilter;
use serde_json::Value;
use sloetrail_serving::events;
use sloetrail_serving_testkit::client::Call;
use sloetrail_serving_testkit::cluster::{Cluster, HOST, eventually};
use std::time::Duration;
use support::log_reader::LogReader;
use support::native_cluster;

const BODY: &str = "a reading that nobody else may see";

async fn ask(cluster: &Cluster, id: &str, body: &str) -> u16 {
    let names = cluster.names();
    let call = Call::new(Method::POST, HOST, "/once/reading")
        .header(&names.request_id, id)
        .header(&names.deadline_ms, "1500")
        .body(body.to_owned());
    let answer = call.send(cluster.nodes[0].callers).await;
    answer.expect("an answer").status.as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_is_told_with_the_requests_that_were_there() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Debug, "node-1", reader.clone()).expect("starts");
    let mut cluster = native_cluster();
    let application = cluster.add_application("zone-a").await;
    application.set_pace(Duration::from_millis(300));
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;

    let resetting = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        application.reset_connections();
    };
    let (status, ()) = tokio::join!(ask(&cluster, "r1", BODY), resetting);
    assert_eq!(status, 502, "it was lost, and may have run");
    let lost = || async { reader.decisions("attempt_failed").pop() };
    let first = eventually("the loss is told", lost).await;
    assert_eq!(first["outcome"], "lost");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(reader.decisions("back_end_crashed"), Vec::<Value>::new());

    let crashing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        application.crash();
    };
    let (status, other, ()) = tokio::join!(
        ask(&cluster, "r2", BODY),
        ask(&cluster, "r3", "another"),
        crashing
    );
    assert_eq!((status, other), (502, 502));
    // The second request may be found to have been there a moment after the first.
    let both = || async {
        let crashes = reader.decisions("back_end_crashed");
        let digests = crashes
            .iter()
            .filter_map(|crash| crash["digests"].as_array());
        let digests: Vec<Value> = digests.flatten().cloned().collect();
        (digests.len() >= 2).then_some((crashes, digests))
    };
    let (crashes, digests) = eventually("the crash is told with both requests", both).await;
    assert_eq!(digests.len(), 2, "each request is told of once");
    assert_ne!(digests[0], digests[1]);
    let life = format!("{}@{}", application.id, application.started_ms);
    let is_its = |crash: &Value| crash["back_end"] == life;
    assert!(crashes.iter().all(is_its));
    assert!(
        digests.contains(&first["digest"]),
        "the request that came again has the digest that it had"
    );
    let text = reader.text();
    assert!(!text.contains(BODY), "a body is in no line");
}
