//! Zones that are evacuated, and taken back: nothing new reaches their back ends meanwhile,
//! whatever happens to the table and to nodes.

mod support;

use http::Method;
use sloetrail_serving_testkit::client::Call;
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually, usual_routes};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{
    assert_each_once, lease_holder, live, most_in_a_second, native_cluster, submit_items, tolerance,
};

/// The zone of the nodes.
const OWN: &str = "zone-a";
const OTHER: &str = "zone-b";
/// Time for the nodes to hear of an evacuation, which takes a few milliseconds.
const HEARD: Duration = Duration::from_millis(300);
/// What is refused at once is answered within this time.
const AT_ONCE: Duration = Duration::from_millis(100);

/// Back ends of one zone.
struct Zone {
    application: Arc<FakeEngine>,
    engine: Arc<FakeEngine>,
}

impl Zone {
    async fn start(cluster: &mut Cluster, zone: &str, pace: Duration) -> Self {
        Self {
            application: cluster.add_application(zone).await,
            engine: cluster.add_engine_in(zone, pace).await,
        }
    }

    /// How many requests and items have come so far.
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

/// Nodes in a zone with back ends, and back ends in another one.
async fn cluster_of_two_zones(nodes: usize, pace: Duration) -> (Cluster, Zone, Zone) {
    let mut cluster = native_cluster();
    let own = Zone::start(&mut cluster, OWN, pace).await;
    let other = Zone::start(&mut cluster, OTHER, pace).await;
    add_nodes(&mut cluster, nodes).await;
    (cluster, own, other)
}

/// Waits until so many items run at an engine at least.
async fn wait_running(engine: &FakeEngine, count: usize) {
    let is_busy = || async { (engine.runs().len() >= count).then_some(()) };
    eventually("items run there", is_busy).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_new_reaches_an_evacuated_zone_and_what_runs_there_ends_whole() {
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
        "the own zone goes first"
    );
    cluster.evacuate(OWN);
    tokio::time::sleep(HEARD).await;
    let before = own.arrivals();
    submit_items(&cluster, 0, "b2", 10, 5).await;
    for number in 0..20 {
        let answer = live(&cluster, 0, "/live/x", &format!("r1-{number}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    assert_each_once(&cluster.wait_results(0, "b1", 40).await, 40);
    assert_each_once(&cluster.wait_results(0, "b2", 10).await, 10);
    assert_eq!(own.arrivals(), before, "nothing further is sent there");
    assert_eq!(other.application.arrivals().len(), 20);
    let runs = own.engine.runs();
    assert!(
        runs.iter().all(|run| run.finished && !run.abandoned),
        "{runs:?}"
    );
    cluster.publish(2);
    let is_ordered = || async { (other.engine.version(MODEL) == 2).then_some(()) };
    eventually("the other zone has the weights", is_ordered).await;
    assert!(own.engine.orders().is_empty(), "no orders go there either");
}

/// A gauge of a node, by its name with labels; nothing if it is not told.
async fn gauge(metrics: SocketAddr, name: &str) -> Option<f64> {
    let answer = Call::new(Method::GET, HOST, "/metrics").send(metrics).await;
    let text = answer.expect("an answer").text();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map(|value| value.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread")]
async fn the_metrics_tell_what_still_runs_in_an_evacuated_zone_until_nothing_does() {
    const SECONDS: &str = "sloetrail_evacuation_seconds{zone=\"zone-a\"}";
    const ITEMS: &str = "sloetrail_evacuation_running{zone=\"zone-a\",kind=\"items\"}";
    let mut cluster = native_cluster();
    let own = Zone::start(&mut cluster, OWN, Duration::from_millis(20)).await;
    // At an address of its own: the node binds its other ports, and opens connections, at
    // 127.0.0.1, where the system may hand out a port again that was just given back.
    let free = TcpListener::bind("127.0.0.2:0").expect("a free port");
    let metrics = free.local_addr().expect("an address");
    drop(free);
    cluster.metrics_address = Some(metrics);
    add_nodes(&mut cluster, 1).await;
    submit_items(&cluster, 0, "b1", 4, 150).await;
    wait_running(&own.engine, 4).await;
    assert_eq!(gauge(metrics, SECONDS).await, None, "never evacuated");
    cluster.evacuate(OWN);
    let in_force = || async { gauge(metrics, SECONDS).await.filter(|age| *age > 0.0) };
    eventually("it is in force", in_force).await;
    assert_eq!(gauge(metrics, ITEMS).await, Some(4.0));
    cluster.wait_results(0, "b1", 4).await;
    assert_eq!(gauge(metrics, ITEMS).await, Some(0.0));
    cluster.withdraw_evacuation(OWN);
    let withdrawn = || async { gauge(metrics, SECONDS).await.filter(|age| *age == 0.0) };
    eventually("it is withdrawn", withdrawn).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_returns_after_the_withdrawal_no_faster_than_cold_back_ends_bear() {
    const COLD: Duration = Duration::from_millis(2_000);
    const BEARS: usize = 4;
    let mut cluster = native_cluster();
    cluster.cold = Some((COLD.as_secs_f64(), BEARS as f64));
    // Warm engines get the most less what a second owner may send: 28 a second.
    cluster.cold_tolerance = tolerance(1.0, 28.0);
    cluster.configure(usual_routes());
    let own = Zone::start(&mut cluster, OWN, Duration::from_millis(2)).await;
    add_nodes(&mut cluster, 1).await;
    cluster.evacuate(OWN);
    tokio::time::sleep(HEARD).await;
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
            while_cold.len() > BEARS,
            "work returns: {}",
            while_cold.len()
        );
        let most = most_in_a_second(while_cold);
        assert!(most <= BEARS, "{most} of {BEARS} a second");
    }
    assert!(answered > BEARS, "{answered} live requests were served");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_every_zone_evacuated_live_requests_are_refused_at_once_and_batches_wait() {
    let (cluster, own, other) = cluster_of_two_zones(1, Duration::from_millis(5)).await;
    cluster.evacuate(OWN);
    cluster.evacuate(OTHER);
    tokio::time::sleep(HEARD).await;
    for path in ["/live/x", "/once/x", "/events/x"] {
        let watch = Stopwatch::start();
        let answer = live(&cluster, 0, path, "r1").await.expect("an answer");
        let took = watch.elapsed();
        assert!(took < AT_ONCE, "{path}: {took:?}");
        assert_eq!(answer.status, 503, "{path}");
        assert_eq!(answer.json()["code"], 1101, "{path}");
        assert!(answer.headers.contains_key("retry-after"), "{path}");
    }
    submit_items(&cluster, 0, "b1", 10, 5).await;
    tokio::time::sleep(HEARD).await;
    assert_eq!(own.arrivals() + other.arrivals(), 0, "nothing has run");
    cluster.withdraw_evacuation(OTHER);
    assert_each_once(&cluster.wait_results(0, "b1", 10).await, 10);
    let answer = live(&cluster, 0, "/live/x", "r2").await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(own.arrivals(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_holds_while_the_table_is_away_and_through_the_loss_of_the_owner() {
    let (mut cluster, own, other) = cluster_of_two_zones(2, Duration::from_millis(20)).await;
    let owner = lease_holder(&cluster).await;
    let left = 1 - owner;
    submit_items(&cluster, left, "b1", 40, 40).await;
    wait_running(&own.engine, 8).await;
    cluster.evacuate(OWN);
    tokio::time::sleep(HEARD).await;
    let before = own.arrivals();
    cluster.table.set_down(true);
    cluster.nodes[owner].kill();
    for number in 0..10 {
        let answer = live(&cluster, left, "/live/x", &format!("r{number}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    // Withdrawn while nobody can hear it, and asked for again.
    cluster.withdraw_evacuation(OWN);
    cluster.evacuate(OWN);
    cluster.table.forget_history();
    cluster.table.set_down(false);
    assert_each_once(&cluster.wait_results(left, "b1", 40).await, 40);
    assert_eq!(own.arrivals(), before, "nothing further is sent there");
    assert!(other.arrivals() >= 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_that_nobody_could_hear_is_in_force_once_the_table_is_back() {
    let (cluster, own, _other) = cluster_of_two_zones(1, Duration::from_millis(5)).await;
    cluster.evacuate(OWN);
    tokio::time::sleep(HEARD).await;
    cluster.table.set_down(true);
    cluster.withdraw_evacuation(OWN);
    tokio::time::sleep(HEARD).await;
    live(&cluster, 0, "/live/x", "r1").await.expect("an answer");
    assert_eq!(own.arrivals(), 0, "the last state known holds");
    cluster.table.forget_history();
    cluster.table.set_down(false);
    let returns = || async {
        live(&cluster, 0, "/live/x", "r2").await?;
        (own.arrivals() > 0).then_some(())
    };
    eventually("work returns", returns).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_frozen_over_the_evacuation_sends_nothing_there_on_waking() {
    const FROZEN: Duration = Duration::from_millis(1_500);
    /// Three rounds of 0.4 s on an idle machine.
    const DONE: Duration = Duration::from_millis(6_000);
    let (cluster, own, other) = cluster_of_two_zones(1, Duration::from_millis(20)).await;
    submit_items(&cluster, 0, "b1", 40, 20).await;
    wait_running(&own.engine, 8).await;
    cluster.nodes[0].freeze(FROZEN);
    tokio::time::sleep(HEARD).await;
    let before = own.arrivals();
    cluster.evacuate(OWN);
    let calls = (0..5).map(|_| live(&cluster, 0, "/live/x", "r"));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().flatten().count() > 0, "it answers on waking");
    let watch = Stopwatch::start();
    assert_each_once(&cluster.wait_results(0, "b1", 40).await, 40);
    let took = watch.elapsed();
    assert!(took < DONE, "24 items at eight places took {took:?}");
    assert_eq!(own.arrivals(), before, "nothing further is sent there");
    assert!(other.arrivals() > 0);
}

/// Sends a request whose first attempt at the own zone is pending when the node freezes, and
/// has the other zone evacuated meanwhile. Returns how many requests came there.
async fn sent_elsewhere_after_a_freeze(
    path: &str,
    body: &'static str,
    fault: EngineFault,
) -> usize {
    const FROZEN: Duration = Duration::from_millis(1_500);
    const STANDS_STILL: Duration = Duration::from_millis(100);
    let (cluster, own, other) = cluster_of_two_zones(1, Duration::from_millis(5)).await;
    own.application.set_fault(fault, None);
    let names = cluster.names();
    let asking = Call::new(Method::POST, HOST, path)
        .header(&names.request_id, "r1")
        .header(&names.deadline_ms, "4000")
        .body(body);
    let freezing = async {
        let has_come = || async { (!own.application.arrivals().is_empty()).then_some(()) };
        eventually("the request has come", has_come).await;
        cluster.nodes[0].freeze(FROZEN);
        tokio::time::sleep(STANDS_STILL).await;
        cluster.evacuate(OTHER);
    };
    tokio::join!(asking.send(cluster.nodes[0].callers), freezing);
    other.application.arrivals().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_pending_over_a_freeze_is_not_sent_again_to_a_zone_evacuated_meanwhile() {
    let sent = sent_elsewhere_after_a_freeze("/live/x", "question", EngineFault::Silent).await;
    assert_eq!(sent, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_series_that_broke_off_in_a_freeze_is_not_taken_up_in_a_zone_evacuated_meanwhile() {
    // At 5 ms an event it breaks off while the node stands still.
    let fault = EngineFault::BreaksOff(60);
    let sent = sent_elsewhere_after_a_freeze("/events/x", "events=200", fault).await;
    assert_eq!(sent, 0);
}
