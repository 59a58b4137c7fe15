//! Live requests: complete answers to the right request, accurate refusals, and no second run of
//! non-idempotent requests.

mod support;

use sloetrail_serving_testkit::client::Call;
use sloetrail_serving_testkit::cluster::{Cluster, HOST, count_ids, eventually};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::sync::Arc;
use std::time::Duration;
use support::{live, native_cluster};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

async fn cluster_with(applications: usize) -> (Cluster, Vec<Arc<FakeEngine>>) {
    let mut cluster = native_cluster();
    let mut started = Vec::new();
    for _ in 0..applications {
        started.push(cluster.add_application("zone-a").await);
    }
    cluster.add_engine(EVENT_INTERVAL).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    (cluster, started)
}

fn runs_of(applications: &[Arc<FakeEngine>], id: &str) -> usize {
    let runs = applications
        .iter()
        .flat_map(|application| application.runs());
    runs.filter(|run| run.id == id).count()
}

/// Returns the application that an idle node chooses first, so that a fault set there is met.
async fn preferred(cluster: &Cluster, applications: &[Arc<FakeEngine>]) -> Arc<FakeEngine> {
    let id = "which";
    live(cluster, 0, "/live/x", id).await.expect("an answer");
    let mut applications = applications.iter();
    let found = applications.find(|application| application.runs().iter().any(|run| run.id == id));
    Arc::clone(found.expect("the request ran"))
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_get_the_signed_answer_to_their_request() {
    let (cluster, _applications) = cluster_with(2).await;
    let names = cluster.names();
    for number in 0..20 {
        let id = format!("r{number}");
        let answer = live(&cluster, 0, "/live/x?y=1", &id)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.text(), format!("answer to {id}"));
        assert_eq!(answer.header(&names.request_id), Some(id.as_str()));
        assert_eq!(
            answer.header(&names.signature),
            Some(format!("signed {id}").as_str())
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_route_get_404() {
    let (cluster, _applications) = cluster_with(1).await;
    let answer = live(&cluster, 0, "/nowhere/", "r1")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 404);
    assert_eq!(answer.json()["code"], 1008);
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_are_retried_at_another_back_end() {
    let faults = [
        EngineFault::AnswerLost,
        EngineFault::WrongRequestId,
        EngineFault::Fails,
        EngineFault::Overloaded,
        EngineFault::Silent,
        EngineFault::Refuses,
    ];
    for fault in faults {
        let (cluster, applications) = cluster_with(2).await;
        let failing = preferred(&cluster, &applications).await;
        failing.set_fault(fault, None);
        for number in 0..6 {
            let id = format!("r{number}");
            let answer = live(&cluster, 0, "/live/x", &id).await.expect("an answer");
            assert_eq!(answer.status, 200, "{fault:?}: {}", answer.text());
            assert_eq!(answer.text(), format!("answer to {id}"), "{fault:?}");
        }
        let was_tried = fault == EngineFault::Refuses || failing.runs().len() > 1;
        assert!(was_tried, "{fault:?}: the failing back end got no request");
    }
}

/// Guards against a second run, and against a "not run" status after a run.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_requests_run_at_most_once() {
    let faults = [
        EngineFault::AnswerLost,
        EngineFault::WrongRequestId,
        EngineFault::Fails,
        EngineFault::Overloaded,
        EngineFault::Refuses,
        EngineFault::Silent,
    ];
    for fault in faults {
        let (cluster, applications) = cluster_with(3).await;
        for application in &applications {
            application.set_fault(fault, None);
        }
        let answer = live(&cluster, 0, "/once/x", "r1").await.expect("an answer");
        let runs = runs_of(&applications, "r1");
        assert!(runs <= 1, "{fault:?}: {runs} runs");
        let promises_not_run = matches!(answer.status.as_u16(), 408 | 421 | 429 | 503);
        assert_eq!(promises_not_run, runs == 0, "{fault:?}: {}", answer.status);
        if promises_not_run {
            assert!(answer.headers.contains_key("retry-after"), "{fault:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_keep_the_attempt_limit_of_their_route() {
    let (cluster, applications) = cluster_with(6).await;
    for application in &applications {
        application.set_fault(EngineFault::Silent, None);
    }
    let answer = live(&cluster, 0, "/live/x", "r1").await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert!(runs_of(&applications, "r1") <= 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn back_ends_get_the_remaining_time() {
    let (cluster, applications) = cluster_with(2).await;
    applications[0].set_fault(EngineFault::Silent, None);
    applications[1].set_fault(EngineFault::Silent, None);
    live(&cluster, 0, "/live/x", "r1").await.expect("an answer");
    let runs = applications
        .iter()
        .flat_map(|application| application.runs());
    let deadlines_ms: Vec<u64> = runs.filter_map(|run| run.deadline_ms).collect();
    assert!(deadlines_ms.len() >= 2);
    assert!(
        deadlines_ms.iter().all(|time| *time <= 1_500),
        "{deadlines_ms:?}"
    );
    assert!(
        deadlines_ms.iter().any(|time| *time < 1_480),
        "{deadlines_ms:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_disconnected_callers_are_closed() {
    let (cluster, applications) = cluster_with(1).await;
    applications[0].set_event_interval(Duration::from_secs(5));
    let names = cluster.names();
    let call = Call::new(http::Method::POST, HOST, "/live/x").header(&names.request_id, "r1");
    let address = cluster.nodes[0].callers;
    let _ = tokio::time::timeout(Duration::from_millis(300), call.send(address)).await;
    let is_closed = || async {
        let runs = applications[0].runs();
        runs.iter().all(|run| run.abandoned).then_some(())
    };
    eventually("the request at the back end is closed", is_closed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_back_end_is_used_again_without_a_row_change() {
    let (cluster, applications) = cluster_with(1).await;
    applications[0].set_fault(EngineFault::AnswerLost, Some(3));
    let first = live(&cluster, 0, "/live/x", "r1").await.expect("an answer");
    assert_ne!(first.status, 200);
    let served = || async {
        let answer = live(&cluster, 0, "/live/x", "r2").await?;
        (answer.status == 200).then_some(())
    };
    eventually("the back end is used again", served).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn split_route_follows_its_weights() {
    let (mut cluster, _applications) = cluster_with(1).await;
    let other = FakeEngine::start(
        Arc::new(sloetrail_serving_testkit::wire::NativeWire),
        "other",
        "zone-a",
        &[],
        EVENT_INTERVAL,
    )
    .await;
    cluster.list(&other);
    cluster.configure(serde_json::json!([
        {"name": "split", "host": HOST, "path_prefix": "/live/", "kind": "idempotent",
         "timeout_ms": 2000, "target_latency_ms": 1500, "max_attempts": 1,
         "weighted_backends": [{"service": "application", "weight": 80},
                               {"service": "other", "weight": 20}]}
    ]));
    let in_force = || async {
        live(&cluster, 0, "/live/x", "warm").await?;
        (!other.runs().is_empty()).then_some(())
    };
    eventually("the split is in force", in_force).await;
    let before = other.runs().len();
    for number in 0..100 {
        live(&cluster, 0, "/live/x", &format!("r{number}"))
            .await
            .expect("an answer");
    }
    let share = other.runs().len() - before;
    assert!((17..=23).contains(&share), "{share} of 100");
    let ids: Vec<String> = other.runs().into_iter().map(|run| run.id).collect();
    let counts = count_ids(ids.iter().map(String::as_str));
    assert!(counts.iter().all(|(id, count)| id == "warm" || *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_table_is_down() {
    let (cluster, _applications) = cluster_with(2).await;
    cluster.table.set_down(true);
    tokio::time::sleep(Duration::from_millis(600)).await;
    for number in 0..5 {
        let answer = live(&cluster, 0, "/live/x", &format!("r{number}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn address_reused_by_another_service_runs_no_requests() {
    let (cluster, applications) = cluster_with(2).await;
    let crashed = preferred(&cluster, &applications).await;
    crashed.crash();
    tokio::time::sleep(Duration::from_millis(50)).await;
    crashed.release_address();
    let successor = FakeEngine::start_at(
        crashed.address(),
        Arc::new(sloetrail_serving_testkit::wire::NativeWire),
        "other",
        "zone-a",
        &[],
        EVENT_INTERVAL,
    )
    .await;
    for number in 0..20 {
        let id = format!("r{number}");
        let answer = live(&cluster, 0, "/live/x", &id).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert!(successor.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_body_budget_are_refused() {
    let mut cluster = native_cluster();
    cluster.body_budget_bytes = Some(500_000);
    let application = cluster.add_application("zone-a").await;
    application.set_event_interval(Duration::from_millis(400));
    cluster.add_engine(EVENT_INTERVAL).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let names = cluster.names();
    let in_flight: Vec<_> = (0..5)
        .map(|number| {
            let call = Call::new(http::Method::POST, HOST, "/once/x")
                .header(&names.request_id, &format!("r{number}"))
                .body(vec![b'x'; 200_000]);
            let address = cluster.nodes[node].callers;
            tokio::spawn(async move { call.send(address).await })
        })
        .collect();
    let mut served = 0;
    for (number, pending) in in_flight.into_iter().enumerate() {
        let answer = pending.await.expect("no panic").expect("an answer");
        let runs = runs_of(std::slice::from_ref(&application), &format!("r{number}"));
        match answer.status.as_u16() {
            200 => served += runs,
            503 => {
                assert_eq!(runs, 0);
                assert_eq!(answer.json()["code"], 1102);
                assert!(answer.headers.contains_key("retry-after"));
            }
            other => panic!("unexpected status {other}"),
        }
    }
    assert!(
        (1..=2).contains(&served),
        "{served} of 5 requests were served"
    );
    let later = live(&cluster, node, "/live/x", "later").await;
    assert_eq!(later.expect("an answer").status, 200);
    let too_large = Call::new(http::Method::POST, HOST, "/live/x")
        .header(&names.request_id, "large")
        .body(vec![b'x'; 1_000_001]);
    let answer = too_large.send(cluster.nodes[node].callers).await;
    assert!(answer.is_none_or(|answer| answer.status == 413 || answer.status == 503));
}

#[tokio::test(flavor = "multi_thread")]
async fn uniformly_slow_back_ends_get_few_hedged_requests() {
    const CALLERS: usize = 5;
    const REQUESTS: usize = 12;
    let (cluster, applications) = cluster_with(2).await;
    for application in &applications {
        // Longer than the hedging delay (70 ms at a latency target of 200 ms).
        application.set_event_interval(Duration::from_millis(120));
    }
    let cluster = Arc::new(cluster);
    let calling = (0..CALLERS).map(|caller| {
        let cluster = Arc::clone(&cluster);
        tokio::spawn(async move {
            for number in 0..REQUESTS {
                let id = format!("r{caller}-{number}");
                let answer = live(&cluster, 0, "/live/x", &id).await;
                assert_eq!(answer.expect("an answer").status, 200);
            }
        })
    });
    for calling in calling.collect::<Vec<_>>() {
        calling.await.expect("all answers have status 200");
    }
    let runs = applications
        .iter()
        .map(|application| application.runs().len());
    let hedged = runs.sum::<usize>() - CALLERS * REQUESTS;
    // Requests are hedged until the node has learned the latency.
    assert!(
        hedged <= CALLERS * REQUESTS / 5,
        "{hedged} requests were sent twice"
    );
}

/// Returns the value of Retry-After in seconds.
fn retry_after(answer: &sloetrail_serving_testkit::client::Answer) -> f64 {
    let text = answer
        .headers
        .get("retry-after")
        .expect("a Retry-After header");
    text.to_str()
        .expect("printable characters")
        .parse()
        .expect("a number of seconds")
}

/// Crashes all applications and sends requests until the node backs off from them.
async fn crash_all(cluster: &Cluster, applications: &[Arc<FakeEngine>]) {
    for application in applications {
        application.crash();
    }
    for number in 0..20 {
        live(cluster, 0, "/once/x", &format!("lost{number}")).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unavailable_service_refuses_at_once_with_retry_after() {
    let (cluster, applications) = cluster_with(2).await;
    for number in 0..20 {
        live(&cluster, 0, "/live/x", &format!("r{number}")).await;
    }
    crash_all(&cluster, &applications).await;
    let (mut retry_after_s, mut latencies) = (Vec::new(), Vec::new());
    for number in 0..12 {
        let watch = Stopwatch::start();
        let answer = live(&cluster, 0, "/once/x", &format!("refused{number}")).await;
        let answer = answer.expect("an answer");
        latencies.push(watch.elapsed());
        assert_eq!(answer.status, 503, "{}", answer.text());
        retry_after_s.push(retry_after(&answer));
    }
    latencies.sort_unstable();
    let median = latencies[latencies.len() / 2];
    assert!(
        median < Duration::from_millis(25),
        "median latency of a refusal: {median:?}"
    );
    let longest = retry_after_s.iter().copied().fold(0.0, f64::max);
    assert!(
        longest > 0.1,
        "{retry_after_s:?}: callers return before the backoff ends"
    );
    assert!(
        retry_after_s.iter().all(|time| *time <= 0.5),
        "{retry_after_s:?}: longer than callers may be told to wait"
    );
    retry_after_s.sort_by(f64::total_cmp);
    retry_after_s.dedup();
    assert!(
        retry_after_s.len() > 3,
        "{retry_after_s:?}: too few distinct values"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_a_slot_that_frees_soon() {
    let (cluster, applications) = cluster_with(1).await;
    applications[0].set_event_interval(Duration::from_millis(60));
    for number in 0..4 {
        live(&cluster, 0, "/once/x", &format!("r{number}")).await;
    }
    let cluster = Arc::new(cluster);
    let mut in_flight = Vec::new();
    // More than the eight slots of the only application, which become free one by one.
    for number in 0..12 {
        let caller = Arc::clone(&cluster);
        in_flight.push(tokio::spawn(async move {
            live(&caller, 0, "/once/x", &format!("o{number}")).await
        }));
        tokio::time::sleep(Duration::from_millis(6)).await;
    }
    for pending in in_flight {
        let answer = pending.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}
