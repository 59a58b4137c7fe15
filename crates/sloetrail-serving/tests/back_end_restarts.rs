//! Back ends that restart under the same name.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::batch;
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, eventually};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{assert_each_once, items, live, native_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Far below the timeout of an unresponsive engine.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(1_000);

/// Restarts an engine under the same name, and lists it.
async fn restart(
    cluster: &mut Cluster,
    engine: &FakeEngine,
    clock_jump_ms: i64,
) -> Arc<FakeEngine> {
    let restarted = engine.restart(clock_jump_ms).await;
    cluster.engines.push(Arc::clone(&restarted));
    cluster.list(&restarted);
    restarted
}

async fn small_cluster() -> (Cluster, Arc<FakeEngine>) {
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    let engine = cluster.add_engine(EVENT_INTERVAL).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    (cluster, engine)
}

async fn submit(cluster: &Cluster, id: &str, count: usize, events: u64) {
    let work = batch(&items(count, events), MODEL, 1);
    let answer = cluster.submit(0, id, &work).await.expect("an answer");
    assert_eq!(answer.status, 202);
}

fn versions(results: &[Value]) -> Vec<Value> {
    results
        .iter()
        .map(|result| result["versions"].clone())
        .collect()
}

/// An engine that restarts under the same name loses its loaded weight version. Guards against
/// dispatching items by the version of the previous incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_engine_gets_its_weights_ordered_again() {
    let (mut cluster, engine) = small_cluster().await;
    cluster.publish(2);
    submit(&cluster, "b1", 2, 4).await;
    cluster.wait_results(0, "b1", 2).await;
    let is_updated = || async { (engine.version(MODEL) == 2).then_some(()) };
    eventually("the engine has the new version", is_updated).await;
    let orders_before = engine.orders().len();
    let restarted = restart(&mut cluster, &engine, 0).await;
    assert_eq!(restarted.version(MODEL), 1);
    let work = batch(&items(2, 4), MODEL, 2);
    let answer = cluster.submit(0, "b2", &work).await.expect("an answer");
    assert_eq!(answer.status, 202);
    let results = cluster.wait_results(0, "b2", 2).await;
    assert_each_once(&results, 2);
    for versions in versions(&results) {
        assert_eq!(
            versions,
            serde_json::json!([2]),
            "weights are ordered again"
        );
    }
    assert!(orders_before > 0 && !restarted.orders().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_during_generation_ends_its_runs_promptly() {
    for clock_jump_ms in [0, -5_000_000] {
        let (mut cluster, engine) = small_cluster().await;
        engine.set_fault(EngineFault::Silent, None);
        submit(&cluster, "b1", 3, 6).await;
        let are_running = || async { (engine.runs().len() >= 3).then_some(()) };
        eventually("the items are running", are_running).await;
        let started_at = Instant::now();
        restart(&mut cluster, &engine, clock_jump_ms).await;
        let results = cluster.wait_results(0, "b1", 3).await;
        assert_each_once(&results, 3);
        let took = started_at.elapsed();
        assert!(took < MAX_DETECTION_TIME, "{took:?}, clock {clock_jump_ms}");
    }
}

/// Guards against waiting for a timeout when only the directory shows that the incarnation has
/// ended.
#[tokio::test(flavor = "multi_thread")]
async fn request_ends_promptly_once_a_newer_incarnation_is_listed() {
    let mut cluster = native_cluster();
    let engine = cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    engine.set_fault(EngineFault::Silent, None);
    let asking = live(&cluster, 0, "/once/x", "r1");
    let restarting = async {
        let is_running = || async { (!engine.runs().is_empty()).then_some(()) };
        eventually("the request is running", is_running).await;
        // List the name with a new start time and another port; the previous incarnation keeps
        // running.
        let mut listing = engine.listing();
        listing.started_ms += 1;
        let value = serde_json::json!({
            "service": listing.service, "address": "127.0.0.1:9", "zone": listing.zone,
            "slots": listing.slots, "started_ms": listing.started_ms,
        });
        let address = sloetrail_serving::table::RowAddress::new("back_ends", "", &engine.id);
        cluster.table.write(address, value.to_string());
    };
    let started_at = Instant::now();
    let (answer, ()) = tokio::join!(asking, restarting);
    let took = started_at.elapsed();
    assert_eq!(
        answer.expect("an answer").status,
        502,
        "the request may have run"
    );
    assert!(took < MAX_DETECTION_TIME, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_row_of_an_ended_incarnation_is_ignored() {
    let (mut cluster, _) = small_cluster().await;
    let first = cluster.add_application("zone-a").await;
    let others = cluster.engines.clone();
    for other in &others {
        if other.id != first.id && other.service == first.service {
            cluster.unlist(other);
        }
    }
    let is_served = || async {
        let answer = live(&cluster, 0, "/live/x", "sound").await?;
        (answer.status == 200 && !first.runs().is_empty()).then_some(())
    };
    eventually("the first incarnation serves", is_served).await;
    let second = restart(&mut cluster, &first, 0).await;
    let serves = |id: &'static str| {
        let (cluster, second) = (&cluster, &second);
        move || async move {
            let before = second.runs().len();
            let answer = live(cluster, 0, "/live/x", id).await?;
            (answer.status == 200 && second.runs().len() > before).then_some(())
        }
    };
    eventually("the second incarnation serves", serves("second")).await;
    // It already serves under the row of the first incarnation; wait until the node has read
    // its own row.
    tokio::time::sleep(Duration::from_millis(300)).await;
    // A late heartbeat of the first incarnation announces that it leaves.
    first.set_draining();
    cluster.list(&first);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = live(&cluster, 0, "/live/x", "after").await;
    assert_eq!(answer.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_restarts_and_a_frozen_node_lose_no_item() {
    let (mut cluster, engine) = small_cluster().await;
    submit(&cluster, "b1", 4, 60).await;
    let are_running = || async { (engine.runs().len() >= 4).then_some(()) };
    eventually("the items are running", are_running).await;
    let second = restart(&mut cluster, &engine, 0).await;
    let third = restart(&mut cluster, &second, 0).await;
    cluster.nodes[0].freeze(Duration::from_millis(1_500));
    restart(&mut cluster, &third, 0).await;
    let results = cluster.wait_results(0, "b1", 4).await;
    assert_each_once(&results, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_unknown_to_the_table_yields_an_accurate_status() {
    let (mut cluster, _) = small_cluster().await;
    let application = cluster.engines[0].clone();
    let answer = live(&cluster, 0, "/once/x", "before").await;
    assert_eq!(answer.expect("an answer").status, 200);
    // Its row is unchanged: the table does not learn of the restart.
    let restarted = application.restart(0).await;
    cluster.engines.push(Arc::clone(&restarted));
    for number in 0..10 {
        let id = format!("cut-{number}");
        let answer = live(&cluster, 0, "/once/x", &id).await.expect("an answer");
        let runs = restarted.runs_of(&id).len() + application.runs_of(&id).len();
        assert!(runs <= 1, "{id}: {runs}");
        let promises_not_run = answer.status == 503;
        assert_eq!(promises_not_run, runs == 0, "{id}: {}", answer.status);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_is_counted_when_the_back_end_restarts_at_once() {
    const LETHAL: &str = "a reading that ends its server";
    let mut cluster = native_cluster();
    let mut back_end = cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let ask = |cluster: &Cluster, id: &str| {
        let names = cluster.names();
        let call = sloetrail_serving_testkit::client::Call::new(
            http::Method::POST,
            sloetrail_serving_testkit::cluster::HOST,
            "/once/x",
        );
        let call = call
            .header(&names.request_id, id)
            .header(&names.deadline_ms, "1500")
            .body(LETHAL);
        let address = cluster.nodes[0].callers;
        async move { call.send(address).await }
    };
    for number in 0..3 {
        back_end.set_event_interval(Duration::from_millis(200));
        let id = format!("r{number}");
        let asking = tokio::spawn(ask(&cluster, &id));
        let is_running = || async { (!back_end.runs_of(&id).is_empty()).then_some(()) };
        eventually("the request is running", is_running).await;
        back_end = restart(&mut cluster, &back_end, 0).await;
        asking.await.expect("the request ends");
        let serves = || async {
            let answer = live(&cluster, 0, "/live/x", "sound").await?;
            (answer.status == 200).then_some(())
        };
        eventually("the new incarnation serves", serves).await;
    }
    let answer = ask(&cluster, "held").await.expect("an answer");
    assert_eq!(answer.json()["code"], 1111, "{}", answer.text());
}

/// Rows that other writers left in the directory (malformed, with the address of another back
/// end, for an unknown service, oversized) must not affect valid back ends.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_directory_rows_do_not_affect_valid_back_ends() {
    let (cluster, engine) = small_cluster().await;
    let application = cluster.engines[0].clone();
    let taken = application.address().to_string();
    let entry = |service: &str, address: &str, slots: Value| {
        serde_json::json!({
            "service": service, "address": address, "zone": "zone-a", "slots": slots,
            "versions": {MODEL: 9},
        })
        .to_string()
    };
    let invalid = [
        String::new(),
        "{".repeat(10_000),
        "[1, 2]".to_owned(),
        "\u{fffd}\u{0}".to_owned(),
        entry("application", "nowhere", Value::from(8)),
        entry("application", &taken, Value::from("eight")),
        entry("unnamed", &taken, Value::from(8)),
        entry("application", &taken, Value::from(8)),
        entry(&"x".repeat(60_000), "127.0.0.1:9", Value::from(8)),
        entry("models", "127.0.0.1:9", Value::from(u64::MAX)),
    ];
    for round in 0..20 {
        for (number, value) in invalid.iter().enumerate() {
            let key = match number % 2 {
                0 => format!("spoilt-{number}"),
                _ => format!("spoilt-{number}-{}", "y".repeat(150)),
            };
            let address = sloetrail_serving::table::RowAddress::new("back_ends", "", key);
            cluster.table.write(address, value.clone());
        }
        let id = format!("round-{round}");
        let answer = live(&cluster, 0, "/live/x", &id).await.expect("an answer");
        assert_eq!(answer.status, 200, "round {round}: {}", answer.text());
    }
    submit(&cluster, "b1", 6, 4).await;
    let results = cluster.wait_results(0, "b1", 6).await;
    assert_each_once(&results, 6);
    assert_eq!(versions(&results)[0], serde_json::json!([1]));
    assert!(!engine.runs().is_empty());
}

/// An engine whose row becomes unreadable gets no new items, but its runs continue: the row
/// says nothing about them.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_row_stops_new_items_but_not_runs() {
    let (mut cluster, engine) = small_cluster().await;
    engine.set_event_interval(Duration::from_millis(30));
    submit(&cluster, "b1", 2, 40).await;
    let are_running = || async { (engine.runs().len() == 2).then_some(()) };
    eventually("the items are running", are_running).await;
    let address = sloetrail_serving::table::RowAddress::new("back_ends", "", &engine.id);
    cluster.table.write(address, "{\"service\":7");
    let results = cluster.wait_results(0, "b1", 2).await;
    assert_each_once(&results, 2);
    assert_eq!(engine.runs().len(), 2, "no run was restarted");
    submit(&cluster, "b2", 1, 4).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(engine.runs().len(), 2, "the engine gets no new items");
    cluster.add_engine(EVENT_INTERVAL).await;
    let results = cluster.wait_results(0, "b2", 1).await;
    assert_each_once(&results, 1);
}
