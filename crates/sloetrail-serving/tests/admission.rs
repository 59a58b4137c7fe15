//! Batches whose work could not begin before they are due are refused at once.

mod support;

use serde_json::{Value, json};
use sloetrail_serving::policies::Policies;
use sloetrail_serving::table::RowAddress;
use sloetrail_serving_testkit::client::{Answer, batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, eventually, usual_routes};
use sloetrail_serving_testkit::table::CommitFault;
use std::time::{Duration, Instant};
use support::{accepted, lease_holder, native_cluster};

const BACKLOG_KEY: &str = "backlog/models";
const BACKLOG_TOO_LONG: u64 = 1114;
/// With eight slots, the engine makes 400 events per second.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const RUN_TARGET_MS: u64 = 1_500;
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Items and events of a batch that takes several times the run target.
const LONG: (usize, u64) = (60, 150);
const SHORT: (usize, u64) = (8, 3);

async fn cluster() -> Cluster {
    cluster_with(Policies::default()).await
}

/// Starts two nodes and one engine.
async fn cluster_with(policies: Policies) -> Cluster {
    cluster_with_run_target(policies, RUN_TARGET_MS).await
}

async fn cluster_with_run_target(policies: Policies, run_target_ms: u64) -> Cluster {
    let mut cluster = native_cluster();
    cluster.policies = policies;
    let mut routes = usual_routes();
    let rollout = routes.as_array_mut().and_then(|routes| routes.last_mut());
    rollout.expect("a route")["run_target_ms"] = json!(run_target_ms);
    cluster.configure(routes);
    cluster.add_application("zone-a").await;
    cluster.add_engine(EVENT_INTERVAL).await;
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    cluster
}

fn work(id: &str, (items, events): (usize, u64)) -> Value {
    let items: Vec<Value> = (0..items)
        .map(|number| item(&format!("{id}-i{number}"), &format!("g{number}"), events))
        .collect();
    batch(&items, MODEL, 1)
}

async fn submit(cluster: &Cluster, node: usize, id: &str, size: (usize, u64)) -> Answer {
    let answer = cluster.submit(node, id, &work(id, size)).await;
    answer.expect("an answer")
}

/// Runs a batch, so that the owner knows the engine's speed and the unit of the hints.
async fn warm_up(cluster: &Cluster) {
    let size = (16, 10);
    accepted(cluster, 0, "warm", &work("warm", size)).await;
    cluster.wait_results(0, "warm", size.0).await;
}

fn backlog_row(cluster: &Cluster) -> Option<Vec<u8>> {
    let rows = cluster.table.rows("sloetrail_leases");
    let row = rows.iter().find(|row| row.address.key == BACKLOG_KEY)?;
    Some(row.value.to_vec())
}

/// Makes a backlog of several run targets with the batch `long`, and waits until it is reported.
async fn make_backlog(cluster: &Cluster) {
    make_backlog_of(cluster, LONG).await;
}

async fn make_backlog_of(cluster: &Cluster, size: (usize, u64)) {
    accepted(cluster, 0, "long", &work("long", size)).await;
    let is_reported = || async { backlog_row(cluster).map(drop) };
    eventually("the backlog is reported", is_reported).await;
    // The report reaches the views of all nodes.
    tokio::time::sleep(Duration::from_millis(200)).await;
}

async fn end_backlog(cluster: &Cluster) {
    let answer = cluster.end(0, "long").await.expect("an answer");
    assert_eq!(answer.status, 200);
}

fn runs_of(cluster: &Cluster, id: &str) -> usize {
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.id.starts_with(id)).count()
}

fn is_stored(cluster: &Cluster, id: &str) -> bool {
    let mut batches = cluster.table.rows("sloetrail_batches").into_iter();
    batches.any(|row| row.address.key == id)
}

fn assert_refused(answer: &Answer) {
    assert_eq!(answer.status, 503, "{}", answer.text());
    let problem = answer.json();
    assert_eq!(problem["code"], BACKLOG_TOO_LONG, "{problem}");
    assert_eq!(problem["kind"], "not_run");
    let retry_after = answer.headers.get("retry-after").expect("a retry delay");
    let seconds: f64 = retry_after.to_str().expect("text").parse().expect("number");
    let longest = ROUTE_TIMEOUT.as_secs_f64() / 4.0;
    assert!(0.0 < seconds && seconds <= longest, "{seconds} s");
}

