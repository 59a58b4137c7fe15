//! Tenants: callers are authenticated by API keys, back ends get the tenant's name but not the
//! key, and batches are visible only to their tenant.

mod support;

use http::Method;
use serde_json::{Value, json};
use sloetrail_serving_testkit::client::{Answer, Call, batch, with_reward};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, MODEL, eventually, usual_routes};
use sloetrail_serving_testkit::engine::RunRecord;
use std::time::Duration;
use support::{accepted, assert_each_once, client_cluster, items, submit_items};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const NORTH: &str = "north-key";
const SOUTH: &str = "south-key";

fn tenants(north_keys: &[&str]) -> Value {
    json!([
        {"name": "north", "api_keys": north_keys, "priority": 1},
        {"name": "south", "api_keys": [SOUTH]},
    ])
}

/// Returns the usual routes and a public one.
fn routes() -> Value {
    let mut routes = usual_routes();
    let mut open = routes[0].clone();
    open["name"] = json!("open");
    open["path_prefix"] = json!("/open/");
    open["public"] = json!(true);
    let all = routes.as_array_mut().expect("a list");
    all.push(open);
    routes
}

async fn cluster() -> Cluster {
    let mut cluster = client_cluster();
    cluster.tenants = Some(tenants(&[NORTH]));
    cluster.configure(routes());
    cluster.add_application("zone-a").await;
    cluster.add_engine(EVENT_INTERVAL).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    cluster
}

fn call(cluster: &Cluster, path: &str, id: &str, key: Option<&str>) -> Call {
    let names = cluster.names();
    let call = Call::new(Method::POST, HOST, path)
        .header(&names.request_id, id)
        .header(&names.deadline_ms, "1500")
        .body("question");
    match key {
        Some(key) => call.header(&names.api_key, key),
        None => call,
    }
}

async fn send(cluster: &Cluster, call: &Call) -> Answer {
    let answer = call.send(cluster.nodes[0].callers).await;
    answer.expect("an answer")
}

fn runs(cluster: &Cluster) -> Vec<RunRecord> {
    let engines = cluster.engines.iter();
    engines.flat_map(|engine| engine.runs()).collect()
}

fn run_of(cluster: &Cluster, id: &str) -> RunRecord {
    let mut runs = runs(cluster).into_iter();
    runs.find(|run| run.id == id).expect("the request ran")
}

