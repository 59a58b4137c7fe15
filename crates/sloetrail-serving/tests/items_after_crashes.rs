//! Items and reward calls of batches under which back ends crash. They are owed: they run again
//! soon, however many back ends have crashed under them.

mod support;

use serde_json::{Value, json};
use sloetrail_quarantine::{RequestDigest, RequestParts};
use sloetrail_serving::table::{RowAddress, Table};
use sloetrail_serving_testkit::client::{batch, item, with_reward};
use sloetrail_serving_testkit::cluster::{APPLICATION, Cluster, HOST, MODEL, MODELS, eventually};
use std::time::{Duration, Instant};
use support::crash_storm::{
    CrashStorm, crash_each_run, running_at, set_event_interval, wait_after,
};
use support::fragile::REPORT_PROPAGATION_TIME;
use support::{accepted, assert_each_once, cluster_with_run_target, lease_holder};

const RUN_TARGET: Duration = Duration::from_secs(10);
/// How long an item may be at no engine after the last crash: a tenth of the time of its step.
const MAX_WAIT: Duration = Duration::from_secs(1);
const ENGINES: usize = 8;
const MAX_CRASHES: usize = 12;
/// No event arrives before a crash.
const LATE_EVENT: Duration = Duration::from_secs(1);
const SHORT_EVENT_INTERVAL: Duration = Duration::from_millis(10);
const EVENTS: u64 = 40;

async fn cluster_of_engines() -> Cluster {
    let run_target_ms = RUN_TARGET.as_millis().try_into().expect("a short time");
    let mut cluster = cluster_with_run_target(run_target_ms).await;
    for _ in 0..ENGINES {
        cluster.add_engine(LATE_EVENT).await;
    }
    for name in ["node-1", "node-2"] {
        let node = cluster.add_node(name).await;
        cluster.wait_ready(node).await;
    }
    cluster
}

fn item_among(id: &str, others: usize) -> Vec<Value> {
    let other = |number: usize| {
        let (id, group) = (format!("{id}-{number}"), format!("g{number}"));
        item(&id, &group, EVENTS + 1 + number as u64)
    };
    let mut items: Vec<Value> = (0..others).map(other).collect();
    items.insert(others / 2, item(id, "g", EVENTS));
    items
}

/// Waits until the item has run again and asserts that it did so in time.
async fn assert_runs_again(cluster: &Cluster, id: &str, since: Instant, max_wait: Duration) {
    let has_run = || async {
        let wait = wait_after(cluster, id, since);
        wait.filter(|wait| *wait < Duration::MAX)
    };
    let wait = eventually("the item runs again", has_run).await;
    assert!(wait <= max_wait, "{id} was at no back end for {wait:?}");
}

/// Submits a batch with the item `id` and crashes the engines that run it.
async fn crash_under_item(
    cluster: &mut Cluster,
    id: &str,
    others: usize,
    crashes: usize,
) -> Instant {
    set_event_interval(cluster, MODELS, LATE_EVENT);
    let work = batch(&item_among(id, others), MODEL, 1);
    accepted(cluster, 0, &format!("batch-{id}"), &work).await;
    crash_each_run(cluster, id, crashes).await
}

async fn assert_completes(cluster: &Cluster, node: usize, id: &str, items: usize) {
    set_event_interval(cluster, MODELS, SHORT_EVENT_INTERVAL);
    let batch = format!("batch-{id}");
    let results = cluster.wait_results(node, &batch, items).await;
    assert_each_once(&results, items);
}

/// Guards against an item that is kept from engines because engines crashed under it.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_runs_again_after_any_number_of_crashes() {
    let mut cluster = cluster_of_engines().await;
    for crashes in 1..=MAX_CRASHES {
        let id = format!("alone-{crashes}");
        let last_crash = crash_under_item(&mut cluster, &id, 0, crashes).await;
        assert_runs_again(&cluster, &id, last_crash, MAX_WAIT).await;
    }
    for crashes in 1..=MAX_CRASHES {
        assert_completes(&cluster, 0, &format!("alone-{crashes}"), 1).await;
    }
}