/// Guards against accepting work that ends late in any case, and against running what was refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_is_refused_during_a_backlog_and_accepted_after_it() {
    let cluster = cluster().await;
    warm_up(&cluster).await;
    make_backlog(&cluster).await;
    for node in [0, 1] {
        let started_at = Instant::now();
        assert_refused(&submit(&cluster, node, "b1", SHORT).await);
        assert!(started_at.elapsed() < Duration::from_secs(1), "at once");
    }
    assert!(!is_stored(&cluster, "b1"));
    end_backlog(&cluster).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(runs_of(&cluster, "b1"), 0, "refused as not run");
    let answer = submit(&cluster, 1, "b1", SHORT).await;
    assert_eq!(answer.status, 202, "{}", answer.text());
    cluster.wait_results(0, "b1", SHORT.0).await;
    assert_eq!(runs_of(&cluster, "b1"), SHORT.0);
}

/// Guards against a report that costs writes while there is no backlog.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_reported_without_a_backlog() {
    let cluster = cluster().await;
    warm_up(&cluster).await;
    for id in ["b1", "b2", "b3"] {
        accepted(&cluster, 0, id, &work(id, SHORT)).await;
        cluster.wait_results(0, id, SHORT.0).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(backlog_row(&cluster), None);
}

/// Guards against a policy that cannot be turned off.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_policy_nothing_is_reported_or_refused() {
    let cluster = cluster_with(Policies {
        refuse_unservable: false,
        ..Policies::default()
    })
    .await;
    warm_up(&cluster).await;
    accepted(&cluster, 0, "long", &work("long", LONG)).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(backlog_row(&cluster), None);
    accepted(&cluster, 1, "b1", &work("b1", SHORT)).await;
}

/// Guards against the answer "not run" for a batch that an earlier attempt has stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_was_written_without_an_answer_is_never_refused() {
    let cluster = cluster().await;
    warm_up(&cluster).await;
    let table = &cluster.table;
    table.set_commit_fault_on("sloetrail_batches", CommitFault::DoneUnanswered, 1_000);
    let unanswered = submit(&cluster, 0, "b1", SHORT).await;
    assert_eq!(unanswered.status, 504, "{}", unanswered.text());
    table.set_commit_fault(CommitFault::None, None);
    make_backlog(&cluster).await;
    assert_refused(&submit(&cluster, 1, "b2", SHORT).await);
    for node in [0, 1] {
        let answer = submit(&cluster, node, "b1", SHORT).await;
        assert_eq!(answer.status, 202, "node {node}: {}", answer.text());
    }
    cluster.wait_results(0, "b1", SHORT.0).await;
    assert_eq!(runs_of(&cluster, "b1"), SHORT.0);
}

/// Guards against the answer "not run" while an earlier attempt is still to take effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_is_written_late_is_not_refused_by_its_node() {
    // The backlog must not be overdue when the late write takes effect.
    const RUN_TARGET_MS: u64 = 20_000;
    const LONG: (usize, u64) = (60, 1_000);
    let cluster = cluster_with_run_target(Policies::default(), RUN_TARGET_MS).await;
    warm_up(&cluster).await;
    make_backlog_of(&cluster, LONG).await;
    assert_refused(&submit(&cluster, 0, "b2", SHORT).await);
    // The first attempt begins before the node knows the report.
    let row = RowAddress::new("sloetrail_leases", "sloetrail", BACKLOG_KEY);
    let late = CommitFault::DoneLate(Duration::from_millis(4_000));
    let unanswered = eventually("a batch is accepted without a report", || async {
        let table = &cluster.table;
        table.delete(row.clone());
        table.set_commit_fault_on("sloetrail_batches", late, 1_000);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = submit(&cluster, 0, "b1", SHORT).await;
        (answer.status == 504).then_some(answer)
    })
    .await;
    assert_eq!(unanswered.json()["kind"], "outcome_unknown");
    cluster.table.set_commit_fault(CommitFault::None, None);
    let is_reported = || async { backlog_row(&cluster).map(drop) };
    eventually("the backlog is reported", is_reported).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_refused(&submit(&cluster, 0, "b2", SHORT).await);
    let answer = submit(&cluster, 0, "b1", SHORT).await;
    assert_eq!(answer.status, 202, "{}", answer.text());
}

