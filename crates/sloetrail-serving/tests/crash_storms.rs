//! Engines that crash one after the other, for a reason that is no request.

mod support;

use http::Method;
use serde_json::{Value, json};
use sloetrail_serving::dialect::HeaderNames;
use sloetrail_serving_testkit::client::{Call, batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, MODELS, eventually};
use sloetrail_serving_testkit::engine::FakeEngine;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::crash_storm::{CrashStorm, wait_after};
use support::fragile::{FragileCluster, REPORT_PROPAGATION_TIME};
use support::{
    accepted, assert_each_once, cluster_with_run_target, lease_holder, routes_with_rollout,
};

const RUN_TARGET: Duration = Duration::from_secs(10);
/// How long an item may be at no engine after the last crash: a tenth of the time of its step.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Time from the last crash to the trial of a live request.
const TRIAL_DELAY: Duration = Duration::from_secs(2);
const ENGINES: usize = 8;
const ITEMS: usize = 48;
const STORM: CrashStorm = CrashStorm {
    duration: Duration::from_secs(3),
    pause: Duration::from_millis(100),
    down_for: Duration::from_millis(200),
};

/// Items of different lengths, since items with the same body count as one request.
fn distinct_items() -> Vec<Value> {
    let distinct = |number: usize| {
        let (id, group) = (format!("i{number}"), format!("g{number}"));
        item(&id, &group, 100 + number as u64)
    };
    (0..ITEMS).map(distinct).collect()
}

async fn storm_cluster(event_interval: Duration) -> Cluster {
    let run_target_ms = RUN_TARGET.as_millis().try_into().expect("a short time");
    let mut cluster = cluster_with_run_target(run_target_ms).await;
    for _ in 0..ENGINES {
        cluster.add_engine(event_interval).await;
    }
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    cluster
}

/// Guards against items that no engine runs after a storm of crashes in which they were lost.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_crash_storm_run_again_soon_after_it() {
    let mut cluster = storm_cluster(Duration::from_millis(30)).await;
    accepted(&cluster, 0, "b1", &batch(&distinct_items(), MODEL, 1)).await;
    let last_crash = STORM.play(&mut cluster, "models").await;
    let results = cluster.wait_results(0, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    let longest = longest_wait(&cluster, last_crash);
    assert!(longest.0 <= MAX_WAIT, "{longest:?}");
}

/// Sends a request that may not be repeated, and crashes the application that runs it.
async fn lose_request(fragile: &mut FragileCluster, id: &str, body: &str) {
    for engine in &fragile.cluster.engines {
        engine.set_event_interval(Duration::from_millis(400));
    }
    let asking = tokio::spawn(fragile.start_request(0, "/once/x", id, body));
    let is_running = || async {
        let mut engines = fragile.cluster.engines.iter();
        engines.find(|engine| !engine.runs_of(id).is_empty())
    };
    eventually("the request is running", is_running)
        .await
        .crash();
    let answer = asking.await.expect("the request task panicked");
    assert_eq!(answer.expect("an answer").status, 502, "{id}");
    for engine in &fragile.cluster.engines {
        engine.set_event_interval(Duration::from_millis(1));
    }
    fragile.replace_crashed().await;
}

/// Guards against refusing a request for an hour that ran on three back ends of a crash storm.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_a_crash_storm_is_served_soon_after_it() {
    let mut fragile = FragileCluster::start(2).await;
    for round in 0..3 {
        let other = format!("other {round}");
        lose_request(&mut fragile, &format!("other-{round}"), &other).await;
        let again = format!("other-again-{round}");
        let answer = fragile.send_request(0, "/once/x", &again, &other).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        lose_request(&mut fragile, &format!("innocent-{round}"), "innocent").await;
    }
    let asked = fragile
        .send_request(0, "/once/x", "asked", "innocent")
        .await;
    assert_eq!(asked.status, 503, "{}", asked.text());
    let started_at = Instant::now();
    let is_served = || async {
        let answer = fragile
            .send_request(1, "/once/x", "again", "innocent")
            .await;
        (answer.status == 200).then_some(())
    };
    eventually("the request is served", is_served).await;
    assert!(started_at.elapsed() <= 2 * TRIAL_DELAY);
    tokio::time::sleep(REPORT_PROPAGATION_TIME).await;
    let after = fragile
        .send_request(0, "/once/x", "after", "innocent")
        .await;
    assert_eq!(after.status, 200, "{}", after.text());
}