/// Guards against an item that is kept from engines although those beside it run.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_among_others_runs_again_after_any_number_of_crashes() {
    const OTHERS: usize = 24;
    let mut cluster = cluster_of_engines().await;
    for crashes in [3, 5, 6, MAX_CRASHES] {
        let id = format!("among-{crashes}");
        let last_crash = crash_under_item(&mut cluster, &id, OTHERS, crashes).await;
        assert_runs_again(&cluster, &id, last_crash, MAX_WAIT).await;
        assert_completes(&cluster, 0, &id, OTHERS + 1).await;
    }
}

/// Guards against an item that is kept from engines because it does not get further between crashes.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_runs_again_after_crashes_at_any_place_of_its_text() {
    let mut cluster = cluster_of_engines().await;
    for place in [1, 7, EVENTS - 10] {
        let id = format!("place-{place}");
        set_event_interval(&cluster, MODELS, SHORT_EVENT_INTERVAL);
        let work = batch(&[item(&id, "g", EVENTS)], MODEL, 1);
        accepted(&cluster, 0, &format!("batch-{id}"), &work).await;
        let is_there = || async {
            let engines = cluster.engines.iter();
            let events = engines.flat_map(|engine| engine.events());
            let reached = events.filter(|event| event.id == id).count();
            (reached >= place as usize).then_some(())
        };
        eventually("the item is at the place", is_there).await;
        set_event_interval(&cluster, MODELS, LATE_EVENT);
        let last_crash = crash_each_run(&mut cluster, &id, MAX_CRASHES).await;
        assert_runs_again(&cluster, &id, last_crash, MAX_WAIT).await;
        assert_completes(&cluster, 0, &id, 1).await;
    }
}

/// Guards against an item that a new owner keeps from engines by the rows of crashes.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_runs_again_under_a_new_owner_after_many_crashes() {
    let mut cluster = cluster_of_engines().await;
    crash_under_item(&mut cluster, "moved", 0, MAX_CRASHES).await;
    let owner = lease_holder(&cluster).await;
    let killed_at = Instant::now();
    cluster.nodes[owner].kill();
    let other = 1 - owner;
    let is_taken = || async { (lease_holder(&cluster).await == other).then_some(()) };
    eventually("another node owns the service", is_taken).await;
    let taken_after = killed_at.elapsed();
    assert_runs_again(&cluster, "moved", killed_at, taken_after + MAX_WAIT).await;
    assert_completes(&cluster, other, "moved", 1).await;
}

/// Guards against an item that needs the table to be sent again: only its result does.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_runs_again_after_many_crashes_while_the_table_is_silent() {
    let mut cluster = cluster_of_engines().await;
    crash_under_item(&mut cluster, "silent", 0, MAX_CRASHES / 2).await;
    cluster.table.set_down(true);
    for _ in 0..MAX_CRASHES / 2 {
        let is_running = || async { running_at(&cluster, "silent") };
        let engine = eventually("the item is running", is_running).await;
        let crashed_at = Instant::now();
        engine.crash();
        assert_runs_again(&cluster, "silent", crashed_at, MAX_WAIT).await;
    }
    cluster.table.set_down(false);
    assert_completes(&cluster, 0, "silent", 1).await;
}

/// Guards against an item that a second storm keeps from engines.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_runs_again_after_many_crashes_and_a_second_storm() {
    const OTHERS: usize = 24;
    let mut cluster = cluster_of_engines().await;
    crash_under_item(&mut cluster, "twice", OTHERS, MAX_CRASHES).await;
    tokio::time::sleep(MAX_WAIT / 2).await;
    let second = CrashStorm {
        duration: Duration::from_millis(1_500),
        pause: Duration::from_millis(60),
        down_for: Duration::from_millis(200),
    };
    let last_crash = second.play(&mut cluster, MODELS).await;
    assert_runs_again(&cluster, "twice", last_crash, MAX_WAIT).await;
    assert_completes(&cluster, 0, "twice", OTHERS + 1).await;
}