/// Guards against the answer "not run" while the table does not tell whether the batch was stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_backlog_refuses_nothing_while_the_table_does_not_answer() {
    let cluster = cluster().await;
    warm_up(&cluster).await;
    make_backlog(&cluster).await;
    assert_refused(&submit(&cluster, 0, "b1", SHORT).await);
    cluster.table.set_down(true);
    let answer = submit(&cluster, 0, "b1", SHORT).await;
    let code = &answer.json()["code"];
    assert!(code.is_u64() && *code != BACKLOG_TOO_LONG, "{code}");
    cluster.table.set_down(false);
    end_backlog(&cluster).await;
    let is_accepted = || async {
        let answer = submit(&cluster, 0, "b1", SHORT).await;
        (answer.status == 202).then_some(())
    };
    eventually("the batch is accepted", is_accepted).await;
    cluster.wait_results(0, "b1", SHORT.0).await;
}

/// Guards against refusing batches for the backlog of an owner that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn batches_are_accepted_after_the_owner_is_lost() {
    let mut cluster = cluster().await;
    warm_up(&cluster).await;
    make_backlog(&cluster).await;
    let owner = lease_holder(&cluster).await;
    assert_refused(&submit(&cluster, 1 - owner, "b1", SHORT).await);
    cluster.nodes[owner].kill();
    let is_accepted = || async {
        let answer = submit(&cluster, 1 - owner, "b1", SHORT).await;
        (answer.status == 202).then_some(())
    };
    eventually("the batch is accepted", is_accepted).await;
}

/// When a batch was accepted, by the table's clock.
fn accepted_at(cluster: &Cluster, id: &str) -> u64 {
    let rows = cluster.table.rows("sloetrail_batches");
    let row = rows.iter().find(|row| row.address.key == id);
    let stored = &row.expect("a stored header").value;
    let header: Value = ciborium::from_reader(&stored[..]).expect("valid CBOR");
    header["accepted_at_ms"].as_u64().expect("a number")
}

/// The stored form of a report of an endless backlog.
fn report(at: u64) -> Vec<u8> {
    let open = json!({
        "urgency": {"priority": 0, "route": 0}, "due_at": 0, "time_to_finish": 1_000_000_000,
    });
    let row = json!({
        "models": {MODEL: {"units_per_second": 1.0, "batches": [open]}}, "epoch": 1, "at": at,
    });
    let mut stored = Vec::new();
    ciborium::into_writer(&row, &mut stored).expect("writing to a Vec cannot fail");
    stored
}

/// Guards against refusals because of rows that must not be used.
#[tokio::test(flavor = "multi_thread")]
async fn stale_unreadable_and_future_reports_refuse_nothing() {
    let cluster = cluster().await;
    let row = RowAddress::new("sloetrail_leases", "sloetrail", BACKLOG_KEY);
    accepted(&cluster, 0, "first", &work("first", (1, 1))).await;
    let (accepted_at, began) = (accepted_at(&cluster, "first"), Instant::now());
    let now_ms = || accepted_at + began.elapsed().as_millis() as u64;
    let rows = [
        ("stale", report(now_ms() - 30_000)),
        ("unreadable", b"\xff".to_vec()),
        ("empty", Vec::new()),
        ("future", report(now_ms() + 60_000)),
        ("end of time", report(u64::MAX)),
    ];
    for (number, (name, stored)) in rows.into_iter().enumerate() {
        cluster.table.write(row.clone(), stored);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let answer = submit(&cluster, number % 2, &format!("b{number}"), (1, 1)).await;
        assert_eq!(answer.status, 202, "{name}: {}", answer.text());
    }
    // The row has the form that nodes use, so that the others were not merely unreadable. The
    // owner, which has no backlog, replaces it within a second.
    let is_refused = || async {
        cluster.table.write(row.clone(), report(now_ms()));
        tokio::time::sleep(Duration::from_millis(100)).await;
        let id = format!("c{}", now_ms());
        let answer = submit(&cluster, 0, &id, (1, 1)).await;
        (answer.json()["code"] == BACKLOG_TOO_LONG).then_some(())
    };
    eventually("a fresh report refuses", is_refused).await;
}
