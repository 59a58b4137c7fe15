//! Evacuation of zones and its withdrawal: an evacuated zone receives no new work, also when the
//! table or a node fails.

mod support;

use http::Method;
use sloetrail_serving_testkit::client::Call;
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually, usual_routes};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{
    assert_each_once, lease_holder, live, max_arrivals_per_second, native_cluster, submit_items,
    tolerance,
};

const OWN: &str = "zone-a";
const OTHER: &str = "zone-b";
/// Time within which every node applies an evacuation.
const PROPAGATION_TIME: Duration = Duration::from_millis(300);
/// Bound for an immediate refusal.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// The back ends of one zone.
struct Zone {
    application: Arc<FakeEngine>,
    engine: Arc<FakeEngine>,
}

impl Zone {
    async fn start(cluster: &mut Cluster, zone: &str, event_interval: Duration) -> Self {
        Self {
            application: cluster.add_application(zone).await,
            engine: cluster.add_engine_in(zone, event_interval).await,
        }
    }

    /// Requests and items received so far.
    fn arrivals(&self) -> usize {
        self.application.arrivals().len() + self.engine.arrivals().len()
    }
}

async fn add_nodes(cluster: &mut Cluster, count: usize) {
    for number in 1..=count {
        let node = cluster.add_node(&format!("node-{number}")).await;
        cluster.wait_ready(node).await;
    }
}

/// Starts nodes and back ends in one zone, and back ends in another.
async fn cluster_of_two_zones(nodes: usize, event_interval: Duration) -> (Cluster, Zone, Zone) {
    let mut cluster = native_cluster();
    let own = Zone::start(&mut cluster, OWN, event_interval).await;
    let other = Zone::start(&mut cluster, OTHER, event_interval).await;
    add_nodes(&mut cluster, nodes).await;
    (cluster, own, other)
}

