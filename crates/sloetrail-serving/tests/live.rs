//! Live requests: whole answers to one's own request, true refusals, no second run of
//! what may not repeat.

mod support;

use sloetrail_serving_testkit::client::Call;
use sloetrail_serving_testkit::cluster::{Cluster, HOST, count_ids, eventually};
use sloetrail_serving_testkit::engine::{EngineFault, FakeEngine};
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::sync::Arc;
use std::time::Duration;
use support::{live, native_cluster};

const PACE: Duration = Duration::from_millis(5);

async fn cluster_with(applications: usize) -> (Cluster, Vec<Arc<FakeEngine>>) {
    let mut cluster = native_cluster();
    let mut started = Vec::new();
    for _ in 0..applications {
        started.push(cluster.add_application("zone-a").await);
    }
    cluster.add_engine(PACE).await;
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

/// The application that the node prefers while it has little to do: what is harmed must
/// be what its requests meet.
async fn preferred(cluster: &Cluster, applications: &[Arc<FakeEngine>]) -> Arc<FakeEngine> {
    let id = "which";
    live(cluster, 0, "/live/x", id).await.expect("an answer");
    let mut applications = applications.iter();
    let found = applications.find(|application| application.runs().iter().any(|run| run.id == id));
    Arc::clone(found.expect("it ran"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_the_signed_answer_to_its_own_request() {
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
async fn a_request_without_a_route_is_refused_and_one_without_configuration_is_put_off() {
    let (cluster, _applications) = cluster_with(1).await;
    let answer = live(&cluster, 0, "/nowhere/", "r1")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 404);
    assert_eq!(answer.json()["code"], 1008);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_goes_to_another_back_end_when_one_fails() {
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
        let was_asked = fault == EngineFault::Refuses || failing.runs().len() > 1;
        assert!(was_asked, "{fault:?}: the failing back end was not met");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_repeat_runs_at_most_once_and_not_run_is_true() {
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
async fn a_request_is_at_no_more_back_ends_than_its_route_allows() {
    let (cluster, applications) = cluster_with(6).await;
    for application in &applications {
        application.set_fault(EngineFault::Silent, None);
    }
    let answer = live(&cluster, 0, "/live/x", "r1").await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert!(runs_of(&applications, "r1") <= 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn back_ends_get_the_time_that_is_left() {
    let (cluster, applications) = cluster_with(2).await;
    applications[0].set_fault(EngineFault::Silent, None);
    applications[1].set_fault(EngineFault::Silent, None);
    live(&cluster, 0, "/live/x", "r1").await.expect("an answer");
    let runs = applications
        .iter()
        .flat_map(|application| application.runs());
    let given: Vec<u64> = runs.filter_map(|run| run.deadline_ms).collect();
    assert!(given.len() >= 2);
    assert!(given.iter().all(|time| *time <= 1_500), "{given:?}");
    assert!(given.iter().any(|time| *time < 1_480), "{given:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn work_for_a_caller_that_left_is_closed() {
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
    eventually("the back end's work is closed", is_closed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_was_lost_is_used_again_though_its_row_does_not_change() {
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
async fn shares_of_a_split_route_are_met() {
    let (mut cluster, _applications) = cluster_with(1).await;
    let other = FakeEngine::start(
        Arc::new(sloetrail_serving_testkit::wire::NativeWire),
        "other",
        "zone-a",
        &[],
        PACE,
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
async fn an_address_that_another_service_took_over_runs_nothing() {
    let (cluster, applications) = cluster_with(2).await;
    let gone = preferred(&cluster, &applications).await;
    gone.crash();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let newcomer = FakeEngine::start_at(
        gone.address(),
        Arc::new(sloetrail_serving_testkit::wire::NativeWire),
        "other",
        "zone-a",
        &[],
        PACE,
    )
    .await;
    for number in 0..20 {
        let id = format!("r{number}");
        let answer = live(&cluster, 0, "/live/x", &id).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert!(newcomer.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_refuses_what_it_cannot_hold() {
    let mut cluster = native_cluster();
    cluster.body_budget_bytes = Some(500_000);
    let application = cluster.add_application("zone-a").await;
    application.set_event_interval(Duration::from_millis(400));
    cluster.add_engine(PACE).await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    let names = cluster.names();
    let asking: Vec<_> = (0..5)
        .map(|number| {
            let call = Call::new(http::Method::POST, HOST, "/once/x")
                .header(&names.request_id, &format!("r{number}"))
                .body(vec![b'x'; 200_000]);
            let address = cluster.nodes[node].callers;
            tokio::spawn(async move { call.send(address).await })
        })
        .collect();
    let mut served = 0;
    for (number, asked) in asking.into_iter().enumerate() {
        let answer = asked.await.expect("no panic").expect("an answer");
        let runs = runs_of(std::slice::from_ref(&application), &format!("r{number}"));
        match answer.status.as_u16() {
            200 => served += runs,
            503 => {
                assert_eq!(runs, 0);
                assert_eq!(answer.json()["code"], 1102);
                assert!(answer.headers.contains_key("retry-after"));
            }
            other => panic!("{other}"),
        }
    }
    assert!((1..=2).contains(&served), "{served} of 5 fit");
    let again = live(&cluster, node, "/live/x", "later").await;
    assert_eq!(again.expect("an answer").status, 200);
    let too_large = Call::new(http::Method::POST, HOST, "/live/x")
        .header(&names.request_id, "large")
        .body(vec![b'x'; 1_000_001]);
    let answer = too_large.send(cluster.nodes[node].callers).await;
    assert!(answer.is_none_or(|answer| answer.status == 413 || answer.status == 503));
}

#[tokio::test(flavor = "multi_thread")]
async fn back_ends_that_are_all_slow_do_not_get_every_request_twice() {
    const CALLERS: usize = 5;
    const REQUESTS: usize = 12;
    let (cluster, applications) = cluster_with(2).await;
    for application in &applications {
        // Longer than a second back end is waited for (70 ms of the target's 200).
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
        calling.await.expect("answered");
    }
    let runs = applications
        .iter()
        .map(|application| application.runs().len());
    let again = runs.sum::<usize>() - CALLERS * REQUESTS;
    // The first ones, until the node knows how long answers take.
    assert!(again <= CALLERS * REQUESTS / 5, "{again} sent twice");
}

/// How long callers are told to stay away, in seconds.
fn retry_after(answer: &sloetrail_serving_testkit::client::Answer) -> f64 {
    let text = answer
        .headers
        .get("retry-after")
        .expect("when to come back");
    text.to_str().expect("text").parse().expect("seconds")
}

/// Loses every application so often that it is left alone for a while.
async fn lose_all(cluster: &Cluster, applications: &[Arc<FakeEngine>]) {
    for application in applications {
        application.crash();
    }
    for number in 0..20 {
        live(cluster, 0, "/once/x", &format!("lost{number}")).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_be_had_soon_is_refused_at_once_and_told_when_it_may_be_had() {
    let (cluster, applications) = cluster_with(2).await;
    for number in 0..20 {
        live(&cluster, 0, "/live/x", &format!("r{number}")).await;
    }
    lose_all(&cluster, &applications).await;
    let (mut told, mut held) = (Vec::new(), Vec::new());
    for number in 0..12 {
        let watch = Stopwatch::start();
        let answer = live(&cluster, 0, "/once/x", &format!("refused{number}")).await;
        let answer = answer.expect("an answer");
        held.push(watch.elapsed());
        assert_eq!(answer.status, 503, "{}", answer.text());
        told.push(retry_after(&answer));
    }
    held.sort_unstable();
    let median = held[held.len() / 2];
    assert!(
        median < Duration::from_millis(25),
        "{median:?}: held in vain"
    );
    let longest = told.iter().copied().fold(0.0, f64::max);
    assert!(longest > 0.1, "{told:?}: back before the pause is over");
    assert!(
        told.iter().all(|time| *time <= 0.5),
        "{told:?}: callers heed a third"
    );
    told.sort_by(f64::total_cmp);
    told.dedup();
    assert!(told.len() > 3, "{told:?}: spread out");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_place_that_comes_free_soon_is_waited_for() {
    let (cluster, applications) = cluster_with(1).await;
    applications[0].set_event_interval(Duration::from_millis(60));
    for number in 0..4 {
        live(&cluster, 0, "/once/x", &format!("r{number}")).await;
    }
    let cluster = Arc::new(cluster);
    let mut asking = Vec::new();
    // More than the eight places of the only application, which come free one by one.
    for number in 0..12 {
        let asker = Arc::clone(&cluster);
        asking.push(tokio::spawn(async move {
            live(&asker, 0, "/once/x", &format!("o{number}")).await
        }));
        tokio::time::sleep(Duration::from_millis(6)).await;
    }
    for asked in asking {
        let answer = asked.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}
