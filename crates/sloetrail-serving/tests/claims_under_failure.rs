//! Keyed requests run at most once also when nodes crash or stop, the table is unavailable or
//! loses answers, and callers disconnect.

mod support;

use sloetrail_serving_testkit::cluster::{Cluster, eventually};
use sloetrail_serving_testkit::engine::EngineFault;
use sloetrail_serving_testkit::keyed::{
    CLAIMS, EVENT_INTERVAL, IdempotentRequest, KEY_IN_PROGRESS, PATH, TABLE_UNAVAILABLE,
    assert_code, assert_not_run, request_with_id, runs_at, send_until_answered, wait_for_claim,
    wait_until_running,
};
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use sloetrail_serving_testkit::table::{CommitFault, LinkUse};
use std::time::Duration;
use support::{client_cluster, live, usual_cluster};

/// Bound for a refusal without a wait. A node waits 900 ms for a claim that isn't confirmed.
const MAX_IMMEDIATE_REFUSAL: Duration = Duration::from_millis(450);

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_succeeds_although_its_answer_is_lost() {
    let faults = [
        CommitFault::DoneUnanswered,
        CommitFault::RequestLost,
        CommitFault::DoneLate(Duration::from_millis(400)),
        CommitFault::Refused,
    ];
    for fault in faults {
        let cluster = usual_cluster(EVENT_INTERVAL).await;
        cluster.table.set_commit_fault_on(CLAIMS, fault, 1);
        let answer = IdempotentRequest::default().send(&cluster, 0).await;
        assert_eq!(answer.status, 200, "{fault:?}: {}", answer.text());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let repeated = send_until_answered(&cluster, 1, "r2").await;
        assert_eq!(repeated.body, answer.body, "{fault:?}");
        assert_eq!(runs_at(&cluster, PATH), 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unconfirmed_claim_is_refused_and_released() {
    let faults = [
        CommitFault::DoneUnanswered,
        CommitFault::DoneLate(Duration::from_millis(600)),
        CommitFault::RequestLost,
        CommitFault::Refused,
    ];
    for fault in faults {
        let cluster = usual_cluster(EVENT_INTERVAL).await;
        cluster.table.set_commit_fault_on(CLAIMS, fault, 1_000);
        for node in &cluster.nodes {
            node.link.set_answer_time(Duration::from_millis(300));
        }
        let answer = IdempotentRequest::default().send(&cluster, 0).await;
        assert_not_run(&answer, TABLE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"), "{fault:?}");
        assert_eq!(runs_at(&cluster, PATH), 0, "{fault:?}");
        cluster.table.set_commit_fault(CommitFault::None, None);
        for node in &cluster.nodes {
            node.link.set_answer_time(Duration::from_millis(1));
        }
        send_until_answered(&cluster, 1, "r2").await;
        assert_eq!(runs_at(&cluster, PATH), 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_table_outage_refuses_only_keyed_requests() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    cluster.table.set_down(true);
    let refused = IdempotentRequest::default().send(&cluster, 0).await;
    assert_eq!(refused.status, 503);
    assert_not_run(&refused, TABLE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));
    let unkeyed = live(&cluster, 0, "/once/unkeyed", "r2").await;
    assert_eq!(unkeyed.expect("an answer").status, 200);
    let repeatable = IdempotentRequest {
        path: "/live/x".to_owned(),
        ..IdempotentRequest::default()
    };
    assert_eq!(repeatable.send(&cluster, 0).await.status, 200);
    assert_eq!(runs_at(&cluster, PATH), 0);
    cluster.table.set_down(false);
    send_until_answered(&cluster, 0, "r3").await;
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_before_sending_leaves_the_key_claimed() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    // The claim is written but its answer is lost, so nothing can have been sent.
    cluster
        .table
        .set_commit_fault_on(CLAIMS, CommitFault::DoneUnanswered, 1);
    let call = IdempotentRequest::default().call(&cluster);
    let address = cluster.nodes[0].callers;
    let sent = tokio::spawn(async move { call.send(address).await });
    wait_for_claim(&cluster).await;
    cluster.nodes[0].kill();
    assert!(sent.await.expect("no panic").is_none(), "no answer came");
    // Repeats until after the request's deadline of two seconds.
    for _ in 0..4 {
        let repeated = request_with_id("r2").send(&cluster, 1).await;
        assert_code(&repeated, KEY_IN_PROGRESS);
        assert_eq!(repeated.json()["kind"], "outcome_unknown");
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    assert_eq!(runs_at(&cluster, PATH), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_after_sending_leaves_an_unknown_outcome() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    for engine in &cluster.engines {
        engine.set_event_interval(Duration::from_millis(300));
    }
    let call = IdempotentRequest::default().call(&cluster);
    let address = cluster.nodes[0].callers;
    let sent = tokio::spawn(async move { call.send(address).await });
    wait_until_running(&cluster).await;
    cluster.nodes[0].kill();
    assert!(sent.await.expect("no panic").is_none(), "no answer came");
    // Repeats until after the request's deadline of two seconds.
    for _ in 0..4 {
        let repeated = request_with_id("r2").send(&cluster, 1).await;
        assert_code(&repeated, KEY_IN_PROGRESS);
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_before_storing_the_answer_prevents_reruns() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    for engine in &cluster.engines {
        engine.set_event_interval(Duration::from_millis(200));
    }
    let call = IdempotentRequest::default().call(&cluster);
    let address = cluster.nodes[0].callers;
    let sent = tokio::spawn(async move { call.send(address).await });
    wait_until_running(&cluster).await;
    let lost = CommitFault::RequestLost;
    cluster.table.set_commit_fault_on(CLAIMS, lost, 1_000);
    let answer = sent.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
    cluster.nodes[0].kill();
    cluster.table.set_commit_fault(CommitFault::None, None);
    assert_code(
        &request_with_id("r2").send(&cluster, 1).await,
        KEY_IN_PROGRESS,
    );
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_stored_despite_lost_table_answers() {
    let faults = [
        CommitFault::DoneUnanswered,
        CommitFault::RequestLost,
        CommitFault::Refused,
        CommitFault::DoneLate(Duration::from_millis(400)),
    ];
    for fault in faults {
        let cluster = usual_cluster(EVENT_INTERVAL).await;
        for engine in &cluster.engines {
            engine.set_event_interval(Duration::from_millis(200));
        }
        let call = IdempotentRequest::default().call(&cluster);
        let address = cluster.nodes[0].callers;
        let sent = tokio::spawn(async move { call.send(address).await });
        wait_until_running(&cluster).await;
        cluster.table.set_commit_fault_on(CLAIMS, fault, 1);
        let answer = sent.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200, "{fault:?}");
        let repeated = send_until_answered(&cluster, 1, "r2").await;
        assert_eq!(repeated.body, answer.body, "{fault:?}");
        assert_eq!(runs_at(&cluster, PATH), 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_stores_the_answers_it_gave() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    for engine in &cluster.engines {
        engine.set_event_interval(Duration::from_millis(300));
    }
    let call = IdempotentRequest::default().call(&cluster);
    let address = cluster.nodes[0].callers;
    let sent = tokio::spawn(async move { call.send(address).await });
    wait_until_running(&cluster).await;
    let refused = CommitFault::Refused;
    cluster.table.set_commit_fault_on(CLAIMS, refused, 1_000);
    cluster.nodes[0].stop();
    // An idle node ends 2.5 s after the stop signal, this node before 3.3 s.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    cluster.table.set_commit_fault(CommitFault::None, None);
    assert_eq!(
        sent.await.expect("no panic").expect("an answer").status,
        200
    );
    eventually("the node has ended", || async {
        cluster.nodes[0].has_ended().then_some(())
    })
    .await;
    let repeated = request_with_id("r2").send(&cluster, 1).await;
    assert_eq!(repeated.text(), "answer to r1");
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_of_a_request_not_run_is_reusable() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Refuses, None);
    }
    let refused = IdempotentRequest::default().send(&cluster, 0).await;
    assert_eq!(refused.json()["kind"], "not_run", "{}", refused.text());
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::None, None);
    }
    send_until_answered(&cluster, 1, "r2").await;
    assert_eq!(runs_at(&cluster, PATH), 1);
    let repeated = send_until_answered(&cluster, 0, "r3").await;
    assert_eq!(repeated.text(), "answer to r2");
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_of_an_unknown_outcome_are_refused() {
    for fault in [EngineFault::AnswerLost, EngineFault::WrongRequestId] {
        let cluster = usual_cluster(EVENT_INTERVAL).await;
        for engine in &cluster.engines {
            engine.set_fault(fault, None);
        }
        let first = IdempotentRequest::default().send(&cluster, 0).await;
        assert_eq!(first.json()["kind"], "outcome_unknown", "{fault:?}");
        for engine in &cluster.engines {
            engine.set_fault(EngineFault::None, None);
        }
        assert_code(
            &request_with_id("r2").send(&cluster, 1).await,
            KEY_IN_PROGRESS,
        );
        assert_eq!(runs_at(&cluster, PATH), 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_are_relayed_only_within_the_region() {
    const NODES: [(&str, &str); 3] = [
        ("node-1", "zone-a"),
        ("node-2", "zone-c"),
        ("node-3", "zone-b"),
    ];
    let mut cluster = client_cluster();
    cluster.peers = true;
    let regions = [
        ("zone-a", "north"),
        ("zone-c", "north"),
        ("zone-b", "south"),
    ];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    cluster.regions = regions.into();
    cluster.add_application("zone-a").await;
    for (name, zone) in NODES {
        let node = cluster.add_node_in(zone, name).await;
        cluster.wait_ready(node).await;
    }
    // Nodes read the rows of other nodes every few seconds.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    cluster.nodes[0].link.set_cut(true);
    send_until_answered(&cluster, 0, "r1").await;
    assert!(cluster.nodes[1].link.uses_of(CLAIMS).writes > 0);
    cluster.nodes[1].kill();
    // By then the remaining node relays calls that may leave the region.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for path in ["/once/a", "/once/b", "/once/c"] {
        let other = IdempotentRequest {
            key: path,
            path: path.to_owned(),
            ..IdempotentRequest::default()
        };
        let watch = Stopwatch::start();
        let refused = other.send(&cluster, 0).await;
        let took = watch.elapsed();
        assert_not_run(&refused, TABLE_UNAVAILABLE);
        assert!(took < MAX_IMMEDIATE_REFUSAL, "refused after {took:?}");
        assert_eq!(
            refused.json()["retry_after_ms"],
            150,
            "another node can serve the retry"
        );
        assert_eq!(runs_at(&cluster, path), 0);
    }
    let unkeyed = live(&cluster, 0, "/once/unkeyed", "r2").await;
    assert_eq!(unkeyed.expect("an answer").status, 200);
    assert_eq!(cluster.nodes[2].link.uses_of(CLAIMS), LinkUse::default());
}

/// Sends the usual call to the first node and disconnects after this time.
async fn call_and_disconnect(cluster: &Cluster, after: Duration) {
    send_and_disconnect(cluster, &IdempotentRequest::default(), after).await;
}

async fn send_and_disconnect(cluster: &Cluster, keyed: &IdempotentRequest, after: Duration) {
    let call = keyed.call(cluster);
    let sending = call.send(cluster.nodes[0].callers);
    let answer = tokio::time::timeout(after, sending).await;
    assert!(answer.is_err(), "answered before the caller disconnected");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnect_before_sending_releases_the_key() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    let slow = CommitFault::Slow(Duration::from_millis(500));
    cluster.table.set_commit_fault_on(CLAIMS, slow, 1);
    call_and_disconnect(&cluster, Duration::from_millis(150)).await;
    wait_for_claim(&cluster).await;
    send_until_answered(&cluster, 1, "r2").await;
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnect_after_refused_attempts_releases_the_key() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Refuses, None);
    }
    // Some callers disconnect while another attempt is in flight, which may have run.
    let keys = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9"];
    let keyed = keys.map(|key| IdempotentRequest {
        key,
        path: format!("/once/{key}"),
        ..request_with_id("r2")
    });
    for first in &keyed {
        // After an immediate refusal the request waits at least 115 ms for a slot.
        send_and_disconnect(&cluster, first, Duration::from_millis(70)).await;
    }
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::None, None);
    }
    eventually("a key is available again", || async {
        for repeated in &keyed {
            if repeated.send(&cluster, 1).await.status == 200 {
                return Some(());
            }
        }
        None
    })
    .await;
    for repeated in &keyed {
        assert!(runs_at(&cluster, &repeated.path) <= 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnect_while_running_prevents_reruns() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    for engine in &cluster.engines {
        engine.set_event_interval(Duration::from_secs(5));
    }
    call_and_disconnect(&cluster, Duration::from_millis(400)).await;
    assert_eq!(runs_at(&cluster, PATH), 1);
    for engine in &cluster.engines {
        engine.set_event_interval(EVENT_INTERVAL);
    }
    for node in [0, 1] {
        assert_code(
            &request_with_id("r2").send(&cluster, node).await,
            KEY_IN_PROGRESS,
        );
    }
    assert_eq!(runs_at(&cluster, PATH), 1);
}
