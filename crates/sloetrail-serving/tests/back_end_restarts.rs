//! Back ends that start again under the name that they had.

mod support;

use serde_json::Value;
use sloetrail_serving_testkit::client::batch;
use sloetrail_serving_testkit::cluster::{Cluster, MODEL, eventually};
use sloetrail_serving_testkit::engine::{EngineFault, EngineStandIn};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{assert_each_once, items, live, native_cluster};

const PACE: Duration = Duration::from_millis(5);
/// Far shorter than the time after which a silent engine counts as lost.
const AT_ONCE: Duration = Duration::from_millis(1_000);

/// Restarts an engine under its name, and lists it.
async fn restart(
    cluster: &mut Cluster,
    engine: &EngineStandIn,
    clock_jump_ms: i64,
) -> Arc<EngineStandIn> {
    let again = engine.restart(clock_jump_ms).await;
    cluster.engines.push(Arc::clone(&again));
    cluster.list(&again);
    again
}

async fn small_cluster() -> (Cluster, Arc<EngineStandIn>) {
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    let engine = cluster.add_engine(PACE).await;
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

/// The engine holds its newest version in one life and the first one in the next, under the same
/// name and with its entry never gone; its items must be made by what it holds.
#[tokio::test(flavor = "multi_thread")]
async fn what_the_life_before_held_is_not_believed_of_the_next() {
    let (mut cluster, engine) = small_cluster().await;
    cluster.publish(2);
    submit(&cluster, "b1", 2, 4).await;
    cluster.wait_results(0, "b1", 2).await;
    let is_new = || async { (engine.version(MODEL) == 2).then_some(()) };
    eventually("the engine has the new version", is_new).await;
    let orders_before = engine.orders().len();
    let again = restart(&mut cluster, &engine, 0).await;
    assert_eq!(again.version(MODEL), 1);
    let work = batch(&items(2, 4), MODEL, 2);
    let answer = cluster.submit(0, "b2", &work).await.expect("an answer");
    assert_eq!(answer.status, 202);
    let results = cluster.wait_results(0, "b2", 2).await;
    assert_each_once(&results, 2);
    for versions in versions(&results) {
        assert_eq!(versions, serde_json::json!([2]), "ordered anew");
    }
    assert!(orders_before > 0 && !again.orders().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_in_the_middle_of_texts_ends_their_runs_at_once() {
    for clock_jump_ms in [0, -5_000_000] {
        let (mut cluster, engine) = small_cluster().await;
        engine.set_fault(EngineFault::Silent, None);
        submit(&cluster, "b1", 3, 6).await;
        let has_begun = || async { (engine.runs().len() >= 3).then_some(()) };
        eventually("the items are there", has_begun).await;
        let began = Instant::now();
        restart(&mut cluster, &engine, clock_jump_ms).await;
        let results = cluster.wait_results(0, "b1", 3).await;
        assert_each_once(&results, 3);
        let took = began.elapsed();
        assert!(took < AT_ONCE, "{took:?}, clock {clock_jump_ms}");
    }
}

/// The connections of the life before stay silent: only the directory tells of its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_life_whose_connections_stay_silent_is_not_waited_for() {
    let mut cluster = native_cluster();
    let engine = cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    engine.set_fault(EngineFault::Silent, None);
    let asking = live(&cluster, 0, "/once/x", "r1");
    let restarting = async {
        let has_come = || async { (!engine.runs().is_empty()).then_some(()) };
        eventually("the request is there", has_come).await;
        // Listed again with another start, at a port of its own; the old one goes on as it is.
        let mut listing = engine.listing();
        listing.started_ms += 1;
        let value = serde_json::json!({
            "service": listing.service, "address": "127.0.0.1:9", "zone": listing.zone,
            "slots": listing.slots, "started_ms": listing.started_ms,
        });
        let address = sloetrail_serving::table::RowAddress::new("back_ends", "", &engine.id);
        cluster.table.write(address, value.to_string());
    };
    let began = Instant::now();
    let (answer, ()) = tokio::join!(asking, restarting);
    let took = began.elapsed();
    assert_eq!(answer.expect("an answer").status, 502, "it may have run");
    assert!(took < AT_ONCE, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_news_of_the_life_before_does_not_bring_it_back() {
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
    eventually("the first life serves", is_served).await;
    let second = restart(&mut cluster, &first, 0).await;
    let serves = |id: &'static str| {
        let (cluster, second) = (&cluster, &second);
        move || async move {
            let before = second.runs().len();
            let answer = live(cluster, 0, "/live/x", id).await?;
            (answer.status == 200 && second.runs().len() > before).then_some(())
        }
    };
    eventually("the second life serves", serves("second")).await;
    // It serves under the entry of the first life too; the node has to have read its own.
    tokio::time::sleep(Duration::from_millis(300)).await;
    // A heartbeat of the first life arrives late, and says that it leaves.
    first.set_draining();
    cluster.list(&first);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = live(&cluster, 0, "/live/x", "after").await;
    assert_eq!(answer.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_restarts_within_a_second_and_one_while_the_node_stands_still() {
    let (mut cluster, engine) = small_cluster().await;
    submit(&cluster, "b1", 4, 60).await;
    let has_begun = || async { (engine.runs().len() >= 4).then_some(()) };
    eventually("the items are there", has_begun).await;
    let second = restart(&mut cluster, &engine, 0).await;
    let third = restart(&mut cluster, &second, 0).await;
    cluster.nodes[0].freeze(Duration::from_millis(1_500));
    restart(&mut cluster, &third, 0).await;
    let results = cluster.wait_results(0, "b1", 4).await;
    assert_each_once(&results, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_behind_a_cut_from_the_table_is_met_with_a_true_refusal_or_an_answer() {
    let (mut cluster, _) = small_cluster().await;
    let application = cluster.engines[0].clone();
    let answer = live(&cluster, 0, "/once/x", "before").await;
    assert_eq!(answer.expect("an answer").status, 200);
    // Its entry stays as it was: the table does not hear of the restart.
    let again = application.restart(0).await;
    cluster.engines.push(Arc::clone(&again));
    for number in 0..10 {
        let id = format!("cut-{number}");
        let answer = live(&cluster, 0, "/once/x", &id).await.expect("an answer");
        let runs = again.runs_of(&id).len() + application.runs_of(&id).len();
        assert!(runs <= 1, "{id}: {runs}");
        let promises_not_run = answer.status == 503;
        assert_eq!(promises_not_run, runs == 0, "{id}: {}", answer.status);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_is_known_also_if_the_back_end_is_back_before_anybody_looks() {
    const LETHAL: &str = "a reading that ends its server";
    let mut cluster = native_cluster();
    let mut life = cluster.add_application("zone-a").await;
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
        life.set_pace(Duration::from_millis(200));
        let id = format!("r{number}");
        let asking = tokio::spawn(ask(&cluster, &id));
        let has_come = || async { (!life.runs_of(&id).is_empty()).then_some(()) };
        eventually("the request is there", has_come).await;
        life = restart(&mut cluster, &life, 0).await;
        asking.await.expect("it ends");
        let serves = || async {
            let answer = live(&cluster, 0, "/live/x", "sound").await?;
            (answer.status == 200).then_some(())
        };
        eventually("the new life serves", serves).await;
    }
    let answer = ask(&cluster, "held").await.expect("an answer");
    assert_eq!(answer.json()["code"], 1111, "{}", answer.text());
}

/// Entries of another writer beside those of sound back ends: of another form, with the address of
/// another one, of a service that nobody named, of absurd length.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_other_writers_name_no_back_end_and_the_others_hold() {
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
    let spoilt = [
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
        for (number, value) in spoilt.iter().enumerate() {
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

/// The entry of an engine turns unreadable while it runs items: it gets no more of them, and what
/// it runs goes on to its end, for an entry says nothing of a run.
#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_where_an_entry_turns_unreadable() {
    let (mut cluster, engine) = small_cluster().await;
    engine.set_pace(Duration::from_millis(30));
    submit(&cluster, "b1", 2, 40).await;
    let has_begun = || async { (engine.runs().len() == 2).then_some(()) };
    eventually("the items are there", has_begun).await;
    let address = sloetrail_serving::table::RowAddress::new("back_ends", "", &engine.id);
    cluster.table.write(address, "{\"service\":7");
    let results = cluster.wait_results(0, "b1", 2).await;
    assert_each_once(&results, 2);
    assert_eq!(engine.runs().len(), 2, "no run was begun anew");
    submit(&cluster, "b2", 1, 4).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(engine.runs().len(), 2, "it gets no more");
    cluster.add_engine(PACE).await;
    let results = cluster.wait_results(0, "b2", 1).await;
    assert_each_once(&results, 1);
}
