//! Requests with an idempotency key run at most once, whatever happens to nodes, the table
//! and callers.

mod support;

use http::{HeaderName, Method};
use serde_json::json;
use sloetrail_serving::native_dialect::NativeDialect;
use sloetrail_serving::settings::ServingSettings;
use sloetrail_serving_testkit::client::{Answer, Call};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, eventually, usual_routes};
use sloetrail_serving_testkit::engine::EngineFault;
use sloetrail_serving_testkit::table::{CommitFault, LinkUse};
use sloetrail_serving_testkit::wire::NativeWire;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{client_cluster, live, native_cluster, usual_cluster};

const PACE: Duration = Duration::from_millis(5);
const CLAIMS: &str = "sloetrail_claims";
const CLAIM_TIMES: &str = "sloetrail_claim_times";
const KEY: &str = "a-reading-of-one-household";
const PATH: &str = "/once/reading";

/// A claim that the table does not settle is waited for 900 ms of the route's two seconds.
const AT_ONCE: Duration = Duration::from_millis(450);

const INVALID_KEY: u64 = 1006;
const KEY_REUSED: u64 = 1011;
const TABLE_UNAVAILABLE: u64 = 1107;
const KEY_IN_PROGRESS: u64 = 1201;

/// A request with a key; its id is its own.
struct Keyed {
    id: &'static str,
    key: &'static str,
    path: String,
    body: &'static str,
}

impl Default for Keyed {
    fn default() -> Self {
        Self {
            id: "r1",
            key: KEY,
            path: PATH.to_owned(),
            body: "question",
        }
    }
}

impl Keyed {
    fn call(&self, cluster: &Cluster) -> Call {
        let names = cluster.names();
        let name = HeaderName::from_static("idempotency-key");
        let call = Call::new(Method::POST, HOST, &self.path)
            .header(&names.request_id, self.id)
            .header(&name, self.key)
            .body(self.body);
        cluster.keyed(call)
    }

    async fn send(&self, cluster: &Cluster, node: usize) -> Answer {
        let call = self.call(cluster);
        let answer = call.send(cluster.nodes[node].callers).await;
        answer.expect("an answer")
    }
}

/// The usual request under another id.
fn again(id: &'static str) -> Keyed {
    Keyed {
        id,
        ..Keyed::default()
    }
}

fn runs_at(cluster: &Cluster, path: &str) -> usize {
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.path == path).count()
}

fn assert_code(answer: &Answer, code: u64) {
    assert_eq!(answer.json()["code"], code, "{}", answer.text());
}

fn assert_not_run(answer: &Answer, code: u64) {
    assert_code(answer, code);
    assert_eq!(answer.json()["kind"], "not_run");
}

/// Sends the usual request until it gets its answer.
async fn answered(cluster: &Cluster, node: usize, id: &'static str) -> Answer {
    eventually("the request is answered", || async {
        let answer = again(id).send(cluster, node).await;
        (answer.status == 200).then_some(answer)
    })
    .await
}

async fn claim_is_written(cluster: &Cluster) {
    eventually("the claim is written", || async {
        (!cluster.table.rows(CLAIMS).is_empty()).then_some(())
    })
    .await;
}

