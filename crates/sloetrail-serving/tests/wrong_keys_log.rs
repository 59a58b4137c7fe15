//! Many calls with wrong API keys must not flood the log, and no key may appear in it. One test,
//! because a process has one logger.

mod support;

use http::Method;
use log::LevelFilter;
use serde_json::json;
use sloetrail_serving::events;
use sloetrail_serving_testkit::client::Call;
use sloetrail_serving_testkit::cluster::{HOST, usual_routes};
use std::time::{Duration, Instant};
use support::log_reader::LogReader;
use support::native_cluster;

const VALID_KEY: &str = "right-secret";
const CALLS: usize = 600;
const MAX_LINES_PER_SECOND: usize = 20;

#[tokio::test(flavor = "multi_thread")]
async fn refused_keys_are_rate_limited_and_never_logged() {
    let log = LogReader::default();
    events::start_with(LevelFilter::Info, "node-1", log.clone()).expect("the first start");
    let mut cluster = native_cluster();
    cluster.tenants = Some(json!([{"name": "north", "api_keys": [VALID_KEY]}]));
    cluster.configure(usual_routes());
    cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let names = cluster.names();
    let call = |key: &str| {
        Call::new(Method::POST, HOST, "/live/x")
            .header(&names.deadline_ms, "1500")
            .header(&names.api_key, key)
    };
    let started_at = Instant::now();
    for number in 0..CALLS {
        let refused_call = call(&format!("wrong-secret-{number}"));
        let answer = refused_call.send(cluster.nodes[0].callers).await;
        assert_eq!(answer.expect("an answer").status, 401);
    }
    let seconds = started_at.elapsed().as_secs() as usize + 2;
    let answer = call(VALID_KEY).send(cluster.nodes[0].callers).await;
    assert_eq!(answer.expect("an answer").status, 200);
    events::flush(Duration::from_secs(5));
    let text = log.text();
    let refused = text.lines().filter(|line| line.contains("\"code\":1010"));
    let refused = refused.count();
    assert!(refused > 0, "no refused key was logged");
    assert!(
        refused <= seconds * MAX_LINES_PER_SECOND,
        "{refused} lines in {seconds} s"
    );
    assert!(!text.contains("secret"));
}
