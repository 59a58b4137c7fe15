//! Engines that differ in speed while more items wait than there are slots.

mod support;

use sloetrail_serving_testkit::client::{batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, MODEL};
use sloetrail_serving_testkit::engine::{FakeEngine, RunRecord};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{accepted, assert_each_once, cluster_with_run_target, submit_items};

const ITEMS: usize = 440;
const MIN_EVENTS: usize = 10;
const MAX_EVENTS: usize = 40;
/// Slots count as scarce 3 s after the first item at the earliest.
const SCARCE_AFTER: Duration = Duration::from_millis(3_500);

fn events_of(number: usize) -> usize {
    MIN_EVENTS + number % (MAX_EVENTS - MIN_EVENTS + 1)
}

const FAST: Duration = Duration::from_millis(20);
const SLOWER: Duration = Duration::from_millis(50);

/// The runs at an engine that began between the times, and the mean number of their events.
fn runs_between(engine: &FakeEngine, from: Instant, to: Instant) -> (Vec<RunRecord>, f64) {
    let runs: Vec<RunRecord> = engine
        .runs()
        .into_iter()
        .filter(|run| run.began >= from && run.began <= to)
        .collect();
    let events = runs.iter().map(|run| {
        let number = run.id.trim_start_matches('i').parse().expect("a number");
        events_of(number) as f64
    });
    let mean = events.sum::<f64>() / runs.len().max(1) as f64;
    (runs, mean)
}

/// Load: one batch keeps all slots busy for several seconds, and one of four engines is 2.5 times
/// slower. Guards against that engine standing idle except for a probe every 1.5 s while items
/// wait, and against it getting the long texts.
#[tokio::test(flavor = "multi_thread")]
async fn a_slower_engine_runs_short_texts_while_slots_are_scarce() {
    // Long enough that no text is late: texts that are late may move.
    let mut cluster = cluster_with_run_target(60_000).await;
    let mut fast: Vec<Arc<FakeEngine>> = Vec::new();
    for _ in 0..3 {
        fast.push(cluster.add_engine(FAST).await);
    }
    let slower = cluster.add_engine(SLOWER).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let items: Vec<_> = (0..ITEMS)
        .map(|number| {
            let group = format!("g{}", number / 4);
            item(&format!("i{number}"), &group, events_of(number) as u64)
        })
        .collect();
    accepted(&cluster, node, "b1", &batch(&items, MODEL, 1)).await;
    let scarce_from = Instant::now() + SCARCE_AFTER;
    let results = cluster.wait_results(node, "b1", ITEMS).await;
    assert_each_once(&results, ITEMS);
    // The last items of a batch find free slots at all engines.
    let starts = fast.iter().flat_map(|engine| engine.runs());
    let last_start = starts.map(|run| run.began).max().expect("some run");
    let (at_slower, slower_mean) = runs_between(&slower, scarce_from, last_start);
    assert!(at_slower.len() >= 16, "{} runs", at_slower.len());
    for engine in &fast {
        let (_, fast_mean) = runs_between(engine, scarce_from, last_start);
        assert!(slower_mean < fast_mean, "{slower_mean} {fast_mean}");
    }
    assert!(
        at_slower.iter().all(|run| !run.abandoned),
        "no run is cancelled because its engine is slow"
    );
}

/// Runs a batch of equally long texts with this run target on two fast engines and a slower one,
/// which has the last texts. Returns the cluster and the slower engine.
async fn run_batch_on_mixed_engines(run_target_ms: u64, events: u64) -> (Cluster, Arc<FakeEngine>) {
    const TEXTS: usize = 180;
    let mut cluster = cluster_with_run_target(run_target_ms).await;
    cluster.add_engine(FAST).await;
    cluster.add_engine(FAST).await;
    let slower = cluster.add_engine(SLOWER).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    submit_items(&cluster, node, "b1", TEXTS, events).await;
    let results = cluster.wait_results(node, "b1", TEXTS).await;
    assert_each_once(&results, TEXTS);
    (cluster, slower)
}

fn abandoned_runs(engine: &FakeEngine) -> usize {
    let runs = engine.runs();
    runs.iter().filter(|run| run.abandoned).count()
}

/// Load: slots are scarce, and the last texts run on a slower engine while slots of faster ones
/// become free. Guards against interrupting texts that end before their batch is due.
#[tokio::test(flavor = "multi_thread")]
async fn texts_that_end_in_time_stay_at_a_slower_engine_while_slots_are_scarce() {
    // 1.5 s at the slower engine. Slots remain scarce for about 2 s once few texts run.
    let (_cluster, slower) = run_batch_on_mixed_engines(60_000, 30).await;
    assert!(slower.runs().len() >= 16, "{} runs", slower.runs().len());
    assert_eq!(abandoned_runs(&slower), 0);
}

/// Load: as above, but the batch is overdue. Guards against texts that stay at a slower engine
/// although they would end much sooner at a faster one.
#[tokio::test(flavor = "multi_thread")]
async fn late_texts_move_to_faster_engines_while_slots_are_scarce() {
    let (cluster, slower) = run_batch_on_mixed_engines(4_000, 40).await;
    assert!(abandoned_runs(&slower) > 0);
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    let continued = runs.filter(|run| run.last_event.is_some()).count();
    assert!(continued > 0, "the texts continue after their last event");
}
