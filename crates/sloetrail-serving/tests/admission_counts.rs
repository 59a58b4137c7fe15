//! The counts of refused and late batches that operators see. A test of its own, since the metrics
//! are those of the process.

mod support;

use http::Method;
use serde_json::json;
use sloetrail_serving_testkit::client::{Call, batch};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually, usual_routes};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{accepted, items, native_cluster};

const RUN_TARGET: Duration = Duration::from_secs(4);

/// Returns the value of a metric of the models service; None if it is not set.
async fn metric(operators: SocketAddr, name: &str) -> Option<f64> {
    let answer = Call::new(Method::GET, HOST, "/").send(operators).await?;
    let text = answer.text();
    let prefix = format!("{name}{{service=\"models\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix))?;
    line.parse().ok()
}

/// Returns a cluster of one node, and the address of its metrics.
async fn cluster() -> (Cluster, SocketAddr) {
    let mut cluster = native_cluster();
    cluster.has_metrics = true;
    let mut routes = usual_routes();
    routes[3]["run_target_ms"] = json!(RUN_TARGET.as_millis() as u64);
    cluster.configure(routes);
    cluster.add_application("zone-a").await;
    cluster.add_engine(Duration::from_millis(20)).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let metrics = cluster.nodes[node].metrics.expect("a metrics address");
    (cluster, metrics)
}

/// Guards against refusals, in error or not, and late batches that no operator sees.
#[tokio::test(flavor = "multi_thread")]
async fn refused_and_late_batches_are_counted() {
    let (cluster, operators) = cluster().await;
    let short = batch(&items(16, 10), MODEL, 1);
    accepted(&cluster, 0, "warm", &short).await;
    cluster.wait_results(0, "warm", 16).await;
    let submitted_at = Instant::now();
    let long = batch(&items(60, 200), MODEL, 1);
    accepted(&cluster, 0, "long", &long).await;
    let refused = || async {
        let answer = cluster.submit(0, "refused", &short).await?;
        (submitted_at.elapsed() > RUN_TARGET && answer.status == 503).then_some(answer)
    };
    tokio::time::sleep(RUN_TARGET).await;
    eventually("a batch is refused", refused).await;
    // The backlog ends in time for the refused batch.
    cluster.end(0, "long").await.expect("an answer");
    let late = || metric(operators, "sloetrail_batches_not_in_time_total");
    let late = eventually("the late batch is counted", late).await;
    assert_eq!(late, 1.0);
    let refused = metric(operators, "sloetrail_batches_unservable_total").await;
    assert!(refused >= Some(1.0), "{refused:?}");
    let age = metric(operators, "sloetrail_backlog_report_age_seconds").await;
    assert!(age.is_some_and(|age| (0.0..5.0).contains(&age)), "{age:?}");
    let next = || async {
        let answer = cluster.submit(0, "refused", &short).await?;
        (answer.status == 202).then_some(())
    };
    eventually("the next batch is accepted", next).await;
    // Each batch looks at the reports since the last one.
    accepted(&cluster, 0, "later", &short).await;
    let in_error = metric(operators, "sloetrail_batches_refused_in_error_total").await;
    assert!(in_error >= Some(1.0), "{in_error:?}");
}
