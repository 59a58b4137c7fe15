//! What operators are told of panics and of numbers that are not used as written. One test, since
//! a process has one log and one panic hook.

mod support;

use http::Method;
use log::LevelFilter;
use serde_json::json;
use sloetrail_serving::table::RowAddress;
use sloetrail_serving::{events, tasks};
use sloetrail_serving_testkit::client::Call;
use sloetrail_serving_testkit::cluster::{Cluster, HOST, eventually, usual_routes};
use sloetrail_serving_testkit::wire::NativeWire;
use std::sync::Arc;
use support::log_reader::LogReader;
use support::panicking::{PANIC_KEY, PanickingDialect};

#[tokio::test(flavor = "multi_thread")]
async fn panics_and_held_numbers_are_logged_and_counted() {
    let reader = LogReader::default();
    events::start_with(LevelFilter::Info, "node-1", reader.clone()).expect("starts");
    tasks::install_panic_hook();
    let dialect = Arc::new(PanickingDialect::default());
    let mut cluster = Cluster::new(Arc::new(NativeWire), dialect);
    cluster.has_metrics = true;
    cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let metrics = cluster.nodes[node].metrics.expect("a metrics address");
    let row = RowAddress::new("back_ends", "", PANIC_KEY);
    cluster.table.write(row, "a-secret-of-the-row");
    let mut routes = usual_routes();
    routes[3]["retain_s"] = json!(1e226);
    cluster.configure(routes);
    eventually("the number is reported", || async {
        let held = reader.decisions("configuration_number_held");
        let held = held.first()?;
        (held["field"] == "route rollout: retain_s" && held["used"] == "315360000").then_some(())
    })
    .await;
    eventually("the panic is reported", || async {
        let panicked = reader.decisions("task_panicked");
        let panicked = panicked.first()?;
        assert_eq!(panicked["task"], "directory row");
        assert!(
            panicked["at"]
                .as_str()?
                .contains("tests/support/panicking.rs")
        );
        let unreadable = reader.decisions("row_unreadable");
        unreadable
            .iter()
            .any(|row| row["key"] == PANIC_KEY)
            .then_some(())
    })
    .await;
    assert!(!reader.text().contains("a-secret-of-the-row"));
    cluster.write_configuration(1, usual_routes());
    eventually("the outdated configuration is reported", || async {
        let outdated = reader.decisions("configuration_outdated");
        outdated
            .iter()
            .any(|outdated| outdated["revision"] == 1)
            .then_some(())
    })
    .await;
    let answer = Call::new(Method::GET, HOST, "/metrics").send(metrics).await;
    let text = answer.expect("an answer").text();
    let has_line = |start: &str| text.lines().any(|line| line.starts_with(start));
    assert!(has_line(
        "sloetrail_task_panics_total{task=\"directory row\"} 1"
    ));
    assert!(has_line("sloetrail_configuration_numbers_held 1"));
}
