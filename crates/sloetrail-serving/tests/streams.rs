//! Event streams: forwarded completely, and resumed at another back end without gaps or repeats.

mod support;

use http::Method;
use sloetrail_serving_testkit::client::{Answer, Call};
use sloetrail_serving_testkit::cluster::{Cluster, HOST};
use sloetrail_serving_testkit::engine::{EngineFault, SpoiltNumber};
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

fn event_ids(answer: &Answer) -> Vec<u64> {
    let text = answer.text();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_arrive_complete() {
    let cluster = cluster().await;
    let answer = events(&cluster, "/events/x", "events=7")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(event_ids(&answer), (1..=7).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_streams_resume_at_another_back_end() {
    let cluster = cluster().await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::BreaksOff(3), Some(1));
    }
    let answer = events(&cluster, "/events/x", "events=9")
        .await
        .expect("an answer");
    assert_eq!(event_ids(&answer), (1..=9).collect::<Vec<u64>>());
    let runs: Vec<_> = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.runs())
        .collect();
    let last_events: Vec<Option<u64>> = runs.iter().map(|run| run.last_event).collect();
    let is_resumed = |last: &Option<u64>| matches!(last, Some(2 | 3));
    assert!(
        last_events.contains(&None) && last_events.iter().any(is_resumed),
        "{last_events:?}"
    );
}

/// Returns the events that a caller reads if a back end spoils the number of one event.
async fn events_with_spoilt_number(event: u64, shown: Option<u64>) -> Vec<(u64, String)> {
    let cluster = cluster().await;
    for engine in &cluster.engines {
        let spoilt = SpoiltNumber { event, shown };
        engine.set_fault(EngineFault::SpoilsNumber(spoilt), Some(1));
    }
    let answer = events(&cluster, "/events/x", "events=9").await;
    let answer = answer.expect("a complete answer");
    let text = answer.text();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let data = data.map(str::to_owned);
    event_ids(&answer).into_iter().zip(data).collect()
}

fn whole_series() -> Vec<(u64, String)> {
    let event = |number: u64| (number, format!("s1/{number}/0"));
    (1..=9).map(event).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn events_before_a_wrong_number_in_the_same_read_are_not_lost() {
    assert_eq!(events_with_spoilt_number(5, Some(7)).await, whole_series());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_a_number_is_not_sent_twice() {
    assert_eq!(events_with_spoilt_number(5, None).await, whole_series());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_event_that_the_second_contradicts_is_not_forwarded() {
    assert_eq!(events_with_spoilt_number(1, Some(3)).await, whole_series());
    assert_eq!(events_with_spoilt_number(1, None).await, whole_series());
}

/// The caller of a started stream can neither be refused nor retry.
#[tokio::test(flavor = "multi_thread")]
async fn broken_streams_wait_for_a_back_end() {
    let mut cluster = native_cluster();
    let application = cluster.add_application("zone-a").await;
    application.set_event_interval(Duration::from_millis(50));
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    application.set_fault(EngineFault::BreaksOff(4), Some(1));
    let unlist_temporarily = async {
        tokio::time::sleep(Duration::from_millis(75)).await;
        cluster.unlist(&application);
        tokio::time::sleep(Duration::from_millis(800)).await;
        cluster.list(&application);
    };
    let stream = events(&cluster, "/events/x", "events=9");
    let (answer, ()) = tokio::join!(stream, unlist_temporarily);
    let answer = answer.expect("a complete answer");
    assert_eq!(event_ids(&answer), (1..=9).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_unresumable_streams_close_the_connection() {
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
    assert!(
        answer.is_none(),
        "a truncated answer was read as a complete one"
    );
    let runs: usize = cluster
        .engines
        .iter()
        .map(|engine| engine.runs().len())
        .sum();
    assert_eq!(runs, 1);
}

/// Makes each back end open `count` streams without a signature; all if None.
async fn answer_of_unsigned_streams(count: Option<usize>) -> Answer {
    let cluster = cluster().await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Unsigned, count);
    }
    let answer = events(&cluster, "/events/x", "events=9").await;
    answer.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_without_a_signature_are_not_forwarded() {
    let refused = answer_of_unsigned_streams(None).await;
    assert_eq!(refused.json()["code"], 1202, "{}", refused.text());
    let signed = answer_of_unsigned_streams(Some(1)).await;
    assert_eq!(event_ids(&signed), (1..=9).collect::<Vec<u64>>());
    let signature = &native_cluster().names().signature;
    assert_eq!(signed.header(signature), Some("signed s1"));
}

/// Callers take a 429 as proof that the request did not run. An overloaded back end may have run
/// it, so its 429 must not be forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn status_429_of_a_run_stream_is_not_forwarded() {
    let cluster = cluster().await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Overloaded, None);
    }
    let answer = events(&cluster, "/events/x", "events=3")
        .await
        .expect("an answer");
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    assert!(runs.count() > 0, "no back end ran it");
    assert_eq!(answer.status, 502, "{}", answer.text());
}
