//! Region-bound work: placement, ownership and relaying, also while back ends and nodes fail.

mod support;

use serde_json::{Value, json};
use sloetrail_serving_testkit::client::{Answer, batch, with_reward};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually, usual_routes};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::{accepted, assert_each_once, client_cluster, items, live, submit_items};

const EVENT_INTERVAL: Duration = Duration::from_millis(10);
const NORTH_ZONE: &str = "zone-a";
const NORTH_ZONE_TWO: &str = "zone-c";
const SOUTH_ZONE: &str = "zone-b";
const NORTH_KEY: &str = "north-key";
const SOUTH_KEY: &str = "south-key";
/// Bound for a refusal without a wait. With the routes' latency target of two seconds, a refusal
/// after a wait for a back end takes at least 400 ms.
const MAX_IMMEDIATE_REFUSAL: Duration = Duration::from_millis(300);

/// Returns the usual routes with the named ones bound to a region.
fn bound_routes(names: &[&str], region: &str) -> Value {
    let mut routes = usual_routes();
    for route in routes.as_array_mut().expect("a list") {
        route["target_latency_ms"] = json!(2_000);
        if names.iter().any(|name| route["name"] == *name) {
            route["allowed_regions"] = json!([region]);
        }
    }
    routes
}

/// Returns a batch of six items with reward calls.
fn rewarded_batch() -> Value {
    let rewarded = items(6, 5).into_iter().map(|item| with_reward(item, HOST));
    batch(&rewarded.collect::<Vec<Value>>(), MODEL, 1)
}

/// Starts back ends of both services in both regions, without nodes.
async fn cluster(routes: Value) -> Cluster {
    let mut cluster = client_cluster();
    let regions = [
        (NORTH_ZONE, "north"),
        (NORTH_ZONE_TWO, "north"),
        (SOUTH_ZONE, "south"),
    ];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    cluster.regions = regions.into();
    cluster.configure(routes);
    for zone in [NORTH_ZONE, SOUTH_ZONE] {
        cluster.add_application(zone).await;
        cluster.add_engine_in(zone, EVENT_INTERVAL).await;
    }
    cluster
}

async fn add_nodes(cluster: &mut Cluster, nodes: &[(&str, &str)]) {
    for (name, zone) in nodes {
        let node = cluster.add_node_in(zone, name).await;
        cluster.wait_ready(node).await;
    }
}

fn back_end(cluster: &Cluster, service: &str, zone: &str) -> Arc<FakeEngine> {
    let mut back_ends = cluster.engines.iter();
    let found = back_ends.find(|engine| engine.service == service && engine.zone == zone);
    Arc::clone(found.expect("a back end in the zone"))
}

fn runs_in(cluster: &Cluster, zone: &str) -> usize {
    let engines = cluster.engines.iter().filter(|engine| engine.zone == zone);
    engines.map(|engine| engine.runs().len()).sum()
}

/// Returns the node name of a lease's holder.
fn holder(cluster: &Cluster, resource: &str) -> Option<String> {
    let rows = cluster.table.rows("sloetrail_leases");
    let key = format!("lease/{resource}");
    let row = rows.iter().find(|row| row.address.key == key)?;
    let record: Value = serde_json::from_slice(&row.value).ok()?;
    let holder = record["holder"].as_str()?;
    Some(holder.split('/').next()?.to_owned())
}

async fn wait_for_holder(cluster: &Cluster, resource: &str) -> String {
    eventually("a node holds the lease", || async {
        holder(cluster, resource)
    })
    .await
}

/// The error code if route and tenant allow no common region.
const NO_ALLOWED_REGION: u64 = 1112;
/// The error code if no back end in the allowed regions accepts work.
const NO_BACK_END_IN_REGION: u64 = 1113;