/// Waits until at least `count` items are running at an engine.
async fn wait_running(engine: &FakeEngine, count: usize) {
    let is_busy = || async { (engine.runs().len() >= count).then_some(()) };
    eventually("items are running at the engine", is_busy).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn running_work_completes_and_no_new_work_reaches_an_evacuated_zone() {
    let (cluster, own, other) = cluster_of_two_zones(1, Duration::from_millis(20)).await;
    submit_items(&cluster, 0, "b1", 40, 40).await;
    wait_running(&own.engine, 8).await;
    assert_eq!(
        live(&cluster, 0, "/live/x", "r0")
            .await
            .expect("an answer")
            .status,
        200
    );
    assert_eq!(
        own.application.arrivals().len(),
        1,
        "the node prefers its own zone"
    );
    cluster.evacuate(OWN);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let before = own.arrivals();
    submit_items(&cluster, 0, "b2", 10, 5).await;
    for number in 0..20 {
        let answer = live(&cluster, 0, "/live/x", &format!("r1-{number}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    assert_each_once(&cluster.wait_results(0, "b1", 40).await, 40);
    assert_each_once(&cluster.wait_results(0, "b2", 10).await, 10);
    assert_eq!(
        own.arrivals(),
        before,
        "new work was sent to the evacuated zone"
    );
    assert_eq!(other.application.arrivals().len(), 20);
    let runs = own.engine.runs();
    assert!(
        runs.iter().all(|run| run.finished && !run.abandoned),
        "{runs:?}"
    );
    cluster.publish(2);
    let has_weights = || async { (other.engine.version(MODEL) == 2).then_some(()) };
    eventually("the other zone has the weights", has_weights).await;
    assert!(
        own.engine.orders().is_empty(),
        "an order was sent to the evacuated zone"
    );
}

/// Reads a gauge by name and labels. None if the node does not report it.
async fn gauge(metrics: SocketAddr, name: &str) -> Option<f64> {
    let answer = Call::new(Method::GET, HOST, "/metrics").send(metrics).await;
    let text = answer.expect("an answer").text();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map(|value| value.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_report_running_work_of_an_evacuated_zone() {
    const SECONDS: &str = "sloetrail_evacuation_seconds{zone=\"zone-a\"}";
    const ITEMS: &str = "sloetrail_evacuation_running{zone=\"zone-a\",kind=\"items\"}";
    let mut cluster = native_cluster();
    let own = Zone::start(&mut cluster, OWN, Duration::from_millis(20)).await;
    cluster.has_metrics = true;
    add_nodes(&mut cluster, 1).await;
    let metrics = cluster.nodes[0].metrics.expect("a metrics address");
    submit_items(&cluster, 0, "b1", 4, 150).await;
    wait_running(&own.engine, 4).await;
    assert_eq!(gauge(metrics, SECONDS).await, None, "never evacuated");
    cluster.evacuate(OWN);
    let in_force = || async { gauge(metrics, SECONDS).await.filter(|age| *age > 0.0) };
    eventually("the evacuation is in force", in_force).await;
    assert_eq!(gauge(metrics, ITEMS).await, Some(4.0));
    cluster.wait_results(0, "b1", 4).await;
    assert_eq!(gauge(metrics, ITEMS).await, Some(0.0));
    cluster.withdraw_evacuation(OWN);
    let withdrawn = || async { gauge(metrics, SECONDS).await.filter(|age| *age == 0.0) };
    eventually("the evacuation is withdrawn", withdrawn).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_returns_at_the_cold_rate_after_a_withdrawal() {
    const COLD: Duration = Duration::from_millis(2_000);
    const MAX_COLD_RATE: usize = 4;
    let mut cluster = native_cluster();
    cluster.cold = Some((COLD.as_secs_f64(), MAX_COLD_RATE as f64));
    // Warm engines get the maximum rate less the share reserved for a second owner: 28 a
    // second.
    cluster.cold_tolerance = tolerance(1.0, 28.0);
    cluster.configure(usual_routes());
    let own = Zone::start(&mut cluster, OWN, Duration::from_millis(2)).await;
    add_nodes(&mut cluster, 1).await;
    cluster.evacuate(OWN);
    tokio::time::sleep(PROPAGATION_TIME).await;
    submit_items(&cluster, 0, "b1", 60, 2).await;
    assert_eq!(own.arrivals(), 0);
    let withdrawn_at = Instant::now();
    cluster.withdraw_evacuation(OWN);
    let mut answered = 0;
    while withdrawn_at.elapsed() < COLD {
        let answer = live(&cluster, 0, "/live/x", "r").await.expect("an answer");
        answered += usize::from(answer.status == 200);
    }
    assert_each_once(&cluster.wait_results(0, "b1", 60).await, 60);
    for engine in [&own.application, &own.engine] {
        let arrivals = engine.arrivals();
        let while_cold = arrivals.into_iter().filter(|at| *at - withdrawn_at < COLD);
        let while_cold: Vec<Instant> = while_cold.collect();
        assert!(
            while_cold.len() > MAX_COLD_RATE,
            "work returns: {}",
            while_cold.len()
        );
        let most = max_arrivals_per_second(while_cold);
        assert!(most <= MAX_COLD_RATE, "{most} of {MAX_COLD_RATE} a second");
    }
    assert!(
        answered > MAX_COLD_RATE,
        "{answered} live requests were served"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn live_requests_are_refused_when_all_zones_are_evacuated() {
    let (cluster, own, other) = cluster_of_two_zones(1, Duration::from_millis(5)).await;
    cluster.evacuate(OWN);
    cluster.evacuate(OTHER);
    tokio::time::sleep(PROPAGATION_TIME).await;
    for path in ["/live/x", "/once/x", "/events/x"] {
        let watch = Stopwatch::start();
        let answer = live(&cluster, 0, path, "r1").await.expect("an answer");
        let took = watch.elapsed();
        assert!(took < MAX_REFUSAL_TIME, "{path}: {took:?}");
        assert_eq!(answer.status, 503, "{path}");
        assert_eq!(answer.json()["code"], 1101, "{path}");
        assert!(answer.headers.contains_key("retry-after"), "{path}");
    }
    submit_items(&cluster, 0, "b1", 10, 5).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(
        own.arrivals() + other.arrivals(),
        0,
        "work was sent to an evacuated zone"
    );
    cluster.withdraw_evacuation(OTHER);
    assert_each_once(&cluster.wait_results(0, "b1", 10).await, 10);
    let answer = live(&cluster, 0, "/live/x", "r2").await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(own.arrivals(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_survives_table_outage_and_owner_loss() {
    let (mut cluster, own, other) = cluster_of_two_zones(2, Duration::from_millis(20)).await;
    let owner = lease_holder(&cluster).await;
    let remaining = 1 - owner;
    submit_items(&cluster, remaining, "b1", 40, 40).await;
    wait_running(&own.engine, 8).await;
    cluster.evacuate(OWN);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let before = own.arrivals();
    cluster.table.set_down(true);
    cluster.nodes[owner].kill();
    for number in 0..10 {
        let answer = live(&cluster, remaining, "/live/x", &format!("r{number}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    // Withdrawn and requested again while the table is unavailable.
    cluster.withdraw_evacuation(OWN);
    cluster.evacuate(OWN);
    cluster.table.forget_history();
    cluster.table.set_down(false);
    assert_each_once(&cluster.wait_results(remaining, "b1", 40).await, 40);
    assert_eq!(
        own.arrivals(),
        before,
        "new work was sent to the evacuated zone"
    );
    assert!(other.arrivals() >= 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_during_a_table_outage_applies_afterwards() {
    let (cluster, own, _other) = cluster_of_two_zones(1, Duration::from_millis(5)).await;
    cluster.evacuate(OWN);
    tokio::time::sleep(PROPAGATION_TIME).await;
    cluster.table.set_down(true);
    cluster.withdraw_evacuation(OWN);
    tokio::time::sleep(PROPAGATION_TIME).await;
    live(&cluster, 0, "/live/x", "r1").await.expect("an answer");
    assert_eq!(own.arrivals(), 0, "the last known state no longer applies");
    cluster.table.forget_history();
    cluster.table.set_down(false);
    let returns = || async {
        live(&cluster, 0, "/live/x", "r2").await?;
        (own.arrivals() > 0).then_some(())
    };
    eventually("work returns", returns).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_frozen_during_an_evacuation_sends_nothing_there() {
    const FROZEN: Duration = Duration::from_millis(1_500);
    /// Three rounds of 0.4 s, with a margin for a loaded machine.
    const MAX_COMPLETION_TIME: Duration = Duration::from_millis(6_000);
    let (cluster, own, other) = cluster_of_two_zones(1, Duration::from_millis(20)).await;
    submit_items(&cluster, 0, "b1", 40, 20).await;
    wait_running(&own.engine, 8).await;
    cluster.nodes[0].freeze(FROZEN);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let before = own.arrivals();
    cluster.evacuate(OWN);
    let calls = (0..5).map(|_| live(&cluster, 0, "/live/x", "r"));
    let answers = futures_util::future::join_all(calls).await;
    assert!(
        answers.iter().flatten().count() > 0,
        "no call was answered after the freeze"
    );
    let watch = Stopwatch::start();
    assert_each_once(&cluster.wait_results(0, "b1", 40).await, 40);
    let took = watch.elapsed();
    assert!(
        took < MAX_COMPLETION_TIME,
        "24 items at eight slots took {took:?}"
    );
    assert_eq!(
        own.arrivals(),
        before,
        "new work was sent to the evacuated zone"
    );
    assert!(other.arrivals() > 0);
}

/// Freezes the node while the first attempt of a request is pending in its own zone, and
/// evacuates the other zone meanwhile. Returns the number of requests received in the other zone.
async fn count_sent_after_freeze(path: &str, body: &'static str, fault: EngineFault) -> usize {
    const FROZEN: Duration = Duration::from_millis(1_500);
    const FREEZE_START: Duration = Duration::from_millis(100);
    let (cluster, own, other) = cluster_of_two_zones(1, Duration::from_millis(5)).await;
    own.application.set_fault(fault, None);
    let names = cluster.names();
    let asking = Call::new(Method::POST, HOST, path)
        .header(&names.request_id, "r1")
        .header(&names.deadline_ms, "4000")
        .body(body);
    let freezing = async {
        let has_arrived = || async { (!own.application.arrivals().is_empty()).then_some(()) };
        eventually("the request has arrived", has_arrived).await;
        cluster.nodes[0].freeze(FROZEN);
        tokio::time::sleep(FREEZE_START).await;
        cluster.evacuate(OTHER);
    };
    tokio::join!(asking.send(cluster.nodes[0].callers), freezing);
    other.application.arrivals().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pending_request_is_not_resent_to_an_evacuated_zone() {
    let sent = count_sent_after_freeze("/live/x", "question", EngineFault::Silent).await;
    assert_eq!(sent, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_series_is_not_resumed_in_an_evacuated_zone() {
    // At 5 ms per event the series breaks off while the node is frozen.
    let fault = EngineFault::BreaksOff(60);
    let sent = count_sent_after_freeze("/events/x", "events=200", fault).await;
    assert_eq!(sent, 0);
}