fn assert_no_key_was_forwarded(cluster: &Cluster) {
    let key = cluster.names().api_key;
    for run in runs(cluster) {
        assert!(!run.header_names.contains(key.as_str()), "{run:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn back_ends_get_the_tenant_instead_of_the_key() {
    let cluster = cluster().await;
    let bodies = [
        ("/live/x", "question"),
        ("/once/x", "question"),
        ("/events/x", "events=2"),
    ];
    for (path, body) in bodies {
        let names = cluster.names();
        let call = call(&cluster, path, path, Some(NORTH));
        let call = call.header(&names.tenant, "south").body(body);
        assert_eq!(send(&cluster, &call).await.status, 200);
        assert_eq!(run_of(&cluster, path).tenant.as_deref(), Some("north"));
    }
    assert_no_key_was_forwarded(&cluster);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_known_key_never_run() {
    let cluster = cluster().await;
    for key in [None, Some("unknown-key"), Some("")] {
        for path in ["/live/x", "/once/x", "/events/x", "/rollout/x"] {
            let answer = send(&cluster, &call(&cluster, path, "r1", key)).await;
            assert_eq!(answer.status, 401, "{path}");
            assert_eq!(answer.json()["code"], 1010);
            assert!(!answer.text().contains("unknown-key"), "{}", answer.text());
        }
    }
    let nowhere = send(&cluster, &call(&cluster, "/nowhere/", "r2", None)).await;
    assert_eq!(nowhere.status, 404);
    assert!(runs(&cluster).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn public_routes_need_no_key() {
    let cluster = cluster().await;
    let names = cluster.names();
    let unknown = call(&cluster, "/open/x", "r1", None).header(&names.tenant, "north");
    assert_eq!(send(&cluster, &unknown).await.status, 200);
    assert_eq!(run_of(&cluster, "r1").tenant, None);
    let known = call(&cluster, "/open/x", "r2", Some(SOUTH));
    assert_eq!(send(&cluster, &known).await.status, 200);
    assert_eq!(run_of(&cluster, "r2").tenant.as_deref(), Some("south"));
    assert_no_key_was_forwarded(&cluster);
}

#[tokio::test(flavor = "multi_thread")]
async fn items_carry_their_tenant_and_reward_calls_none() {
    let mut cluster = cluster().await;
    let names = cluster.names();
    cluster.api_key = Some(NORTH.to_owned());
    let mut items: Vec<Value> = items(4, 3);
    for item in &mut items {
        // Tenant and key headers in items must be ignored as in requests.
        item["headers"] = json!({names.tenant.as_str(): "south", names.api_key.as_str(): NORTH});
        *item = with_reward(item.clone(), HOST);
        item["reward"]["path"] = json!("/open/score");
    }
    accepted(&cluster, 0, "b1", &batch(&items, MODEL, 1)).await;
    assert_each_once(&cluster.wait_results(0, "b1", 4).await, 4);
    for run in runs(&cluster) {
        let expected = (!run.id.starts_with("reward-")).then_some("north");
        assert_eq!(run.tenant.as_deref(), expected, "{run:?}");
    }
    assert_no_key_was_forwarded(&cluster);
}

#[tokio::test(flavor = "multi_thread")]
async fn batches_of_other_tenants_are_not_found() {
    let mut cluster = cluster().await;
    cluster.api_key = Some(NORTH.to_owned());
    submit_items(&cluster, 0, "b1", 2, 3).await;
    cluster.wait_results(0, "b1", 2).await;
    for (key, status, code) in [
        (Some(SOUTH), 404, 1009),
        (Some("x"), 401, 1010),
        (None, 401, 1010),
    ] {
        cluster.api_key = key.map(str::to_owned);
        let path = format!("/v1/batch-items/{}?id=i0", "b1");
        let body = cluster.with_api_key(Call::new(Method::GET, HOST, path));
        let answers = [
            cluster.read_answer(0, "b1", 0).await.expect("an answer"),
            cluster.end(0, "b1").await.expect("an answer"),
            send(&cluster, &body).await,
        ];
        for answer in answers {
            assert_eq!(answer.status, status);
            assert_eq!(answer.json()["code"], code);
        }
    }
    assert!(cluster.table.rows("sloetrail_ends").is_empty());
    cluster.api_key = Some(NORTH.to_owned());
    assert_eq!(cluster.end(0, "b1").await.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn revoked_keys_are_refused_and_batches_continue() {
    let mut cluster = cluster().await;
    cluster.tenants = Some(tenants(&[NORTH, "north-second"]));
    cluster.configure(routes());
    let callers = cluster.nodes[0].callers;
    let second = call(&cluster, "/live/x", "r1", Some("north-second"));
    let is_in_force = || async { (second.send(callers).await?.status == 200).then_some(()) };
    eventually("the second key is in force", is_in_force).await;
    cluster.api_key = Some(NORTH.to_owned());
    submit_items(&cluster, 0, "b1", 6, 40).await;
    cluster.tenants = Some(tenants(&["north-second"]));
    cluster.configure(routes());
    let first = call(&cluster, "/live/x", "r2", Some(NORTH));
    let is_refused = || async { (first.send(callers).await?.status == 401).then_some(()) };
    eventually("the first key is refused", is_refused).await;
    cluster.api_key = Some("north-second".to_owned());
    assert_each_once(&cluster.wait_results(0, "b1", 6).await, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_keys_get_503_during_a_table_outage() {
    let cluster = cluster().await;
    cluster.table.set_down(true);
    let unknown = call(&cluster, "/live/x", "r1", Some("perhaps-new"));
    let callers = cluster.nodes[0].callers;
    let is_refused = || async {
        let answer = unknown.send(callers).await?;
        (answer.status == 503 && answer.json()["code"] == 1106).then_some(())
    };
    eventually("the node detects the table outage", is_refused).await;
    let known = call(&cluster, "/live/x", "r2", Some(NORTH));
    assert_eq!(send(&cluster, &known).await.status, 200);
}
