//! Fair sharing of a service's slots among tenants and routes: a tenant that floods a service
//! does not starve the others, and calls with an invalid key use no slot.

mod support;

use http::Method;
use serde_json::{Value, json};
use sloetrail_serving_testkit::client::{Call, batch, item};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, usual_routes};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::native_cluster;
use tokio::task::JoinSet;

const NORTH: &str = "north-key";
const SOUTH: &str = "south-key";
/// Time that the application takes per request; its eight slots serve 133 requests per second.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Callers of one flood. Each sends its next request at once, or after [`REFUSED_BACKOFF`] if it
/// was refused.
const FLOOD_CALLERS: usize = 40;
const REFUSED_BACKOFF: Duration = Duration::from_millis(20);
/// Long enough that a slow test machine causes neither refusals nor retries.
const LATENCY_TARGET_MS: u64 = 2_000;
const TIMEOUT_MS: u64 = 4_000;
/// Time for a flood to occupy all slots before measurements start.
const FLOOD_WARMUP: Duration = Duration::from_millis(400);

/// Counts of requests sent and served.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: usize,
    served: usize,
}

impl Served {
    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }

    fn and(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            served: self.served + other.served,
        }
    }
}

fn routes() -> Value {
    let mut routes = usual_routes();
    routes[0]["target_latency_ms"] = json!(LATENCY_TARGET_MS);
    routes[0]["timeout_ms"] = json!(TIMEOUT_MS);
    for (name, priority) in [("urgent", 0), ("patient", 7)] {
        let mut route = routes[0].clone();
        route["name"] = json!(name);
        route["path_prefix"] = json!(format!("/{name}/"));
        route["priority"] = json!(priority);
        routes.as_array_mut().expect("a list").push(route);
    }
    routes
}

async fn cluster() -> Cluster {
    let mut cluster = native_cluster();
    cluster.tenants = Some(json!([
        {"name": "north", "api_keys": [NORTH]},
        {"name": "south", "api_keys": [SOUTH]},
    ]));
    cluster.configure(routes());
    cluster
        .add_application("zone-a")
        .await
        .set_event_interval(SERVICE_TIME);
    cluster.add_engine(Duration::from_millis(5)).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    cluster
}

fn call(cluster: &Cluster, path: &str, key: &str) -> Call {
    let names = cluster.names();
    Call::new(Method::POST, HOST, path)
        .header(&names.request_id, "r")
        .header(&names.deadline_ms, &TIMEOUT_MS.to_string())
        .header(&names.api_key, key)
        .body("question")
}

/// Repeats a call until `stop` is set.
async fn repeat(cluster: &Cluster, call: &Call, stop: &AtomicBool) -> Served {
    let mut sum = Served::default();
    while !stop.load(Ordering::Relaxed) {
        let answer = call.send(cluster.nodes[0].callers).await;
        let is_served = answer.is_some_and(|answer| answer.status == 200);
        sum = sum.and(Served {
            sent: 1,
            served: usize::from(is_served),
        });
        if !is_served {
            tokio::time::sleep(REFUSED_BACKOFF).await;
        }
    }
    sum
}

/// Callers that repeat a call in the background.
struct Flood {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Served>,
}

impl Flood {
    fn start(cluster: &Arc<Cluster>, path: &str, key: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for _ in 0..FLOOD_CALLERS {
            let call = call(cluster, path, key);
            let (cluster, stop) = (Arc::clone(cluster), Arc::clone(&stop));
            callers.spawn(async move { repeat(&cluster, &call, &stop).await });
        }
        Self { stop, callers }
    }

    async fn end(self) -> Served {
        self.stop.store(true, Ordering::Relaxed);
        let sums = self.callers.join_all().await;
        sums.into_iter().fold(Served::default(), Served::and)
    }
}