async fn runs(cluster: &Cluster) {
    eventually("the request runs", || async {
        (runs_at(cluster, PATH) > 0).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_two_nodes_at_once_runs_once_and_gives_one_answer() {
    const KEYS: usize = 12;
    const CALLERS: usize = 4;
    let cluster = usual_cluster(PACE).await;
    for number in 0..KEYS {
        let key = format!("key-{number}");
        let path = format!("/once/{number}");
        let sending = (0..CALLERS).map(|caller| {
            let names = cluster.names();
            let key_name = names.idempotency_key.as_ref().expect("a name");
            let call = Call::new(Method::POST, HOST, &path)
                .header(&names.request_id, &format!("r{number}-{caller}"))
                .header(key_name, &key)
                .body("question");
            let address = cluster.nodes[caller % 2].callers;
            tokio::spawn(async move { call.send(address).await })
        });
        let mut whole = Vec::new();
        for sent in sending.collect::<Vec<_>>() {
            let answer = sent.await.expect("no panic").expect("an answer");
            match answer.status.as_u16() {
                200 => whole.push(answer.text()),
                _ => assert_code(&answer, KEY_IN_PROGRESS),
            }
        }
        whole.dedup();
        assert_eq!(whole.len(), 1, "{path}: {whole:?}");
        assert_eq!(runs_at(&cluster, &path), 1, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_at_another_node_gets_the_stored_answer() {
    let cluster = usual_cluster(PACE).await;
    let names = cluster.names();
    let first = Keyed::default().send(&cluster, 0).await;
    assert_eq!(first.status, 200);
    let repeated = answered(&cluster, 1, "r2").await;
    assert_eq!(repeated.body, first.body);
    assert_eq!(
        repeated.header(&names.signature),
        first.header(&names.signature)
    );
    assert_eq!(repeated.header(&names.request_id), Some("r2"));
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_the_back_end_is_the_answer_of_repeats_too() {
    let cluster = usual_cluster(PACE).await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Fails, Some(1));
    }
    let first = Keyed::default().send(&cluster, 0).await;
    assert_eq!(first.status, 500);
    let stored = || async {
        let repeated = again("r2").send(&cluster, 1).await;
        (repeated.status == 500).then_some(repeated)
    };
    let repeated = eventually("the failure is stored", stored).await;
    assert_eq!(repeated.body, first.body);
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_request_under_the_same_key_is_refused_with_its_own_code() {
    let cluster = usual_cluster(PACE).await;
    assert_eq!(Keyed::default().send(&cluster, 0).await.status, 200);
    let others = [
        Keyed {
            body: "another question",
            ..Keyed::default()
        },
        Keyed {
            path: "/once/other".to_owned(),
            ..Keyed::default()
        },
        Keyed {
            path: format!("{PATH}?y=1"),
            ..Keyed::default()
        },
    ];
    for other in others {
        let answer = other.send(&cluster, 1).await;
        assert_eq!(answer.status, 422);
        assert_not_run(&answer, KEY_REUSED);
        assert!(!answer.text().contains(KEY));
    }
    let names = cluster.names();
    let key_name = names.idempotency_key.as_ref().expect("a name");
    let put = Call::new(Method::PUT, HOST, PATH)
        .header(key_name, KEY)
        .body("question");
    let answer = put.send(cluster.nodes[1].callers).await;
    assert_not_run(&answer.expect("an answer"), KEY_REUSED);
    assert_eq!(runs_at(&cluster, PATH), 1);
    assert_eq!(runs_at(&cluster, "/once/other"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn tenants_do_not_meet_in_their_keys() {
    let mut cluster = usual_cluster(PACE).await;
    cluster.tenants = Some(json!([
        {"name": "north", "api_keys": ["north-secret"]},
        {"name": "south", "api_keys": ["south-secret"]},
    ]));
    cluster.configure(usual_routes());
    eventually("the tenants are in force", || async {
        let answer = live(&cluster, 0, "/live/x", "r0").await?;
        (answer.status == 401).then_some(())
    })
    .await;
    let mut answers = Vec::new();
    for (secret, id) in [("north-secret", "rn"), ("south-secret", "rs")] {
        cluster.api_key = Some(secret.to_owned());
        answers.push(answered(&cluster, 0, id).await.text());
    }
    assert_eq!(answers, ["answer to rn", "answer to rs"]);
    assert_eq!(runs_at(&cluster, PATH), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_table_to_the_claim_is_settled() {
    let faults = [
        CommitFault::DoneUnanswered,
        CommitFault::LostOnTheWay,
        CommitFault::DoneLate(Duration::from_millis(400)),
        CommitFault::Refused,
    ];
    for fault in faults {
        let cluster = usual_cluster(PACE).await;
        cluster.table.set_commit_fault_on(CLAIMS, fault, 1);
        let answer = Keyed::default().send(&cluster, 0).await;
        assert_eq!(answer.status, 200, "{fault:?}: {}", answer.text());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let repeated = answered(&cluster, 1, "r2").await;
        assert_eq!(repeated.body, answer.body, "{fault:?}");
        assert_eq!(runs_at(&cluster, PATH), 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_is_not_settled_in_time_is_refused_as_not_run_and_given_back() {
    let faults = [
        CommitFault::DoneUnanswered,
        CommitFault::DoneLate(Duration::from_millis(600)),
        CommitFault::LostOnTheWay,
        CommitFault::Refused,
    ];
    for fault in faults {
        let cluster = usual_cluster(PACE).await;
        cluster.table.set_commit_fault_on(CLAIMS, fault, 1_000);
        for node in &cluster.nodes {
            node.link.set_answer_time(Duration::from_millis(300));
        }
        let answer = Keyed::default().send(&cluster, 0).await;
        assert_not_run(&answer, TABLE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"), "{fault:?}");
        assert_eq!(runs_at(&cluster, PATH), 0, "{fault:?}");
        cluster.table.set_commit_fault(CommitFault::None, None);
        for node in &cluster.nodes {
            node.link.set_answer_time(Duration::from_millis(1));
        }
        answered(&cluster, 1, "r2").await;
        assert_eq!(runs_at(&cluster, PATH), 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_table_keyed_requests_are_refused_as_not_run_and_others_go_on() {
    let cluster = usual_cluster(PACE).await;
    cluster.table.set_down(true);
    let refused = Keyed::default().send(&cluster, 0).await;
    assert_eq!(refused.status, 503);
    assert_not_run(&refused, TABLE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));
    let unkeyed = live(&cluster, 0, "/once/unkeyed", "r2").await;
    assert_eq!(unkeyed.expect("an answer").status, 200);
    let repeatable = Keyed {
        path: "/live/x".to_owned(),
        ..Keyed::default()
    };
    assert_eq!(repeatable.send(&cluster, 0).await.status, 200);
    assert_eq!(runs_at(&cluster, PATH), 0);
    cluster.table.set_down(false);
    answered(&cluster, 0, "r3").await;
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_killed_between_claim_and_send_leaves_a_key_that_never_runs() {
    let mut cluster = usual_cluster(PACE).await;
    // The claim is there and its answer is not: nothing can have been sent.
    cluster
        .table
        .set_commit_fault_on(CLAIMS, CommitFault::DoneUnanswered, 1);
    let call = Keyed::default().call(&cluster);
    let address = cluster.nodes[0].callers;
    let sent = tokio::spawn(async move { call.send(address).await });
    claim_is_written(&cluster).await;
    cluster.nodes[0].kill();
    assert!(sent.await.expect("no panic").is_none(), "no answer came");
    // Also once the request's two seconds are over.
    for _ in 0..4 {
        let repeated = again("r2").send(&cluster, 1).await;
        assert_code(&repeated, KEY_IN_PROGRESS);
        assert_eq!(repeated.json()["kind"], "outcome_unknown");
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    assert_eq!(runs_at(&cluster, PATH), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_killed_between_send_and_stored_answer_leaves_an_unknown_outcome() {
    let mut cluster = usual_cluster(PACE).await;
    for engine in &cluster.engines {
        engine.set_pace(Duration::from_millis(300));
    }
    let call = Keyed::default().call(&cluster);
    let address = cluster.nodes[0].callers;
    let sent = tokio::spawn(async move { call.send(address).await });
    runs(&cluster).await;
    cluster.nodes[0].kill();
    assert!(sent.await.expect("no panic").is_none(), "no answer came");
    // Also once the request's two seconds are over.
    for _ in 0..4 {
        let repeated = again("r2").send(&cluster, 1).await;
        assert_code(&repeated, KEY_IN_PROGRESS);
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_killed_after_its_answer_and_before_it_is_stored_runs_nothing_again() {
    let mut cluster = usual_cluster(PACE).await;
    for engine in &cluster.engines {
        engine.set_pace(Duration::from_millis(200));
    }
    let call = Keyed::default().call(&cluster);
    let address = cluster.nodes[0].callers;
    let sent = tokio::spawn(async move { call.send(address).await });
    runs(&cluster).await;
    let lost = CommitFault::LostOnTheWay;
    cluster.table.set_commit_fault_on(CLAIMS, lost, 1_000);
    let answer = sent.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
    cluster.nodes[0].kill();
    cluster.table.set_commit_fault(CommitFault::None, None);
    assert_code(&again("r2").send(&cluster, 1).await, KEY_IN_PROGRESS);
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_stored_although_answers_of_the_table_are_lost() {
    let faults = [
        CommitFault::DoneUnanswered,
        CommitFault::LostOnTheWay,
        CommitFault::Refused,
        CommitFault::DoneLate(Duration::from_millis(400)),
    ];
    for fault in faults {
        let cluster = usual_cluster(PACE).await;
        for engine in &cluster.engines {
            engine.set_pace(Duration::from_millis(200));
        }
        let call = Keyed::default().call(&cluster);
        let address = cluster.nodes[0].callers;
        let sent = tokio::spawn(async move { call.send(address).await });
        runs(&cluster).await;
        cluster.table.set_commit_fault_on(CLAIMS, fault, 1);
        let answer = sent.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200, "{fault:?}");
        let repeated = answered(&cluster, 1, "r2").await;
        assert_eq!(repeated.body, answer.body, "{fault:?}");
        assert_eq!(runs_at(&cluster, PATH), 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stops_in_order_stores_the_answers_that_it_gave() {
    let mut cluster = usual_cluster(PACE).await;
    for engine in &cluster.engines {
        engine.set_pace(Duration::from_millis(300));
    }
    let call = Keyed::default().call(&cluster);
    let address = cluster.nodes[0].callers;
    let sent = tokio::spawn(async move { call.send(address).await });
    runs(&cluster).await;
    let refused = CommitFault::Refused;
    cluster.table.set_commit_fault_on(CLAIMS, refused, 1_000);
    cluster.nodes[0].stop();
    // A node without work ends 2.5 s after it was told to, this one before 3.3 s.
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    cluster.table.set_commit_fault(CommitFault::None, None);
    assert_eq!(sent.await.expect("no panic").expect("whole").status, 200);
    eventually("the node has ended", || async {
        cluster.nodes[0].has_ended().then_some(())
    })
    .await;
    let repeated = again("r2").send(&cluster, 1).await;
    assert_eq!(repeated.text(), "answer to r1");
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_request_was_refused_as_not_run_may_be_used_again() {
    let cluster = usual_cluster(PACE).await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Refuses, None);
    }
    let refused = Keyed::default().send(&cluster, 0).await;
    assert_eq!(refused.json()["kind"], "not_run", "{}", refused.text());
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::None, None);
    }
    answered(&cluster, 1, "r2").await;
    assert_eq!(runs_at(&cluster, PATH), 1);
    let repeated = answered(&cluster, 0, "r3").await;
    assert_eq!(repeated.text(), "answer to r2");
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_unknown_to_repeats_too() {
    for fault in [EngineFault::AnswerLost, EngineFault::Crossed] {
        let cluster = usual_cluster(PACE).await;
        for engine in &cluster.engines {
            engine.set_fault(fault, None);
        }
        let first = Keyed::default().send(&cluster, 0).await;
        assert_eq!(first.json()["kind"], "outcome_unknown", "{fault:?}");
        for engine in &cluster.engines {
            engine.set_fault(EngineFault::None, None);
        }
        assert_code(&again("r2").send(&cluster, 1).await, KEY_IN_PROGRESS);
        assert_eq!(runs_at(&cluster, PATH), 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_is_carried_by_nodes_of_the_own_region_alone() {
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
    // The nodes look at the rows of the others every few seconds.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    cluster.nodes[0].link.set_cut(true);
    answered(&cluster, 0, "r1").await;
    assert!(cluster.nodes[1].link.uses_of(CLAIMS).writes > 0);
    cluster.nodes[1].kill();
    // By then the other carries what may leave the region.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for path in ["/once/a", "/once/b", "/once/c"] {
        let other = Keyed {
            key: path,
            path: path.to_owned(),
            ..Keyed::default()
        };
        let began = Instant::now();
        let refused = other.send(&cluster, 0).await;
        let took = began.elapsed();
        assert_not_run(&refused, TABLE_UNAVAILABLE);
        assert!(took < AT_ONCE, "refused after {took:?}");
        assert_eq!(refused.json()["retry_after_ms"], 150, "another node can");
        assert_eq!(runs_at(&cluster, path), 0);
    }
    let unkeyed = live(&cluster, 0, "/once/unkeyed", "r2").await;
    assert_eq!(unkeyed.expect("an answer").status, 200);
    assert_eq!(cluster.nodes[2].link.uses_of(CLAIMS), LinkUse::default());
}

/// Makes the usual call at the first node and leaves after this time.
async fn call_and_leave(cluster: &Cluster, after: Duration) {
    send_and_leave(cluster, &Keyed::default(), after).await;
}

async fn send_and_leave(cluster: &Cluster, keyed: &Keyed, after: Duration) {
    let call = keyed.call(cluster);
    let sending = call.send(cluster.nodes[0].callers);
    let left = tokio::time::timeout(after, sending).await;
    assert!(left.is_err(), "the caller left before its answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_before_anything_was_sent_may_come_again() {
    let cluster = usual_cluster(PACE).await;
    let slow = CommitFault::Slow(Duration::from_millis(500));
    cluster.table.set_commit_fault_on(CLAIMS, slow, 1);
    call_and_leave(&cluster, Duration::from_millis(150)).await;
    claim_is_written(&cluster).await;
    answered(&cluster, 1, "r2").await;
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_after_proof_that_nothing_has_run_may_come_again() {
    let cluster = usual_cluster(PACE).await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Refuses, None);
    }
    // Some may leave just while one more sending is under way, which may have run.
    let keys = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9"];
    let keyed = keys.map(|key| Keyed {
        key,
        path: format!("/once/{key}"),
        ..again("r2")
    });
    for first in &keyed {
        // Refused at once, it waits for a place for 115 ms at least.
        send_and_leave(&cluster, first, Duration::from_millis(70)).await;
    }
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::None, None);
    }
    eventually("a key is free again", || async {
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
async fn a_caller_that_leaves_while_its_request_runs_does_not_make_it_run_again() {
    let cluster = usual_cluster(PACE).await;
    for engine in &cluster.engines {
        engine.set_pace(Duration::from_secs(5));
    }
    call_and_leave(&cluster, Duration::from_millis(400)).await;
    assert_eq!(runs_at(&cluster, PATH), 1);
    for engine in &cluster.engines {
        engine.set_pace(PACE);
    }
    for node in [0, 1] {
        assert_code(&again("r2").send(&cluster, node).await, KEY_IN_PROGRESS);
    }
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_too_large_to_be_kept_runs_nothing_again() {
    let cluster = usual_cluster(PACE).await;
    // The back end's answer names the id; a row of the table holds 4,096 bytes.
    let id: &'static str = "x".repeat(5_000).leak();
    assert_eq!(again(id).send(&cluster, 0).await.status, 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_code(&again("r2").send(&cluster, 1).await, KEY_IN_PROGRESS);
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_its_answer_also_after_its_route_was_renamed() {
    let mut cluster = usual_cluster(PACE).await;
    let first = again("r1").send(&cluster, 0).await;
    assert_eq!(first.status, 200);
    let mut routes = usual_routes();
    routes[1]["name"] = json!("renamed");
    routes.as_array_mut().expect("routes").push(json!(
        {"name": "new", "host": HOST, "path_prefix": "/new/", "kind": "idempotent",
         "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 3,
         "service": sloetrail_serving_testkit::cluster::APPLICATION}
    ));
    cluster.configure(routes);
    eventually("the renamed route is in force", || async {
        let answer = live(&cluster, 1, "/new/x", "r0").await?;
        (answer.status != 404).then_some(())
    })
    .await;
    let repeat = again("r2").send(&cluster, 1).await;
    assert_eq!(repeat.status, 200, "{}", repeat.text());
    assert_eq!(repeat.text(), first.text());
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_series_of_events_that_may_not_repeat_begins_once() {
    let mut cluster = usual_cluster(PACE).await;
    let mut routes = usual_routes();
    routes[2]["resumable"] = json!(false);
    cluster.configure(routes);
    let series = |id| Keyed {
        id,
        path: "/events/x".to_owned(),
        body: "events=3",
        ..Keyed::default()
    };
    let first = eventually("the route is in force", || async {
        let answer = series("r1").send(&cluster, 0).await;
        (!cluster.table.rows(CLAIMS).is_empty()).then_some(answer)
    })
    .await;
    assert_eq!(first.status, 200);
    let begun = runs_at(&cluster, "/events/x");
    assert_code(&series("r2").send(&cluster, 1).await, KEY_IN_PROGRESS);
    assert_eq!(runs_at(&cluster, "/events/x"), begun);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_key_or_that_may_repeat_costs_no_call_to_the_table() {
    let cluster = usual_cluster(PACE).await;
    let repeatable = |path: &str, body| Keyed {
        path: path.to_owned(),
        body,
        ..Keyed::default()
    };
    for _ in 0..10 {
        let answer = live(&cluster, 0, PATH, "r1").await.expect("an answer");
        assert_eq!(answer.status, 200);
        let answer = repeatable("/live/x", "question").send(&cluster, 0).await;
        assert_eq!(answer.status, 200);
        let answer = repeatable("/events/x", "events=2").send(&cluster, 0).await;
        assert_eq!(answer.status, 200);
    }
    let link = &cluster.nodes[0].link;
    assert_eq!(link.uses_of(CLAIMS), LinkUse::default());
    assert_eq!(link.uses_of(CLAIM_TIMES).writes, 0);
    Keyed::default().send(&cluster, 0).await;
    let stored = || async { (link.uses_of(CLAIMS).writes == 2).then_some(()) };
    eventually("one write for the claim, one for the answer", stored).await;
    assert_eq!(link.uses_of(CLAIMS).reads, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dialect_that_names_no_keys_has_no_claims() {
    let mut names = native_cluster().names();
    names.idempotency_key = None;
    names.configuration_version = None;
    let dialect = NativeDialect::default().with_headers(names);
    let mut cluster = Cluster::new(Arc::new(NativeWire), Arc::new(dialect));
    cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    for id in ["r1", "r2"] {
        let answer = again(id).send(&cluster, node).await;
        assert_eq!(answer.text(), format!("answer to {id}"));
        let mut headers = answer.headers.keys().map(HeaderName::as_str);
        assert!(!headers.any(|name| name.contains("configuration")));
    }
    // Longer than the pause between two sweeps of a small fleet.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    let link = &cluster.nodes[node].link;
    assert_eq!(link.uses_of(CLAIMS), LinkUse::default());
    assert_eq!(link.uses_of(CLAIM_TIMES), LinkUse::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_goes_to_no_back_end_and_into_no_row() {
    let cluster = usual_cluster(PACE).await;
    for path in [PATH, "/live/x"] {
        let keyed = Keyed {
            path: path.to_owned(),
            ..Keyed::default()
        };
        assert_eq!(keyed.send(&cluster, 0).await.status, 200);
    }
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    for run in runs {
        assert!(!run.header_names.contains("idempotency-key"));
    }
    let rows = cluster.table.rows(CLAIMS);
    assert_eq!(rows.len(), 1);
    for row in rows.into_iter().chain(cluster.table.rows(CLAIM_TIMES)) {
        let written = format!("{:?} {:?}", row.address, row.value);
        assert!(!written.contains(KEY), "{written}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_that_are_none_are_refused() {
    let cluster = usual_cluster(PACE).await;
    let too_long: &'static str = "k".repeat(201).leak();
    for key in ["", "two words", too_long] {
        let keyed = Keyed {
            key,
            ..Keyed::default()
        };
        let answer = keyed.send(&cluster, 0).await;
        assert_eq!(answer.status, 400, "{key:?}");
        assert_not_run(&answer, INVALID_KEY);
        assert!(key.is_empty() || !answer.text().contains(key));
    }
    assert_eq!(runs_at(&cluster, PATH), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_are_deleted_after_their_time_and_not_before() {
    let cluster = usual_cluster(PACE).await;
    assert_eq!(Keyed::default().send(&cluster, 0).await.status, 200);
    cluster.table.advance_clock(Duration::from_secs(86_000));
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(answered(&cluster, 1, "r2").await.text(), "answer to r1");
    cluster.table.advance_clock(Duration::from_secs(500));
    eventually("the claim is deleted", || async {
        let left = cluster.table.rows(CLAIMS).len() + cluster.table.rows(CLAIM_TIMES).len();
        (left == 0).then_some(())
    })
    .await;
    assert_eq!(answered(&cluster, 1, "r3").await.text(), "answer to r3");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_id_gets_one_from_the_node() {
    let cluster = usual_cluster(PACE).await;
    let names = cluster.names();
    let mut ids = Vec::new();
    for (path, body) in [
        ("/live/x", "question"),
        ("/once/x", "question"),
        ("/events/x", "events=2"),
    ] {
        let call = Call::new(Method::POST, HOST, path).body(body);
        let answer = call.send(cluster.nodes[0].callers).await;
        let answer = answer.expect("an answer");
        let id = answer.header(&names.request_id).expect("an id").to_owned();
        let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
        let ran: Vec<String> = runs.map(|run| run.id).collect();
        assert!(!id.is_empty());
        assert!(ran.contains(&id), "{path}: {id} is not among {ran:?}");
        ids.push(id);
    }
    ids.dedup();
    assert_eq!(ids.len(), 3, "{ids:?}");
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Crossed, None);
    }
    let call = Call::new(Method::POST, HOST, "/once/crossed").body("question");
    let crossed = call.send(cluster.nodes[0].callers).await;
    assert_ne!(crossed.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_is_named_by_its_trainer_alone() {
    let cluster = usual_cluster(PACE).await;
    let call = Call::new(Method::POST, HOST, "/rollout/x").body("{}");
    let answer = call.send(cluster.nodes[0].callers).await;
    assert_code(&answer.expect("an answer"), 1003);
    assert!(cluster.table.rows("sloetrail_batches").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn each_answer_names_the_version_of_the_configuration_that_answered() {
    let mut cluster = usual_cluster(PACE).await;
    let names = cluster.names();
    let name = names.configuration_version.expect("a name");
    let version_of = |answer: &Answer| -> Option<u64> { answer.header(&name)?.parse().ok() };
    let first = live(&cluster, 0, "/live/x", "r1").await.expect("an answer");
    let version = version_of(&first).expect("a version");
    let refused = live(&cluster, 0, "/nowhere/x", "r2").await.expect("404");
    assert_eq!(
        (refused.status.as_u16(), version_of(&refused)),
        (404, Some(version))
    );
    let unknown = cluster.read_answer(0, "unknown", 0).await.expect("404");
    assert_eq!(version_of(&unknown), Some(version));
    cluster.configure(usual_routes());
    eventually("the next one is in force", || async {
        let answer = live(&cluster, 0, "/live/x", "r3").await?;
        (version_of(&answer)? > version).then_some(())
    })
    .await;
}

#[test]
fn claims_are_kept_for_a_minute_at_least() {
    let settings = |kept_s: u64| {
        let json = json!({
            "node": "node-1", "zone": "zone-a", "claims_kept_s": kept_s,
            "callers_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
        });
        ServingSettings::parse(json.to_string().as_bytes(), 1)
    };
    assert!(settings(59).is_err());
    let kept = settings(60).expect("sound").bounds.claims_kept;
    assert_eq!(kept, Duration::from_secs(60));
}
