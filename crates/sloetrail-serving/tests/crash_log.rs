//! The log names the requests under which a back end crashed by digest, and does not report
//! connection resets as crashes. One test, since a process has one log.

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

async fn send_request(cluster: &Cluster, id: &str, body: &str) -> u16 {
    let names = cluster.names();
    let call = Call::new(Method::POST, HOST, "/once/reading")
        .header(&names.request_id, id)
        .header(&names.deadline_ms, "1500")
        .body(body.to_owned());
    let answer = call.send(cluster.nodes[0].callers).await;
    answer.expect("an answer").status.as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_is_logged_with_its_running_requests() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Debug, "node-1", reader.clone()).expect("starts");
    let mut cluster = native_cluster();
    let application = cluster.add_application("zone-a").await;
    application.set_event_interval(Duration::from_millis(300));
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;

    let resetting = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        application.reset_connections();
    };
    let (status, ()) = tokio::join!(send_request(&cluster, "r1", BODY), resetting);
    assert_eq!(status, 502, "a lost request may have run");
    let lost = || async { reader.decisions("attempt_failed").pop() };
    let first = eventually("the lost attempt is logged", lost).await;
    assert_eq!(first["outcome"], "lost");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(reader.decisions("back_end_crashed"), Vec::<Value>::new());

    let crashing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        application.crash();
    };
    let (status, other, ()) = tokio::join!(
        send_request(&cluster, "r2", BODY),
        send_request(&cluster, "r3", "another"),
        crashing
    );
    assert_eq!((status, other), (502, 502));
    // The second request may be attributed to the crash slightly later than the first.
    let both = || async {
        let crashes = reader.decisions("back_end_crashed");
        let digests = crashes
            .iter()
            .filter_map(|crash| crash["digests"].as_array());
        let digests: Vec<Value> = digests.flatten().cloned().collect();
        (digests.len() >= 2).then_some((crashes, digests))
    };
    let (crashes, digests) = eventually("the crash is logged with both requests", both).await;
    assert_eq!(digests.len(), 2, "each request is logged once");
    assert_ne!(digests[0], digests[1]);
    let incarnation = format!("{}@{}", application.id, application.started_ms);
    let is_of_this_incarnation = |crash: &Value| crash["back_end"] == incarnation;
    assert!(crashes.iter().all(is_of_this_incarnation));
    assert!(
        digests.contains(&first["digest"]),
        "a repeated request has the same digest"
    );
    let text = reader.text();
    assert!(!text.contains(BODY), "the log contains a request body");
}