async fn send_sequentially(cluster: &Cluster, call: &Call, count: usize) -> Served {
    let mut sum = Served::default();
    for _ in 0..count {
        let answer = call.send(cluster.nodes[0].callers).await;
        let is_served = answer.is_some_and(|answer| answer.status == 200);
        sum.sent += 1;
        sum.served += usize::from(is_served);
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flooding_tenant_does_not_starve_another() {
    let cluster = Arc::new(cluster().await);
    let flood = Flood::start(&cluster, "/live/x", NORTH);
    tokio::time::sleep(FLOOD_WARMUP).await;
    let south = send_sequentially(&cluster, &call(&cluster, "/live/x", SOUTH), 40).await;
    let north = flood.end().await;
    assert!(south.served >= 39, "south {south:?}, north {north:?}");
    assert!(
        north.served > 40,
        "the flood uses the remaining slots: {north:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_single_tenant_uses_all_slots() {
    let cluster = Arc::new(cluster().await);
    let flood = Flood::start(&cluster, "/live/x", NORTH);
    tokio::time::sleep(FLOOD_WARMUP).await;
    let started_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let took = started_at.elapsed() + FLOOD_WARMUP;
    let north = flood.end().await;
    let possible = 8.0 * took.as_secs_f64() / SERVICE_TIME.as_secs_f64();
    assert!(
        north.served as f64 > 0.6 * possible,
        "{north:?} of {possible}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn urgent_routes_are_preferred_without_starving_others() {
    let cluster = Arc::new(cluster().await);
    let urgent = Flood::start(&cluster, "/urgent/x", NORTH);
    let patient = Flood::start(&cluster, "/patient/x", NORTH);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (urgent, patient) = (urgent.end().await, patient.end().await);
    assert!(
        urgent.share() > patient.share() && urgent.served > 2 * patient.served,
        "urgent {urgent:?}, patient {patient:?}"
    );
    let all = urgent.and(patient);
    assert!(
        patient.share() > all.share() / 4.0,
        "the patient route is not starved: {patient:?} of {all:?}"
    );
}

fn items_named(prefix: &str, count: usize) -> Vec<Value> {
    let named = |number: usize| {
        let id = format!("{prefix}{number}");
        item(&id, &format!("g-{id}"), 4)
    };
    (0..count).map(named).collect()
}

async fn submit(cluster: &mut Cluster, id: &str, key: &str, items: &[Value]) {
    cluster.api_key = Some(key.to_owned());
    support::accepted(cluster, 0, id, &batch(items, MODEL, 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_batch_does_not_delay_another_tenants_batch() {
    let mut cluster = cluster().await;
    submit(&mut cluster, "north-batch", NORTH, &items_named("n", 600)).await;
    submit(&mut cluster, "south-batch", SOUTH, &items_named("s", 60)).await;
    cluster.wait_results(0, "south-batch", 60).await;
    let engine = &cluster.engines[1];
    let of_north = engine
        .runs()
        .into_iter()
        .filter(|run| run.id.starts_with('n'));
    let (started, share) = (of_north.count(), 60);
    assert!(
        started < 4 * share,
        "{started} items of the other tenant started earlier"
    );
    cluster.api_key = Some(NORTH.to_owned());
    cluster.wait_results(0, "north-batch", 600).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_keys_use_no_slot_and_delay_no_caller() {
    let cluster = Arc::new(cluster().await);
    let mut wrong = JoinSet::new();
    for caller in 0..40 {
        let cluster = Arc::clone(&cluster);
        wrong.spawn(async move {
            let mut refused = 0;
            for number in 0..100 {
                let key = format!("wrong-key-{caller}-{number}");
                let answer = call(&cluster, "/live/x", &key)
                    .send(cluster.nodes[0].callers)
                    .await;
                let answer = answer.expect("an answer");
                assert!(!answer.text().contains("wrong-key"), "{}", answer.text());
                refused += usize::from(answer.status == 401);
            }
            refused
        });
    }
    let right = send_sequentially(&cluster, &call(&cluster, "/live/x", SOUTH), 10).await;
    let refused: usize = wrong.join_all().await.into_iter().sum();
    assert_eq!(refused, 4_000);
    assert_eq!(right.served, right.sent);
    let runs = cluster.engines[0].runs();
    let of_other_tenants = runs
        .iter()
        .filter(|run| run.tenant.as_deref() != Some("south"));
    assert_eq!(of_other_tenants.count(), 0);
}
