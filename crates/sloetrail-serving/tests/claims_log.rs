//! Idempotency keys must not appear in the log. One test, since a process has one log.

mod support;

use http::Method;
use log::LevelFilter;
use sloetrail_serving::events;
use sloetrail_serving_testkit::client::Call;
use sloetrail_serving_testkit::cluster::{Cluster, HOST, eventually};
use sloetrail_serving_testkit::table::CommitFault;
use std::time::Duration;
use support::log_reader::LogReader;
use support::usual_cluster;

const CLAIMS: &str = "sloetrail_claims";
const KEY: &str = "a-reading-of-one-household";

/// Sends a request with this key and returns the status of its answer.
async fn keyed(cluster: &Cluster, id: &str, key: &str, body: &str) -> u16 {
    let names = cluster.names();
    let key_name = names.idempotency_key.as_ref().expect("a name");
    let call = Call::new(Method::POST, HOST, "/once/reading")
        .header(&names.request_id, id)
        .header(key_name, key)
        .body(body.to_owned());
    let answer = call.send(cluster.nodes[0].callers).await;
    answer.expect("an answer").status.as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_do_not_appear_in_the_log() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Debug, "node-1", reader.clone()).expect("starts");
    let cluster = usual_cluster(Duration::from_millis(5)).await;
    assert_eq!(keyed(&cluster, "r1", KEY, "question").await, 200);
    assert_eq!(keyed(&cluster, "r2", KEY, "another").await, 422);
    let two = format!("{KEY} {KEY}");
    assert_eq!(keyed(&cluster, "r3", &two, "question").await, 400);
    cluster
        .table
        .set_commit_fault_on(CLAIMS, CommitFault::Refused, 1_000);
    let other = format!("{KEY}-2");
    assert_eq!(keyed(&cluster, "r4", &other, "question").await, 503);
    cluster.table.set_commit_fault(CommitFault::None, None);
    let long = "x".repeat(5_000);
    let other = format!("{KEY}-3");
    assert_eq!(keyed(&cluster, &long, &other, "question").await, 200);
    eventually("the lines are written", || async {
        reader.text().contains("claim_left").then_some(())
    })
    .await;
    let lines = reader.text();
    for id in ["r2", "r3", "r4"] {
        assert!(lines.contains(&format!("\"{id}\"")), "{id} is not logged");
    }
    assert!(!lines.contains(KEY));
}