/// Writes an older node's reports that engines crashed while running an item.
fn write_reports_of_an_older_node(cluster: &Cluster, crashes: usize) {
    let digest = RequestDigest::of(RequestParts {
        tenant: b"",
        host: HOST.as_bytes(),
        method: b"POST",
        path_and_query: b"/rollout/item",
        body: format!("events={EVENTS}").as_bytes(),
    });
    let at_ms = cluster.nodes[0]
        .link
        .now_ms()
        .expect("the table has answered");
    for number in 0..crashes {
        let report = json!({"crashed": {
            "service": MODELS, "back_end": format!("crashed-{number}"), "at_ms": at_ms,
            "requests": [digest], "last_events": {digest.to_string(): 0},
            "on_trial": [digest],
        }});
        let key = format!("crash/older-node/1/{number}");
        let address = RowAddress::new("sloetrail_leases", "sloetrail", key);
        cluster.table.write(address, report.to_string());
    }
}

/// Guards against an item that an older node's rows keep from engines while nodes are replaced.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_runs_although_an_older_node_reports_crashes_under_it() {
    let mut cluster = cluster_of_engines().await;
    write_reports_of_an_older_node(&cluster, MAX_CRASHES);
    tokio::time::sleep(REPORT_PROPAGATION_TIME).await;
    let submitted_at = Instant::now();
    let last_crash = crash_under_item(&mut cluster, "reported", 0, 2).await;
    let runs = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.runs_of("reported"));
    let first = runs.map(|run| run.began).min().expect("a run");
    assert!(first - submitted_at <= MAX_WAIT);
    assert_runs_again(&cluster, "reported", last_crash, MAX_WAIT).await;
    assert_completes(&cluster, 0, "reported", 1).await;
}

const APPLICATIONS: usize = 8;

async fn cluster_of_applications() -> Cluster {
    let mut cluster = cluster_of_engines().await;
    set_event_interval(&cluster, MODELS, Duration::from_millis(1));
    for _ in 1..APPLICATIONS {
        cluster.add_application("zone-a").await;
    }
    set_event_interval(&cluster, APPLICATION, LATE_EVENT);
    cluster
}

/// An item with a reward call whose body is its own.
fn scored_item(number: usize) -> Value {
    let id = format!("i{number}");
    let mut scored = with_reward(item(&id, &format!("g{number}"), 2), HOST);
    // Three characters are a whole group of base64.
    scored["reward"]["body"] = Value::from(format!("{:04}", 1000 + number));
    scored
}

/// Guards against a reward call that waits for a minute because applications crashed under it.
#[tokio::test(flavor = "multi_thread")]
async fn a_reward_call_is_made_again_after_any_number_of_crashes() {
    let mut cluster = cluster_of_applications().await;
    for crashes in [1, 3, 5, 6, MAX_CRASHES] {
        let id = format!("reward-i{crashes}");
        set_event_interval(&cluster, APPLICATION, LATE_EVENT);
        let work = batch(&[scored_item(crashes)], MODEL, 1);
        let batch_id = format!("b{crashes}");
        accepted(&cluster, 0, &batch_id, &work).await;
        let last_crash = crash_each_run(&mut cluster, &id, crashes).await;
        assert_runs_again(&cluster, &id, last_crash, MAX_WAIT).await;
        set_event_interval(&cluster, APPLICATION, SHORT_EVENT_INTERVAL);
        let results = cluster.wait_results(0, &batch_id, 1).await;
        assert_each_once(&results, 1);
    }
}

/// Guards against reward calls that wait for one another's trials: sixty took a minute.
#[tokio::test(flavor = "multi_thread")]
async fn sixty_reward_calls_are_made_again_soon_after_a_storm() {
    const CALLS: usize = 60;
    let mut cluster = cluster_of_applications().await;
    let items: Vec<Value> = (0..CALLS).map(scored_item).collect();
    accepted(&cluster, 0, "b1", &batch(&items, MODEL, 1)).await;
    let storm = CrashStorm {
        duration: Duration::from_secs(3),
        pause: Duration::from_millis(60),
        down_for: Duration::from_millis(200),
    };
    let last_crash = storm.play(&mut cluster, APPLICATION).await;
    set_event_interval(&cluster, APPLICATION, SHORT_EVENT_INTERVAL);
    let results = cluster.wait_results(0, "b1", CALLS).await;
    assert_each_once(&results, CALLS);
    let ids = (0..CALLS).map(|number| format!("reward-i{number}"));
    let waits = ids.filter_map(|id| Some((wait_after(&cluster, &id, last_crash)?, id)));
    let longest = waits.max().expect("calls that were made after the storm");
    assert!(longest.0 <= MAX_WAIT, "{longest:?}");
}
