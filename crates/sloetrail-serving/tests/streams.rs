//! Series of events: passed on whole, taken up elsewhere without a gap or a repeat.

mod support;

use http::Method;
use sloetrail_serving_testkit::client::{Answer, Call};
use sloetrail_serving_testkit::cluster::{Cluster, HOST};
use sloetrail_serving_testkit::engine::EngineFault;
use std::time::Duration;
use support::native_cluster;

async fn cluster() -> Cluster {
    let mut cluster = native_cluster();
    cluster.add_application("zone-a").await;
    cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    cluster
}

async fn events(cluster: &Cluster, path: &str, body: &str) -> Option<Answer> {
    let names = cluster.names();
    Call::new(Method::POST, HOST, path)
        .header(&names.request_id, "s1")
        .body(body.to_owned())
        .send(cluster.nodes[0].callers)
        .await
}

fn numbers(answer: &Answer) -> Vec<u64> {
    let text = answer.text();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_series_arrives_whole() {
    let cluster = cluster().await;
    let answer = events(&cluster, "/events/x", "events=7")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(numbers(&answer), (1..=7).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_series_that_breaks_off_goes_on_at_another_back_end() {
    let cluster = cluster().await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::BreaksOff(3), Some(1));
    }
    let answer = events(&cluster, "/events/x", "events=9")
        .await
        .expect("an answer");
    assert_eq!(numbers(&answer), (1..=9).collect::<Vec<u64>>());
    let runs: Vec<_> = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.runs())
        .collect();
    let held: Vec<Option<u64>> = runs.iter().map(|run| run.last_event).collect();
    let is_continuation = |last: &Option<u64>| matches!(last, Some(2 | 3));
    assert!(
        held.contains(&None) && held.iter().any(is_continuation),
        "{held:?}"
    );
}

/// Its caller has the beginning and can neither be refused nor come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_series_that_breaks_off_waits_for_a_back_end_to_go_on() {
    let mut cluster = native_cluster();
    let application = cluster.add_application("zone-a").await;
    application.set_pace(Duration::from_millis(50));
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    application.set_fault(EngineFault::BreaksOff(4), Some(1));
    let away_for_a_while = async {
        tokio::time::sleep(Duration::from_millis(75)).await;
        cluster.unlist(&application);
        tokio::time::sleep(Duration::from_millis(800)).await;
        cluster.list(&application);
    };
    let series = events(&cluster, "/events/x", "events=9");
    let (answer, ()) = tokio::join!(series, away_for_a_while);
    let answer = answer.expect("a whole answer");
    assert_eq!(numbers(&answer), (1..=9).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_series_that_may_not_go_on_elsewhere_does_not_look_whole() {
    let mut cluster = cluster().await;
    cluster.configure(serde_json::json!([
        {"name": "events", "host": HOST, "path_prefix": "/fixed/", "kind": "stream",
         "timeout_ms": 5000, "target_latency_ms": 200, "max_attempts": 3,
         "service": "application"}
    ]));
    tokio::time::sleep(Duration::from_millis(100)).await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::BreaksOff(2), None);
    }
    let answer = events(&cluster, "/fixed/x", "events=9").await;
    assert!(answer.is_none(), "a broken answer was read as a whole one");
    let runs: usize = cluster
        .engines
        .iter()
        .map(|engine| engine.runs().len())
        .sum();
    assert_eq!(runs, 1);
}

/// A 429 promises the caller that its request has not run: a back end's word for it is
/// needed, and one that only says that it is overloaded has not given it.
#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_ran_a_series_is_not_quoted_with_a_promise_that_it_did_not() {
    let cluster = cluster().await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Overloaded, None);
    }
    let answer = events(&cluster, "/events/x", "events=3")
        .await
        .expect("an answer");
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    assert!(runs.count() > 0, "it ran");
    assert_eq!(answer.status, 502, "{}", answer.text());
}
