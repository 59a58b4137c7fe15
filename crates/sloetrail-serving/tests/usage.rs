//! Usage reports: each started request of a tenant is in exactly one report, each window is
//! reported once despite node failures, and reports of two holders do not overlap.

mod support;

use serde_json::json;
use sloetrail_serving::settings::RawUsageSettings;
use sloetrail_serving_testkit::client::{Call, batch, with_reward};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually, usual_routes};
use sloetrail_serving_testkit::engine::EngineFault;
use sloetrail_serving_testkit::table::CommitFault;
use sloetrail_serving_testkit::usage::{ReportFault, ReportRecorder};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::{accepted, assert_each_once, client_cluster, items};

/// Matches the settings of the cluster's nodes.
const ORDER_GAP: Duration = Duration::from_millis(800);
const REPORTS: &str = "sloetrail_usage_reports";
const WINDOWS: RawUsageSettings = RawUsageSettings {
    window_s: 0.5,
    due_s: 2.0,
};

async fn cluster(nodes: &[&str]) -> (Cluster, Arc<ReportRecorder>) {
    let recorder = ReportRecorder::new();
    let mut cluster = client_cluster();
    cluster.tenants = Some(json!([
        {"name": "north", "api_keys": ["north-key"]},
        {"name": "south", "api_keys": ["south-key"]},
    ]));
    let mut routes = usual_routes();
    routes[0]["public"] = json!(true);
    routes.as_array_mut().expect("a list").push(json!({
        "name": "keyed", "host": HOST, "path_prefix": "/keyed/", "kind": "idempotent",
        "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 3, "service": "application",
    }));
    cluster.configure(routes);
    cluster.api_key = Some("north-key".to_owned());
    cluster.peers = true;
    cluster.usage = Some(WINDOWS);
    cluster.recipient = Some(Arc::<ReportRecorder>::clone(&recorder));
    cluster.add_application("zone-a").await;
    cluster.add_application("zone-a").await;
    cluster.add_engine(Duration::from_millis(5)).await;
    for name in nodes {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    (cluster, recorder)
}

fn call(cluster: &Cluster, path: &str, id: &str, key: &str) -> Call {
    let names = cluster.names();
    Call::new(http::Method::POST, HOST, path)
        .header(&names.request_id, id)
        .header(&names.deadline_ms, "1500")
        .header(&names.api_key, key)
        .body("question")
}

/// Sends `count` requests of a tenant one after the other and asserts that each succeeds.
async fn send_requests(cluster: &Cluster, node: usize, tenant: &str, count: usize) {
    let key = format!("{tenant}-key");
    for number in 0..count {
        let id = format!("{tenant}-{node}-{number}");
        let call = call(cluster, "/keyed/x", &id, &key);
        let answer = call.send(cluster.nodes[node].callers).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

async fn wait_for_requests(recorder: &ReportRecorder, tenant: &str, count: u64) {
    let is_reported = || async { (recorder.requests_of(tenant) >= count).then_some(()) };
    eventually("the requests are reported", is_reported).await;
    assert_eq!(recorder.requests_of(tenant), count);
}

/// Waits until `count` more windows are reported.
async fn wait_for_windows(recorder: &ReportRecorder, count: usize) {
    let expected = recorder.accepted().len() + count;
    let are_reported = || async { (recorder.accepted().len() >= expected).then_some(()) };
    eventually("later windows are reported", are_reported).await;
}

fn assert_windows_are_contiguous(recorder: &ReportRecorder) {
    let windows: Vec<u64> = recorder.accepted().keys().map(|window| window.0).collect();
    let (first, last) = (windows[0], windows[windows.len() - 1]);
    assert_eq!(windows, (first..=last).collect::<Vec<u64>>());
}

/// Asserts that reports of two holders are separated by the order gap and epochs never decrease.
fn assert_holders_do_not_overlap(recorder: &ReportRecorder) {
    let records = recorder.records();
    for pair in records.windows(2) {
        let [first, second] = pair else {
            continue;
        };
        assert!(second.sender.epoch >= first.sender.epoch, "{records:?}");
        if second.sender.node != first.sender.node {
            assert!(second.at - first.at >= ORDER_GAP, "{records:?}");
        }
    }
}

/// Waits for a report and returns the index of the node that sent the last one.
async fn holder(recorder: &ReportRecorder) -> usize {
    let holder = || async {
        let records = recorder.records();
        let names = ["node-1", "node-2", "node-3"];
        let last = records.last()?;
        names.iter().position(|name| *name == last.sender.node)
    };
    eventually("a node reports", holder).await
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_at_all_nodes_are_reported_once() {
    let (cluster, recorder) = cluster(&["node-1", "node-2"]).await;
    send_requests(&cluster, 0, "north", 7).await;
    send_requests(&cluster, 1, "north", 6).await;
    send_requests(&cluster, 1, "south", 4).await;
    wait_for_requests(&recorder, "north", 13).await;
    wait_for_requests(&recorder, "south", 4).await;
    wait_for_windows(&recorder, 3).await;
    assert_eq!(recorder.requests_of("north"), 13);
    assert_windows_are_contiguous(&recorder);
    let senders = recorder
        .records()
        .into_iter()
        .map(|record| record.sender.node);
    assert_eq!(senders.collect::<BTreeSet<String>>().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_count_in_the_window_of_their_start() {
    let (cluster, recorder) = cluster(&["node-1"]).await;
    let wall_ms = || {
        let now = std::time::SystemTime::now();
        let since = now
            .duration_since(std::time::UNIX_EPOCH)
            .expect("after 1970");
        since.as_millis() as u64
    };
    let length_ms = (WINDOWS.window_s * 1_000.0) as u64;
    let mut expected: Vec<(u64, u64)> = Vec::new();
    for _ in 0..3 {
        // Use the middle of a window to tolerate small clock differences.
        let offset_ms = wall_ms() % length_ms;
        let wait_ms = (length_ms + length_ms / 2 - offset_ms) % length_ms;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        expected.push((wall_ms() / length_ms, 2));
        send_requests(&cluster, 0, "north", 2).await;
        tokio::time::sleep(Duration::from_millis(length_ms / 2)).await;
    }
    wait_for_requests(&recorder, "north", 6).await;
    let accepted = recorder.accepted();
    let with_requests = accepted
        .values()
        .filter(|report| report.total_requests() > 0);
    let counted = with_requests.map(|report| (report.window.0, report.total_requests()));
    assert_eq!(counted.collect::<Vec<(u64, u64)>>(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_started_live_requests_are_counted() {
    let (cluster, recorder) = cluster(&["node-1"]).await;
    let callers = cluster.nodes[0].callers;
    let unknown = call(&cluster, "/keyed/x", "r1", "unknown")
        .send(callers)
        .await;
    assert_eq!(unknown.expect("an answer").status, 401);
    for application in &cluster.engines[..2] {
        application.set_fault(EngineFault::Refuses, None);
    }
    let refused = call(&cluster, "/keyed/x", "r2", "north-key")
        .send(callers)
        .await;
    assert_eq!(refused.expect("an answer").status, 503);
    for application in &cluster.engines[..2] {
        application.set_fault(EngineFault::Fails, Some(1));
    }
    // Two attempts start and fail and the third succeeds: this is one request.
    let answer = call(&cluster, "/keyed/x", "r3", "north-key")
        .send(callers)
        .await;
    assert_eq!(answer.expect("an answer").status, 200);
    let scored: Vec<_> = items(4, 3)
        .into_iter()
        .map(|item| with_reward(item, HOST))
        .collect();
    accepted(&cluster, 0, "b1", &batch(&scored, MODEL, 1)).await;
    assert_each_once(&cluster.wait_results(0, "b1", 4).await, 4);
    wait_for_requests(&recorder, "north", 1).await;
    wait_for_windows(&recorder, 3).await;
    assert_eq!(recorder.requests_of("north"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn started_requests_of_disconnected_callers_are_counted() {
    let (cluster, recorder) = cluster(&["node-1"]).await;
    for application in &cluster.engines[..2] {
        application.set_event_interval(Duration::from_secs(1));
    }
    let call = call(&cluster, "/keyed/x", "r1", "north-key");
    let sending = call.send(cluster.nodes[0].callers);
    let result = tokio::time::timeout(Duration::from_millis(150), sending).await;
    assert!(result.is_err(), "the request ended before the timeout");
    wait_for_requests(&recorder, "north", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_loses_and_repeats_no_window() {
    let (mut cluster, recorder) = cluster(&["node-1", "node-2"]).await;
    send_requests(&cluster, 0, "north", 3).await;
    send_requests(&cluster, 1, "north", 3).await;
    wait_for_requests(&recorder, "north", 6).await;
    let first = holder(&recorder).await;
    let other = 1 - first;
    send_requests(&cluster, other, "north", 4).await;
    cluster.nodes[first].kill();
    send_requests(&cluster, other, "north", 5).await;
    wait_for_requests(&recorder, "north", 15).await;
    assert_eq!(holder(&recorder).await, other);
    assert_windows_are_contiguous(&recorder);
    assert_holders_do_not_overlap(&recorder);
}

#[tokio::test(flavor = "multi_thread")]
async fn unanswered_report_is_resent_unchanged_by_the_successor() {
    let (mut cluster, recorder) = cluster(&["node-1", "node-2"]).await;
    let first = holder(&recorder).await;
    send_requests(&cluster, 1 - first, "north", 5).await;
    recorder.set_fault(ReportFault::AcceptedUnanswered);
    let before = recorder.accepted().len();
    let is_accepted = || async { (recorder.accepted().len() > before).then_some(()) };
    eventually("a report is accepted without an answer", is_accepted).await;
    cluster.nodes[first].kill();
    send_requests(&cluster, 1 - first, "north", 2).await;
    let is_replaced = || async { (holder(&recorder).await != first).then_some(()) };
    eventually("the other node reports", is_replaced).await;
    recorder.set_fault(ReportFault::None);
    wait_for_requests(&recorder, "north", 7).await;
    assert_windows_are_contiguous(&recorder);
    assert_holders_do_not_overlap(&recorder);
}

#[tokio::test(flavor = "multi_thread")]
async fn committed_report_is_sent_by_the_successor() {
    let (mut cluster, recorder) = cluster(&["node-1", "node-2"]).await;
    let first = holder(&recorder).await;
    wait_for_windows(&recorder, 1).await;
    recorder.set_fault(ReportFault::Away);
    let before = recorder.records().len();
    let is_sent = || async { (recorder.records().len() > before).then_some(()) };
    eventually("a report is sent and not accepted", is_sent).await;
    cluster.nodes[first].kill();
    recorder.set_fault(ReportFault::None);
    wait_for_windows(&recorder, 4).await;
    assert_windows_are_contiguous(&recorder);
    assert_holders_do_not_overlap(&recorder);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_commit_does_not_overwrite_a_newer_report() {
    const COMMIT_DELAY: Duration = Duration::from_millis(1_200);
    let (cluster, recorder) = cluster(&["node-1"]).await;
    holder(&recorder).await;
    cluster
        .table
        .set_commit_fault_on(REPORTS, CommitFault::DoneLate(COMMIT_DELAY), 1);
    let committed = || {
        let rows = cluster.table.rows(REPORTS);
        let report: serde_json::Value = serde_json::from_slice(&rows[0].value).expect("JSON");
        report["window"].as_u64().expect("a number")
    };
    let (first, mut newest) = (committed(), committed());
    let started_at = std::time::Instant::now();
    while started_at.elapsed() < COMMIT_DELAY * 3 {
        let window = committed();
        assert!(window >= newest, "{window} after {newest}");
        newest = window;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(cluster.table.remaining_faults(), Some(0));
    assert!(newest > first + 3, "reporting stopped");
}

#[tokio::test(flavor = "multi_thread")]
async fn long_requests_count_once_in_their_window() {
    let (cluster, recorder) = cluster(&["node-1"]).await;
    for application in &cluster.engines[..2] {
        application.set_event_interval(Duration::from_millis(1_800));
    }
    let call =
        call(&cluster, "/keyed/x", "r1", "north-key").header(&cluster.names().deadline_ms, "4000");
    let answer = call.send(cluster.nodes[0].callers).await;
    assert_eq!(answer.expect("an answer").status, 200);
    wait_for_requests(&recorder, "north", 1).await;
    wait_for_windows(&recorder, 4).await;
    assert_eq!(recorder.requests_of("north"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn recipient_outage_delays_but_loses_no_window() {
    let (cluster, recorder) = cluster(&["node-1"]).await;
    holder(&recorder).await;
    recorder.set_fault(ReportFault::Away);
    send_requests(&cluster, 0, "north", 3).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    send_requests(&cluster, 0, "north", 3).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    recorder.set_fault(ReportFault::None);
    wait_for_requests(&recorder, "north", 6).await;
    assert_windows_are_contiguous(&recorder);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_report_does_not_block_later_ones() {
    let (cluster, recorder) = cluster(&["node-1"]).await;
    holder(&recorder).await;
    recorder.set_fault(ReportFault::Refused);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    recorder.set_fault(ReportFault::None);
    send_requests(&cluster, 0, "north", 3).await;
    wait_for_requests(&recorder, "north", 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unanswered_commit_is_reported_as_committed() {
    for fault in [
        CommitFault::DoneUnanswered,
        CommitFault::RequestLost,
        CommitFault::DoneLate(Duration::from_millis(700)),
    ] {
        let (cluster, recorder) = cluster(&["node-1"]).await;
        holder(&recorder).await;
        cluster.table.set_commit_fault_on(REPORTS, fault, 2);
        send_requests(&cluster, 0, "north", 4).await;
        wait_for_requests(&recorder, "north", 4).await;
        wait_for_windows(&recorder, 3).await;
        assert_windows_are_contiguous(&recorder);
        let rows = cluster.table.rows(REPORTS);
        assert_eq!(rows.len(), 1);
        assert_eq!(recorder.requests_of("north"), 4, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_during_a_table_outage_are_reported_later() {
    let (cluster, recorder) = cluster(&["node-1"]).await;
    holder(&recorder).await;
    cluster.table.set_down(true);
    send_requests(&cluster, 0, "north", 4).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    send_requests(&cluster, 0, "north", 4).await;
    cluster.table.set_down(false);
    wait_for_requests(&recorder, "north", 8).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_flushes_its_counts() {
    let (mut cluster, recorder) = cluster(&["node-1", "node-2"]).await;
    let first = holder(&recorder).await;
    let other = 1 - first;
    send_requests(&cluster, other, "north", 5).await;
    cluster.nodes[other].stop();
    wait_for_requests(&recorder, "north", 5).await;
    let has_ended = || async { cluster.nodes[other].has_ended().then_some(()) };
    eventually("the node has ended", has_ended).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unreadable_last_report_stops_reporting() {
    let (mut cluster, recorder) = cluster(&["node-1", "node-2"]).await;
    let first = holder(&recorder).await;
    cluster.nodes[first].kill();
    let row = cluster.table.rows(REPORTS).remove(0);
    cluster.table.write(row.address.clone(), "unreadable");
    let before = recorder.records().len();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert_eq!(
        recorder.records().len(),
        before,
        "a window could be reported twice"
    );
    cluster.table.write(row.address, row.value);
    wait_for_windows(&recorder, 3).await;
    assert_windows_are_contiguous(&recorder);
}