/// Guards against a trial that keeps others away after it has ended well.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_tried_as_soon_as_the_trial_before_it_was_answered() {
    let mut fragile = FragileCluster::start(2).await;
    let suspects = ["innocent", "also innocent"];
    for round in 0..3 {
        for (number, suspect) in suspects.iter().enumerate() {
            lose_request(&mut fragile, &format!("lost-{round}-{number}"), suspect).await;
        }
        let (other, again) = (format!("other-{round}"), format!("other-again-{round}"));
        lose_request(&mut fragile, &other, &other).await;
        let answer = fragile.send_request(0, "/once/x", &again, &other).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    tokio::time::sleep(TRIAL_DELAY).await;
    let answer = fragile
        .send_request(0, "/once/x", "tried", suspects[0])
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    tokio::time::sleep(REPORT_PROPAGATION_TIME).await;
    for node in 0..2 {
        let answer = fragile
            .send_request(node, "/once/x", &format!("next-{node}"), suspects[1])
            .await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        tokio::time::sleep(REPORT_PROPAGATION_TIME).await;
    }
}

/// Guards against a request that stays held because the callers of its trials leave.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_goes_on_after_its_caller_has_left() {
    let mut fragile = FragileCluster::start(2).await;
    for round in 0..3 {
        let (other, again) = (format!("other-{round}"), format!("other-again-{round}"));
        lose_request(&mut fragile, &other, &other).await;
        let answer = fragile.send_request(0, "/once/x", &again, &other).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        lose_request(&mut fragile, &format!("innocent-{round}"), "innocent").await;
    }
    tokio::time::sleep(TRIAL_DELAY).await;
    for engine in &fragile.cluster.engines {
        engine.set_event_interval(Duration::from_millis(200));
    }
    let asking = fragile.start_request(0, "/once/x", "left", "innocent");
    let outcome = tokio::time::timeout(Duration::from_millis(50), asking).await;
    assert!(outcome.is_err(), "the caller got an answer");
    tokio::time::sleep(2 * REPORT_PROPAGATION_TIME).await;
    for node in 0..2 {
        let id = format!("stays-{node}");
        let answer = fragile.send_request(node, "/once/x", &id, "innocent").await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

/// Longer than an engine is up during [`DENSE_STORM`]: no item receives an event.
const LATE_FIRST_EVENT: Duration = Duration::from_millis(400);
const SHORT_EVENT_INTERVAL: Duration = Duration::from_millis(10);
const DENSE_STORM: CrashStorm = CrashStorm {
    duration: Duration::from_secs(3),
    pause: Duration::from_millis(60),
    down_for: Duration::from_millis(200),
};

/// Lets the items complete in short time once the engines no longer crash.
fn speed_up(cluster: &Cluster) {
    for engine in &cluster.engines {
        engine.set_event_interval(SHORT_EVENT_INTERVAL);
    }
}

/// Returns the longest time that an item was at no engine after `since`.
fn longest_wait(cluster: &Cluster, since: Instant) -> (Duration, String) {
    let waits = (0..ITEMS).filter_map(|number| {
        let item = format!("i{number}");
        Some((wait_after(cluster, &item, since)?, item))
    });
    waits.max().expect("items that run on after the storm")
}

/// Guards against trials that wait for one another: the storm leaves all items as suspects.
#[tokio::test(flavor = "multi_thread")]
async fn items_lost_before_their_first_event_run_again_soon_after_a_storm() {
    let mut cluster = storm_cluster(LATE_FIRST_EVENT).await;
    accepted(&cluster, 0, "b1", &batch(&distinct_items(), MODEL, 1)).await;
    let last_crash = DENSE_STORM.play(&mut cluster, "models").await;
    speed_up(&cluster);
    let results = cluster.wait_results(0, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    let longest = longest_wait(&cluster, last_crash);
    assert!(longest.0 <= MAX_WAIT, "{longest:?}");
}

/// Guards against items that stay held when the owner that was trying them is lost.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_crash_storm_run_again_under_a_new_owner() {
    let mut cluster = storm_cluster(LATE_FIRST_EVENT).await;
    accepted(&cluster, 0, "b1", &batch(&distinct_items(), MODEL, 1)).await;
    let last_crash = DENSE_STORM.play(&mut cluster, "models").await;
    let owner = lease_holder(&cluster).await;
    cluster.nodes[owner].kill();
    let other = 1 - owner;
    let is_taken = || async { (lease_holder(&cluster).await == other).then_some(()) };
    eventually("another node owns the service", is_taken).await;
    let taken_after = last_crash.elapsed();
    speed_up(&cluster);
    let results = cluster.wait_results(other, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    let longest = longest_wait(&cluster, last_crash);
    assert!(longest.0 <= taken_after + MAX_WAIT, "{longest:?}");
}

/// Guards against trials that wait for the table: only results need it.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_crash_storm_run_again_while_the_table_is_silent() {
    let mut cluster = storm_cluster(LATE_FIRST_EVENT).await;
    accepted(&cluster, 0, "b1", &batch(&distinct_items(), MODEL, 1)).await;
    let last_crash = DENSE_STORM.play(&mut cluster, "models").await;
    cluster.table.set_down(true);
    speed_up(&cluster);
    tokio::time::sleep(MAX_WAIT).await;
    let longest = longest_wait(&cluster, last_crash);
    assert!(longest.0 <= MAX_WAIT, "{longest:?}");
    cluster.table.set_down(false);
    let results = cluster.wait_results(0, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
}

/// Guards against items that stay held after a second storm met their trials.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_two_crash_storms_run_again_soon_after_the_second() {
    let mut cluster = storm_cluster(LATE_FIRST_EVENT).await;
    accepted(&cluster, 0, "b1", &batch(&distinct_items(), MODEL, 1)).await;
    DENSE_STORM.play(&mut cluster, "models").await;
    tokio::time::sleep(MAX_WAIT / 2).await;
    let second = CrashStorm {
        duration: DENSE_STORM.duration / 2,
        ..DENSE_STORM
    };
    let last_crash = second.play(&mut cluster, "models").await;
    speed_up(&cluster);
    let results = cluster.wait_results(0, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    let longest = longest_wait(&cluster, last_crash);
    assert!(longest.0 <= MAX_WAIT, "{longest:?}");
}

/// Crashes of a request: three until it is held, and as the operators' rule allows three more.
const MAX_LETHAL_CRASHES: usize = 6;
const LETHAL: &str = "a question that ends its engine";

async fn send_lethal(names: HeaderNames, address: SocketAddr, number: usize) {
    let call = Call::new(Method::POST, HOST, "/shared/x")
        .header(&names.request_id, &format!("lethal-{number}"))
        .header(&names.deadline_ms, "1500")
        .body(LETHAL);
    // No answer, or one of any status: the crashes are counted.
    let _ = call.send(address).await;
}

/// Guards against a storm under whose cover a request crashes engines without end, or items are held.
#[tokio::test(flavor = "multi_thread")]
async fn a_lethal_request_amid_a_crash_storm_is_held_and_the_items_complete() {
    let prepare = |engine: &FakeEngine| engine.set_crash_body(LETHAL);
    let mut cluster = storm_cluster(Duration::from_millis(30)).await;
    let mut routes = routes_with_rollout(&json!({"run_target_ms": RUN_TARGET.as_millis() as u64}));
    let shared = json!({
        "name": "shared", "host": HOST, "path_prefix": "/shared/", "kind": "idempotent",
        "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 3, "service": MODELS,
    });
    routes.as_array_mut().expect("routes").push(shared);
    cluster.configure(routes);
    cluster.engines.iter().for_each(|engine| prepare(engine));
    accepted(&cluster, 0, "b1", &batch(&distinct_items(), MODEL, 1)).await;
    let (names, addresses) = (
        cluster.names(),
        [0, 1].map(|node| cluster.nodes[node].callers),
    );
    let sending = tokio::spawn(async move {
        for number in 0..40 {
            send_lethal(names.clone(), addresses[number % 2], number).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
    STORM.play_with(&mut cluster, MODELS, prepare).await;
    while !sending.is_finished() {
        for engine in crashed_and_not_replaced(&cluster) {
            let restarted = engine.restart(0).await;
            prepare(&restarted);
            cluster.list(&restarted);
            cluster.engines.push(restarted);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let results = cluster.wait_results(0, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    let engines = cluster.engines.iter().flat_map(|engine| engine.runs());
    let runs = engines.filter(|run| run.id.starts_with("lethal-")).count();
    assert!((3..=MAX_LETHAL_CRASHES).contains(&runs), "{runs} runs");
}

/// Engines that have crashed and not restarted.
fn crashed_and_not_replaced(cluster: &Cluster) -> Vec<Arc<FakeEngine>> {
    let crashed = cluster.engines.iter().filter(|engine| {
        let mut later = cluster.engines.iter();
        let is_replaced =
            later.any(|other| other.id == engine.id && other.started_ms > engine.started_ms);
        engine.has_crashed() && !is_replaced
    });
    crashed.cloned().collect()
}

/// Returns the reported crashes of an engine, in milliseconds of the table's clock.
fn crash_times(cluster: &Cluster, engine: &FakeEngine) -> Vec<u64> {
    let rows = cluster.table.rows("sloetrail_leases");
    let crashes = rows
        .iter()
        .filter(|row| row.address.key.starts_with("crash/"));
    let crashes = crashes.filter_map(|row| {
        let row: Value = serde_json::from_slice(&row.value).ok()?;
        let back_end = row["crashed"]["back_end"].as_str()?.to_owned();
        Some((back_end, row["crashed"]["at_ms"].as_u64()?))
    });
    let incarnation = format!("{}@{}", engine.id, engine.started_ms);
    let of_engine = crashes.filter(|(back_end, _)| *back_end == incarnation);
    of_engine.map(|(_, at_ms)| at_ms).collect()
}

/// The order of crashes tells whether a text got further between them. Guards against a crash that
/// counts from the restart that shows it.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_that_a_restart_shows_counts_from_the_loss() {
    let mut fragile = FragileCluster::start(1).await;
    for engine in &fragile.cluster.engines {
        engine.set_event_interval(Duration::from_millis(400));
    }
    let asking = tokio::spawn(fragile.start_request(0, "/once/x", "first", "one"));
    let is_running = || async {
        let mut engines = fragile.cluster.engines.iter();
        engines.find(|engine| !engine.runs_of("first").is_empty())
    };
    let first = Arc::clone(eventually("the request is running", is_running).await);
    first.reset_connections();
    asking.await.expect("the request task panicked");
    lose_request(&mut fragile, "second", "two").await;
    let mut engines = fragile.cluster.engines.iter();
    let second = engines.rfind(|engine| engine.has_crashed());
    let second = Arc::clone(second.expect("a crashed engine"));
    tokio::time::sleep(REPORT_PROPAGATION_TIME).await;
    let restarted = first.restart(0).await;
    fragile.cluster.list(&restarted);
    let both = || async {
        let (first, second) = (
            crash_times(&fragile.cluster, &first),
            crash_times(&fragile.cluster, &second),
        );
        Some((*first.first()?, *second.first()?))
    };
    let (first, second) = eventually("both crashes are reported", both).await;
    assert!(first < second, "{first} is not before {second}");
}
