//! Usage: each request of a tenant that began is in one report, each window is reported
//! once whatever happens to the nodes, and reports of two holders lie apart.

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

/// As the cluster's nodes are set up.
const ORDER_GAP: Duration = Duration::from_millis(800);
const REPORTS: &str = "sloetrail_usage_reports";
const WINDOWS: RawUsageSettings = RawUsageSettings {
    window_s: 0.5,
    due_s: 2.0,
};

async fn cluster(nodes: &[&str]) -> (Cluster, Arc<ReportRecorder>) {
    let book = ReportRecorder::new();
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
    cluster.recipient = Some(Arc::<ReportRecorder>::clone(&book));
    cluster.add_application("zone-a").await;
    cluster.add_application("zone-a").await;
    cluster.add_engine(Duration::from_millis(5)).await;
    for name in nodes {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    (cluster, book)
}

fn call(cluster: &Cluster, path: &str, id: &str, key: &str) -> Call {
    let names = cluster.names();
    Call::new(http::Method::POST, HOST, path)
        .header(&names.request_id, id)
        .header(&names.deadline_ms, "1500")
        .header(&names.api_key, key)
        .body("question")
}

/// Makes requests of a tenant, one after the other; all of them are answered.
async fn use_it(cluster: &Cluster, node: usize, tenant: &str, count: usize) {
    let key = format!("{tenant}-key");
    for number in 0..count {
        let id = format!("{tenant}-{node}-{number}");
        let call = call(cluster, "/keyed/x", &id, &key);
        let answer = call.send(cluster.nodes[node].callers).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

async fn wait_reported(book: &ReportRecorder, tenant: &str, count: u64) {
    let is_reported = || async { (book.requests_of(tenant) >= count).then_some(()) };
    eventually("the requests are reported", is_reported).await;
    assert_eq!(book.requests_of(tenant), count);
}

/// Waits for reports of windows that are under way now.
async fn wait_later_windows(book: &ReportRecorder, count: usize) {
    let until = book.taken().len() + count;
    let are_there = || async { (book.taken().len() >= until).then_some(()) };
    eventually("later windows are reported", are_there).await;
}

fn assert_no_window_is_left_out(book: &ReportRecorder) {
    let windows: Vec<u64> = book.taken().keys().map(|window| window.0).collect();
    let (first, last) = (windows[0], windows[windows.len() - 1]);
    assert_eq!(windows, (first..=last).collect::<Vec<u64>>());
}

/// Reports of two holders lie apart, and epochs never fall.
fn assert_no_turns(book: &ReportRecorder) {
    let records = book.records();
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

/// The node that sent the last report.
async fn holder(book: &ReportRecorder) -> usize {
    let holder = || async {
        let records = book.records();
        let names = ["node-1", "node-2", "node-3"];
        let last = records.last()?;
        names.iter().position(|name| *name == last.sender.node)
    };
    eventually("somebody reports", holder).await
}

#[tokio::test(flavor = "multi_thread")]
async fn each_request_of_a_tenant_is_reported_once_whatever_node_took_it() {
    let (cluster, book) = cluster(&["node-1", "node-2"]).await;
    use_it(&cluster, 0, "north", 7).await;
    use_it(&cluster, 1, "north", 6).await;
    use_it(&cluster, 1, "south", 4).await;
    wait_reported(&book, "north", 13).await;
    wait_reported(&book, "south", 4).await;
    wait_later_windows(&book, 3).await;
    assert_eq!(book.requests_of("north"), 13);
    assert_no_window_is_left_out(&book);
    let senders = book.records().into_iter().map(|record| record.sender.node);
    assert_eq!(senders.collect::<BTreeSet<String>>().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_window_holds_the_requests_that_began_in_it() {
    let (cluster, book) = cluster(&["node-1"]).await;
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
        // The middle of a window, so that clocks may differ a little.
        let into = wall_ms() % length_ms;
        let wait = (length_ms + length_ms / 2 - into) % length_ms;
        tokio::time::sleep(Duration::from_millis(wait)).await;
        expected.push((wall_ms() / length_ms, 2));
        use_it(&cluster, 0, "north", 2).await;
        tokio::time::sleep(Duration::from_millis(length_ms / 2)).await;
    }
    wait_reported(&book, "north", 6).await;
    let taken = book.taken();
    let with_requests = taken.values().filter(|report| report.requests() > 0);
    let counted = with_requests.map(|report| (report.window.0, report.requests()));
    assert_eq!(counted.collect::<Vec<(u64, u64)>>(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_requests_that_began_count_and_items_and_rewards_do_not() {
    let (cluster, book) = cluster(&["node-1"]).await;
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
    // Two back ends begin it and fail, the third attempt succeeds: one request.
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
    wait_reported(&book, "north", 1).await;
    wait_later_windows(&book, 3).await;
    assert_eq!(book.requests_of("north"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_leaves_counts_once_it_began() {
    let (cluster, book) = cluster(&["node-1"]).await;
    for application in &cluster.engines[..2] {
        application.set_event_interval(Duration::from_secs(1));
    }
    let call = call(&cluster, "/keyed/x", "r1", "north-key");
    let sending = call.send(cluster.nodes[0].callers);
    let left = tokio::time::timeout(Duration::from_millis(150), sending).await;
    assert!(left.is_err(), "it was being run");
    wait_reported(&book, "north", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_is_killed_is_replaced_and_no_window_is_lost_or_told_twice() {
    let (mut cluster, book) = cluster(&["node-1", "node-2"]).await;
    use_it(&cluster, 0, "north", 3).await;
    use_it(&cluster, 1, "north", 3).await;
    wait_reported(&book, "north", 6).await;
    let first = holder(&book).await;
    let other = 1 - first;
    use_it(&cluster, other, "north", 4).await;
    cluster.nodes[first].kill();
    use_it(&cluster, other, "north", 5).await;
    wait_reported(&book, "north", 15).await;
    assert_eq!(holder(&book).await, other);
    assert_no_window_is_left_out(&book);
    assert_no_turns(&book);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_report_whose_answer_is_lost_is_sent_again_as_it_was_also_by_the_next_holder() {
    let (mut cluster, book) = cluster(&["node-1", "node-2"]).await;
    let first = holder(&book).await;
    use_it(&cluster, 1 - first, "north", 5).await;
    book.set_fault(ReportFault::AcceptedUnanswered);
    let before = book.taken().len();
    let is_taken = || async { (book.taken().len() > before).then_some(()) };
    eventually("a report is taken without an answer", is_taken).await;
    cluster.nodes[first].kill();
    use_it(&cluster, 1 - first, "north", 2).await;
    let is_replaced = || async { (holder(&book).await != first).then_some(()) };
    eventually("the other one reports", is_replaced).await;
    book.set_fault(ReportFault::None);
    wait_reported(&book, "north", 7).await;
    assert_no_window_is_left_out(&book);
    assert_no_turns(&book);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_report_that_was_committed_and_not_taken_is_sent_by_the_next_holder() {
    let (mut cluster, book) = cluster(&["node-1", "node-2"]).await;
    let first = holder(&book).await;
    wait_later_windows(&book, 1).await;
    book.set_fault(ReportFault::Away);
    let before = book.records().len();
    let is_sent = || async { (book.records().len() > before).then_some(()) };
    eventually("a report is sent and not taken", is_sent).await;
    cluster.nodes[first].kill();
    book.set_fault(ReportFault::None);
    wait_later_windows(&book, 4).await;
    assert_no_window_is_left_out(&book);
    assert_no_turns(&book);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_commit_that_takes_effect_late_does_not_put_a_later_report_back() {
    const LATE: Duration = Duration::from_millis(1_200);
    let (cluster, book) = cluster(&["node-1"]).await;
    holder(&book).await;
    cluster
        .table
        .set_commit_fault_on(REPORTS, CommitFault::DoneLate(LATE), 1);
    let committed = || {
        let rows = cluster.table.rows(REPORTS);
        let report: serde_json::Value = serde_json::from_slice(&rows[0].value).expect("JSON");
        report["window"].as_u64().expect("a number")
    };
    let (first, mut newest) = (committed(), committed());
    let began = std::time::Instant::now();
    while began.elapsed() < LATE * 3 {
        let window = committed();
        assert!(window >= newest, "{window} after {newest}");
        newest = window;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(cluster.table.remaining_faults(), Some(0));
    assert!(newest > first + 3, "reports went on");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_runs_longer_than_its_report_waits_counts_in_its_window() {
    let (cluster, book) = cluster(&["node-1"]).await;
    for application in &cluster.engines[..2] {
        application.set_event_interval(Duration::from_millis(1_800));
    }
    let call =
        call(&cluster, "/keyed/x", "r1", "north-key").header(&cluster.names().deadline_ms, "4000");
    let answer = call.send(cluster.nodes[0].callers).await;
    assert_eq!(answer.expect("an answer").status, 200);
    wait_reported(&book, "north", 1).await;
    wait_later_windows(&book, 4).await;
    assert_eq!(book.requests_of("north"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn windows_that_end_while_the_recipient_is_away_are_reported_when_it_is_back() {
    let (cluster, book) = cluster(&["node-1"]).await;
    holder(&book).await;
    book.set_fault(ReportFault::Away);
    use_it(&cluster, 0, "north", 3).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    use_it(&cluster, 0, "north", 3).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    book.set_fault(ReportFault::None);
    wait_reported(&book, "north", 6).await;
    assert_no_window_is_left_out(&book);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_report_that_is_refused_for_good_does_not_hold_the_later_ones_up() {
    let (cluster, book) = cluster(&["node-1"]).await;
    holder(&book).await;
    book.set_fault(ReportFault::Refused);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    book.set_fault(ReportFault::None);
    use_it(&cluster, 0, "north", 3).await;
    wait_reported(&book, "north", 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sum_whose_commit_gets_no_answer_is_reported_as_it_was_committed() {
    for fault in [
        CommitFault::DoneUnanswered,
        CommitFault::RequestLost,
        CommitFault::DoneLate(Duration::from_millis(700)),
    ] {
        let (cluster, book) = cluster(&["node-1"]).await;
        holder(&book).await;
        cluster.table.set_commit_fault_on(REPORTS, fault, 2);
        use_it(&cluster, 0, "north", 4).await;
        wait_reported(&book, "north", 4).await;
        wait_later_windows(&book, 3).await;
        assert_no_window_is_left_out(&book);
        let kept = cluster.table.rows(REPORTS);
        assert_eq!(kept.len(), 1);
        assert_eq!(book.requests_of("north"), 4, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_counted_while_the_table_is_away_is_reported_when_it_is_back() {
    let (cluster, book) = cluster(&["node-1"]).await;
    holder(&book).await;
    cluster.table.set_down(true);
    use_it(&cluster, 0, "north", 4).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    use_it(&cluster, 0, "north", 4).await;
    cluster.table.set_down(false);
    wait_reported(&book, "north", 8).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stops_hands_over_what_it_has_counted() {
    let (mut cluster, book) = cluster(&["node-1", "node-2"]).await;
    let first = holder(&book).await;
    let other = 1 - first;
    use_it(&cluster, other, "north", 5).await;
    cluster.nodes[other].stop();
    wait_reported(&book, "north", 5).await;
    let has_ended = || async { cluster.nodes[other].has_ended().then_some(()) };
    eventually("it has ended", has_ended).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_reported_while_the_last_report_cannot_be_read() {
    let (mut cluster, book) = cluster(&["node-1", "node-2"]).await;
    let first = holder(&book).await;
    cluster.nodes[first].kill();
    let row = cluster.table.rows(REPORTS).remove(0);
    cluster.table.write(row.address.clone(), "unreadable");
    let before = book.records().len();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert_eq!(book.records().len(), before, "a window could be told twice");
    cluster.table.write(row.address, row.value);
    wait_later_windows(&book, 3).await;
    assert_no_window_is_left_out(&book);
}