fn assert_refused_at_once(answer: &Answer, watch: &Stopwatch, code: u64) {
    let took = watch.elapsed();
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(answer.json()["code"], code, "{}", answer.text());
    assert!(answer.headers.contains_key("retry-after"));
    assert!(took < MAX_IMMEDIATE_REFUSAL, "refused after {took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bound_live_requests_never_leave_their_region() {
    let mut cluster = cluster(bound_routes(&["live", "events"], "south")).await;
    add_nodes(&mut cluster, &[("node-1", NORTH_ZONE)]).await;
    for number in 0..10 {
        let answer = live(&cluster, 0, "/live/x", &format!("r{number}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let south = back_end(&cluster, "application", SOUTH_ZONE);
    south.set_fault(EngineFault::Fails, Some(3));
    live(&cluster, 0, "/live/x", "fails").await.expect("answer");
    south.set_fault(EngineFault::None, None);
    south.set_draining();
    cluster.list(&south);
    let is_known = || async {
        let answer = live(&cluster, 0, "/live/x", "drains").await?;
        (answer.status == 503).then_some(())
    };
    eventually("the node knows that the back end drains", is_known).await;
    for path in ["/live/x", "/events/x"] {
        let watch = Stopwatch::start();
        let answer = live(&cluster, 0, path, "refused").await.expect("an answer");
        assert_refused_at_once(&answer, &watch, NO_BACK_END_IN_REGION);
    }
    assert_eq!(runs_in(&cluster, NORTH_ZONE), 0);
    assert!(runs_in(&cluster, SOUTH_ZONE) >= 11);
}

#[tokio::test(flavor = "multi_thread")]
async fn bound_batch_waits_while_its_region_has_no_node() {
    const NODES: [(&str, &str); 3] = [
        ("node-1", NORTH_ZONE),
        ("node-2", SOUTH_ZONE),
        ("node-3", SOUTH_ZONE),
    ];
    const ITEMS: usize = 30;
    let mut cluster = cluster(bound_routes(&["rollout"], "south")).await;
    add_nodes(&mut cluster, &NODES).await;
    let first = wait_for_holder(&cluster, "models@south").await;
    assert_ne!(first, "node-1");
    submit_items(&cluster, 0, "b1", ITEMS, 60).await;
    cluster.wait_results(0, "b1", 1).await;
    let owner = NODES.iter().position(|(name, _)| *name == first);
    cluster.nodes[owner.expect("a node")].kill();
    let is_replaced = || async {
        let holder = holder(&cluster, "models@south")?;
        (holder != first).then_some(holder)
    };
    assert_ne!(
        eventually("another node holds the lease", is_replaced).await,
        "node-1",
        "node-1 is in the other region"
    );
    cluster.nodes[1].kill();
    cluster.nodes[2].kill();
    let page = cluster.read(0, "b1", 0).await.expect("a page");
    let listed = page["results"].as_array().expect("a list").len();
    assert!(
        listed < ITEMS,
        "all {listed} items ended before the region lost its nodes"
    );
    // Three lease durations.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let later = cluster.read(0, "b1", 0).await.expect("a page");
    assert_eq!(later["results"].as_array().expect("a list").len(), listed);
    add_nodes(&mut cluster, &[("node-4", SOUTH_ZONE)]).await;
    assert_each_once(&cluster.wait_results(0, "b1", ITEMS).await, ITEMS);
    assert_eq!(wait_for_holder(&cluster, "models@south").await, "node-4");
    assert_eq!(runs_in(&cluster, NORTH_ZONE), 0);
    let submissions = cluster.nodes[0].link.uses_of("sloetrail_submissions");
    assert_eq!(submissions.reads, 0, "node-1 only accepts the submission");
}

#[tokio::test(flavor = "multi_thread")]
async fn bound_batch_stays_bound_after_a_configuration_change() {
    const ITEMS: usize = 30;
    let mut cluster = cluster(bound_routes(&["rollout"], "south")).await;
    add_nodes(
        &mut cluster,
        &[("node-1", NORTH_ZONE), ("node-2", SOUTH_ZONE)],
    )
    .await;
    assert_eq!(wait_for_holder(&cluster, "models@south").await, "node-2");
    submit_items(&cluster, 0, "b1", ITEMS, 60).await;
    cluster.wait_results(0, "b1", 1).await;
    cluster.nodes[1].kill();
    cluster.configure(usual_routes());
    add_nodes(&mut cluster, &[("node-3", SOUTH_ZONE)]).await;
    assert_each_once(&cluster.wait_results(0, "b1", ITEMS).await, ITEMS);
    assert_eq!(wait_for_holder(&cluster, "models@south").await, "node-3");
    assert_eq!(runs_in(&cluster, NORTH_ZONE), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn batches_of_disjoint_regions_run_concurrently() {
    let mut cluster = cluster(usual_routes()).await;
    cluster.tenants = Some(json!([
        {"name": "north", "api_keys": [NORTH_KEY], "allowed_regions": ["north"]},
        {"name": "south", "api_keys": [SOUTH_KEY], "allowed_regions": ["south"]},
    ]));
    cluster.configure(usual_routes());
    add_nodes(
        &mut cluster,
        &[("node-1", NORTH_ZONE), ("node-2", SOUTH_ZONE)],
    )
    .await;
    assert_eq!(wait_for_holder(&cluster, "models@north").await, "node-1");
    assert_eq!(wait_for_holder(&cluster, "models@south").await, "node-2");
    let sides = [("b-north", NORTH_KEY, 1), ("b-south", SOUTH_KEY, 0)];
    for (id, key, node) in sides {
        cluster.api_key = Some(key.to_owned());
        submit_items(&cluster, node, id, 12, 20).await;
    }
    for (id, key, node) in sides {
        cluster.api_key = Some(key.to_owned());
        assert_each_once(&cluster.wait_results(node, id, 12).await, 12);
    }
    for (tenant, zone) in [("north", NORTH_ZONE), ("south", SOUTH_ZONE)] {
        let runs = back_end(&cluster, "models", zone).runs();
        assert!(runs.len() >= 12);
        let is_own = |tenant_of_run: Option<&str>| tenant_of_run == Some(tenant);
        assert!(runs.iter().all(|run| is_own(run.tenant.as_deref())));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn work_without_an_allowed_region_is_refused_at_once() {
    let mut cluster = cluster(usual_routes()).await;
    cluster.tenants = Some(json!([
        {"name": "north", "api_keys": [NORTH_KEY], "allowed_regions": ["north"]},
    ]));
    cluster.configure(bound_routes(
        &["live", "once", "events", "rollout"],
        "south",
    ));
    cluster.api_key = Some(NORTH_KEY.to_owned());
    add_nodes(&mut cluster, &[("node-1", NORTH_ZONE)]).await;
    let watch = Stopwatch::start();
    let work = batch(&items(3, 5), MODEL, 1);
    let answer = cluster.submit(0, "b1", &work).await.expect("an answer");
    assert_refused_at_once(&answer, &watch, NO_ALLOWED_REGION);
    let names = cluster.names();
    for path in ["/live/x", "/once/x", "/events/x"] {
        let call = sloetrail_serving_testkit::client::Call::new(http::Method::POST, HOST, path)
            .header(&names.request_id, "r1")
            .header(&names.deadline_ms, "1500")
            .body("question");
        let watch = Stopwatch::start();
        let answer = cluster
            .with_api_key(call)
            .send(cluster.nodes[0].callers)
            .await;
        assert_refused_at_once(&answer.expect("an answer"), &watch, NO_ALLOWED_REGION);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for table in ["sloetrail_batches", "sloetrail_submissions"] {
        assert!(cluster.table.rows(table).is_empty(), "{table}");
    }
    assert_eq!(
        runs_in(&cluster, NORTH_ZONE) + runs_in(&cluster, SOUTH_ZONE),
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn batch_is_owned_in_the_region_of_its_reward_calls() {
    let mut cluster = cluster(bound_routes(&["live"], "south")).await;
    add_nodes(
        &mut cluster,
        &[("node-1", NORTH_ZONE), ("node-2", SOUTH_ZONE)],
    )
    .await;
    wait_for_holder(&cluster, "models@south").await;
    let work = rewarded_batch();
    accepted(&cluster, 1, "b1", &work).await;
    assert_each_once(&cluster.wait_results(1, "b1", 6).await, 6);
    assert_eq!(runs_in(&cluster, NORTH_ZONE), 0);
    let submissions = cluster.nodes[0].link.uses_of("sloetrail_submissions");
    assert_eq!((submissions.reads, submissions.writes), (0, 0));
}

/// Reward calls of a bound batch stay in its regions even if their own route is not bound.
#[tokio::test(flavor = "multi_thread")]
async fn reward_calls_of_a_bound_batch_stay_in_its_regions() {
    let mut cluster = cluster(bound_routes(&["rollout"], "south")).await;
    add_nodes(&mut cluster, &[("node-1", SOUTH_ZONE)]).await;
    wait_for_holder(&cluster, "models@south").await;
    // The nearest back end refuses, so that unbound calls would go to another region.
    let nearest = back_end(&cluster, "application", SOUTH_ZONE);
    nearest.set_fault(EngineFault::Refuses, Some(4));
    let work = rewarded_batch();
    accepted(&cluster, 0, "b1", &work).await;
    assert_each_once(&cluster.wait_results(0, "b1", 6).await, 6);
    assert_eq!(runs_in(&cluster, NORTH_ZONE), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_the_unbound_owner_orders_weights() {
    let mut cluster = cluster(bound_routes(&["rollout"], "south")).await;
    add_nodes(&mut cluster, &[("node-1", NORTH_ZONE)]).await;
    assert_eq!(wait_for_holder(&cluster, "models").await, "node-1");
    add_nodes(&mut cluster, &[("node-2", SOUTH_ZONE)]).await;
    assert_eq!(wait_for_holder(&cluster, "models@south").await, "node-2");
    cluster.publish(2);
    let work = batch(&items(20, 40), MODEL, 2);
    accepted(&cluster, 0, "b1", &work).await;
    let south = back_end(&cluster, "models", SOUTH_ZONE);
    let is_ordered = || async { (south.version(MODEL) == 2).then_some(()) };
    eventually("the engine in the south has the version", is_ordered).await;
    // Engines update their rows periodically; the batch's owner reads the version there.
    cluster.list(&south);
    assert_each_once(&cluster.wait_results(0, "b1", 20).await, 20);
    let orders: Vec<String> = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.orders())
        .map(|record| record.order.holder)
        .collect();
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|holder| holder == "node-1"), "{orders:?}");
    let windows = cluster.table.rows("sloetrail_order_windows");
    assert!(windows.iter().all(|row| row.address.key == "models"));
    assert_eq!(holder(&cluster, "models").as_deref(), Some("node-1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn submissions_are_relayed_only_within_the_region() {
    const NODES: [(&str, &str); 4] = [
        ("node-1", NORTH_ZONE),
        ("node-2", NORTH_ZONE_TWO),
        ("node-3", SOUTH_ZONE),
        ("node-4", SOUTH_ZONE),
    ];
    const SUBMISSIONS: &str = "sloetrail_submissions";
    let mut cluster = cluster(usual_routes()).await;
    cluster.peers = true;
    add_nodes(&mut cluster, &NODES).await;
    // Nodes read the rows of other nodes every few seconds.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    cluster.nodes[0].link.set_cut(true);
    for number in 0..6 {
        let id = format!("b{number}");
        let is_accepted = || async {
            let answer = cluster
                .submit(0, &id, &batch(&items(2, 3), MODEL, 1))
                .await?;
            (answer.status == 202).then_some(())
        };
        eventually("the batch is accepted", is_accepted).await;
    }
    let writes = |node: usize| cluster.nodes[node].link.uses_of(SUBMISSIONS).writes;
    assert!(writes(1) >= 6);
    assert_eq!((writes(2), writes(3)), (0, 0));
    cluster.nodes[1].kill();
    // By then the remaining nodes relay calls that may leave the region.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for _ in 0..3 {
        let watch = Stopwatch::start();
        let refused = cluster
            .submit(0, "b9", &batch(&items(2, 3), MODEL, 1))
            .await
            .expect("an answer");
        assert_eq!(refused.status, 503, "{}", refused.text());
        assert_eq!(refused.json()["kind"], "not_run");
        assert!(refused.headers.contains_key("retry-after"));
        assert!(watch.elapsed() < Duration::from_millis(500), "refused late");
    }
    let rows = cluster.table.rows(SUBMISSIONS);
    assert!(rows.iter().all(|row| !row.address.key.starts_with("b9/")));
    let writes = |node: usize| cluster.nodes[node].link.uses_of(SUBMISSIONS).writes;
    assert_eq!((writes(2), writes(3)), (0, 0));
}

/// A resubmitted batch follows the configuration that accepted it. Guards against a "not run"
/// answer for a batch that runs.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_batch_is_never_refused_after_a_rebinding() {
    const ITEMS: usize = 30;
    let mut cluster = cluster(usual_routes()).await;
    cluster.tenants = Some(json!([
        {"name": "north", "api_keys": [NORTH_KEY], "allowed_regions": ["north"]},
    ]));
    cluster.configure(usual_routes());
    cluster.api_key = Some(NORTH_KEY.to_owned());
    add_nodes(&mut cluster, &[("node-1", NORTH_ZONE)]).await;
    wait_for_holder(&cluster, "models@north").await;
    // The lease holder reads batch heads continuously; this node does not.
    add_nodes(&mut cluster, &[("node-2", NORTH_ZONE)]).await;
    let work = batch(&items(ITEMS, 60), MODEL, 1);
    let answer = cluster.submit(1, "b1", &work).await.expect("an answer");
    assert_eq!(answer.status, 202, "{}", answer.text());
    cluster.configure(bound_routes(&["rollout"], "south"));
    let attempts = AtomicUsize::new(0);
    let is_refused = || async {
        // Use a new batch for each attempt, since an accepted one is accepted again.
        let id = format!("new-{}", attempts.fetch_add(1, Ordering::Relaxed));
        let answer = cluster.submit(1, &id, &work).await?;
        (answer.status == 503).then_some(())
    };
    eventually("new batches are refused", is_refused).await;
    let head_reads = || cluster.nodes[1].link.uses_of("sloetrail_batches").reads;
    let before = head_reads();
    let repeated = cluster.submit(1, "b1", &work).await.expect("an answer");
    assert_eq!(repeated.status, 202, "{}", repeated.text());
    assert_eq!(head_reads() - before, 1);
    let before = head_reads();
    let watch = Stopwatch::start();
    let refused = cluster.submit(1, "b3", &work).await.expect("an answer");
    assert_refused_at_once(&refused, &watch, NO_ALLOWED_REGION);
    assert!(head_reads() - before <= 1);
    cluster.table.set_down(true);
    for _ in 0..3 {
        let answer = cluster.submit(1, "b1", &work).await.expect("an answer");
        assert_ne!(answer.json()["kind"], "not_run", "{}", answer.text());
    }
    cluster.table.set_down(false);
    assert_each_once(&cluster.wait_results(1, "b1", ITEMS).await, ITEMS);
}

async fn submit_bound(cluster: &Cluster, node: usize, id: &str, count: usize) {
    let work = batch(&items(count, 5), MODEL, 1);
    let answer = cluster.submit(node, id, &work).await.expect("an answer");
    assert_eq!(answer.status, 202, "{}", answer.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn small_node_owns_batches_if_alone_in_its_region() {
    const SMALL_SHARE: f64 = 0.12;
    let mut cluster = cluster(bound_routes(&["rollout"], "south")).await;
    add_nodes(&mut cluster, &[("node-1", NORTH_ZONE)]).await;
    cluster.processor_share = Some(SMALL_SHARE);
    add_nodes(&mut cluster, &[("node-2", SOUTH_ZONE)]).await;
    assert_eq!(wait_for_holder(&cluster, "models@south").await, "node-2");
    submit_bound(&cluster, 0, "b1", 6).await;
    assert_each_once(&cluster.wait_results(0, "b1", 6).await, 6);
    assert_eq!(runs_in(&cluster, NORTH_ZONE), 0);
}

/// The configuration names regions that are missing in the node's settings.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_regions_sends_no_bound_work() {
    const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);
    let mut cluster = cluster(bound_routes(&["rollout", "live", "events"], "south")).await;
    let regions = std::mem::take(&mut cluster.regions);
    add_nodes(&mut cluster, &[("node-1", SOUTH_ZONE)]).await;
    for path in ["/live/x", "/events/x"] {
        let watch = Stopwatch::start();
        let answer = live(&cluster, 0, path, "refused").await.expect("an answer");
        assert_refused_at_once(&answer, &watch, NO_BACK_END_IN_REGION);
    }
    submit_bound(&cluster, 0, "b1", 6).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(holder(&cluster, "models@south"), None);
    assert_eq!(
        runs_in(&cluster, NORTH_ZONE) + runs_in(&cluster, SOUTH_ZONE),
        0
    );
    cluster.regions = regions;
    add_nodes(&mut cluster, &[("node-2", SOUTH_ZONE)]).await;
    assert_each_once(&cluster.wait_results(0, "b1", 6).await, 6);
    assert_eq!(runs_in(&cluster, NORTH_ZONE), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_region_refuses_calls_and_delays_batches() {
    const UPDATE_TIME: Duration = Duration::from_millis(300);
    const OBSERVATION_TIME: Duration = Duration::from_millis(1_000);
    let mut cluster = cluster(bound_routes(&["rollout", "live", "events"], "south")).await;
    add_nodes(&mut cluster, &[("node-1", SOUTH_ZONE)]).await;
    wait_for_holder(&cluster, "models@south").await;
    cluster.evacuate(SOUTH_ZONE);
    tokio::time::sleep(UPDATE_TIME).await;
    for path in ["/live/x", "/events/x"] {
        let watch = Stopwatch::start();
        let answer = live(&cluster, 0, path, "refused").await.expect("an answer");
        assert_refused_at_once(&answer, &watch, NO_BACK_END_IN_REGION);
    }
    submit_bound(&cluster, 0, "b1", 6).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(
        runs_in(&cluster, NORTH_ZONE) + runs_in(&cluster, SOUTH_ZONE),
        0
    );
    cluster.withdraw_evacuation(SOUTH_ZONE);
    assert_each_once(&cluster.wait_results(0, "b1", 6).await, 6);
    assert_eq!(runs_in(&cluster, NORTH_ZONE), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn resubmitted_batch_keeps_its_region_after_a_rebinding() {
    const ITEMS: usize = 30;
    let tenant = |region: &str| {
        json!([
            {"name": "moving", "api_keys": [NORTH_KEY], "allowed_regions": [region]},
        ])
    };
    let mut cluster = cluster(usual_routes()).await;
    cluster.tenants = Some(tenant("north"));
    cluster.configure(usual_routes());
    cluster.api_key = Some(NORTH_KEY.to_owned());
    add_nodes(
        &mut cluster,
        &[("node-1", NORTH_ZONE), ("node-2", SOUTH_ZONE)],
    )
    .await;
    wait_for_holder(&cluster, "models@north").await;
    let work = batch(&items(ITEMS, 60), MODEL, 1);
    let answer = cluster.submit(0, "b1", &work).await.expect("an answer");
    assert_eq!(answer.status, 202, "{}", answer.text());
    cluster.tenants = Some(tenant("south"));
    cluster.configure(usual_routes());
    assert_eq!(wait_for_holder(&cluster, "models@south").await, "node-2");
    for node in [0, 1] {
        let repeated = cluster.submit(node, "b1", &work).await.expect("an answer");
        assert_eq!(repeated.status, 202, "{}", repeated.text());
    }
    assert_each_once(&cluster.wait_results(0, "b1", ITEMS).await, ITEMS);
    assert_eq!(runs_in(&cluster, SOUTH_ZONE), 0);
}
