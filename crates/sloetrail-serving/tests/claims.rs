//! Requests with an idempotency key run at most once; answers to their repeats.

mod support;

use http::{HeaderName, Method};
use serde_json::json;
use sloetrail_serving::native_dialect::NativeDialect;
use sloetrail_serving::settings::ServingSettings;
use sloetrail_serving_testkit::client::{Answer, Call};
use sloetrail_serving_testkit::cluster::{Cluster, HOST, eventually, usual_routes};
use sloetrail_serving_testkit::engine::EngineFault;
use sloetrail_serving_testkit::keyed::{
    CLAIM_TIMES, CLAIMS, EVENT_INTERVAL, INVALID_KEY, IdempotentRequest, KEY, KEY_IN_PROGRESS,
    KEY_REUSED, PATH, assert_code, assert_not_run, request_with_id, runs_at, send_until_answered,
};
use sloetrail_serving_testkit::table::LinkUse;
use sloetrail_serving_testkit::wire::NativeWire;
use std::sync::Arc;
use std::time::Duration;
use support::{live, native_cluster, usual_cluster};

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_key_run_once() {
    const KEYS: usize = 12;
    const CALLERS: usize = 4;
    let cluster = usual_cluster(EVENT_INTERVAL).await;
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
        let mut answers = Vec::new();
        for sent in sending.collect::<Vec<_>>() {
            let answer = sent.await.expect("no panic").expect("an answer");
            match answer.status.as_u16() {
                200 => answers.push(answer.text()),
                _ => assert_code(&answer, KEY_IN_PROGRESS),
            }
        }
        answers.dedup();
        assert_eq!(answers.len(), 1, "{path}: {answers:?}");
        assert_eq!(runs_at(&cluster, &path), 1, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_at_another_node_gets_the_stored_answer() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    let names = cluster.names();
    let first = IdempotentRequest::default().send(&cluster, 0).await;
    assert_eq!(first.status, 200);
    let repeated = send_until_answered(&cluster, 1, "r2").await;
    assert_eq!(repeated.body, first.body);
    assert_eq!(
        repeated.header(&names.signature),
        first.header(&names.signature)
    );
    assert_eq!(repeated.header(&names.request_id), Some("r2"));
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_get_the_stored_failure_of_the_back_end() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::Fails, Some(1));
    }
    let first = IdempotentRequest::default().send(&cluster, 0).await;
    assert_eq!(first.status, 500);
    let stored = || async {
        let repeated = request_with_id("r2").send(&cluster, 1).await;
        (repeated.status == 500).then_some(repeated)
    };
    let repeated = eventually("the failure is stored", stored).await;
    assert_eq!(repeated.body, first.body);
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_different_request_with_the_key_is_refused() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    assert_eq!(
        IdempotentRequest::default().send(&cluster, 0).await.status,
        200
    );
    let others = [
        IdempotentRequest {
            body: "another question",
            ..IdempotentRequest::default()
        },
        IdempotentRequest {
            path: "/once/other".to_owned(),
            ..IdempotentRequest::default()
        },
        IdempotentRequest {
            path: format!("{PATH}?y=1"),
            ..IdempotentRequest::default()
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
async fn equal_keys_of_different_tenants_are_independent() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
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
        answers.push(send_until_answered(&cluster, 0, id).await.text());
    }
    assert_eq!(answers, ["answer to rn", "answer to rs"]);
    assert_eq!(runs_at(&cluster, PATH), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_too_large_to_store_prevents_reruns() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    // The back end's answer contains the id; a row of the table holds 4,096 bytes.
    let id: &'static str = "x".repeat(5_000).leak();
    assert_eq!(request_with_id(id).send(&cluster, 0).await.status, 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_code(
        &request_with_id("r2").send(&cluster, 1).await,
        KEY_IN_PROGRESS,
    );
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_is_answered_after_its_route_was_renamed() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    let first = request_with_id("r1").send(&cluster, 0).await;
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
    let repeat = request_with_id("r2").send(&cluster, 1).await;
    assert_eq!(repeat.status, 200, "{}", repeat.text());
    assert_eq!(repeat.text(), first.text());
    assert_eq!(runs_at(&cluster, PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_resumable_stream_starts_once() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
    let mut routes = usual_routes();
    routes[2]["resumable"] = json!(false);
    cluster.configure(routes);
    let series = |id| IdempotentRequest {
        id,
        path: "/events/x".to_owned(),
        body: "events=3",
        ..IdempotentRequest::default()
    };
    let first = eventually("the route is in force", || async {
        let answer = series("r1").send(&cluster, 0).await;
        (!cluster.table.rows(CLAIMS).is_empty()).then_some(answer)
    })
    .await;
    assert_eq!(first.status, 200);
    let runs = runs_at(&cluster, "/events/x");
    assert_code(&series("r2").send(&cluster, 1).await, KEY_IN_PROGRESS);
    assert_eq!(runs_at(&cluster, "/events/x"), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn unkeyed_and_repeatable_requests_make_no_table_calls() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    let repeatable = |path: &str, body| IdempotentRequest {
        path: path.to_owned(),
        body,
        ..IdempotentRequest::default()
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
    IdempotentRequest::default().send(&cluster, 0).await;
    let stored = || async { (link.uses_of(CLAIMS).writes == 2).then_some(()) };
    eventually("one write for the claim, one for the answer", stored).await;
    assert_eq!(link.uses_of(CLAIMS).reads, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dialect_without_key_header_writes_no_claims() {
    let mut names = native_cluster().names();
    names.idempotency_key = None;
    names.configuration_version = None;
    let dialect = NativeDialect::default().with_headers(names);
    let mut cluster = Cluster::new(Arc::new(NativeWire), Arc::new(dialect));
    cluster.add_application("zone-a").await;
    let node = cluster.add_node("node-1").await;
    cluster.wait_ready(node).await;
    for id in ["r1", "r2"] {
        let answer = request_with_id(id).send(&cluster, node).await;
        assert_eq!(answer.text(), format!("answer to {id}"));
        let mut headers = answer.headers.keys().map(HeaderName::as_str);
        assert!(!headers.any(|name| name.contains("configuration")));
    }
    // Longer than the sweep interval of a small fleet.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    let link = &cluster.nodes[node].link;
    assert_eq!(link.uses_of(CLAIMS), LinkUse::default());
    assert_eq!(link.uses_of(CLAIM_TIMES), LinkUse::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reaches_neither_back_ends_nor_rows() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    for path in [PATH, "/live/x"] {
        let keyed = IdempotentRequest {
            path: path.to_owned(),
            ..IdempotentRequest::default()
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
async fn invalid_keys_are_refused() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    let too_long: &'static str = "k".repeat(201).leak();
    for key in ["", "two words", too_long] {
        let keyed = IdempotentRequest {
            key,
            ..IdempotentRequest::default()
        };
        let answer = keyed.send(&cluster, 0).await;
        assert_eq!(answer.status, 400, "{key:?}");
        assert_not_run(&answer, INVALID_KEY);
        assert!(key.is_empty() || !answer.text().contains(key));
    }
    assert_eq!(runs_at(&cluster, PATH), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_are_deleted_only_after_their_retention() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    assert_eq!(
        IdempotentRequest::default().send(&cluster, 0).await.status,
        200
    );
    cluster.table.advance_clock(Duration::from_secs(86_000));
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(
        send_until_answered(&cluster, 1, "r2").await.text(),
        "answer to r1"
    );
    cluster.table.advance_clock(Duration::from_secs(500));
    eventually("the claim is deleted", || async {
        let remaining = cluster.table.rows(CLAIMS).len() + cluster.table.rows(CLAIM_TIMES).len();
        (remaining == 0).then_some(())
    })
    .await;
    assert_eq!(
        send_until_answered(&cluster, 1, "r3").await.text(),
        "answer to r3"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_id_gets_a_generated_id() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
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
        let run_ids: Vec<String> = runs.map(|run| run.id).collect();
        assert!(!id.is_empty());
        assert!(
            run_ids.contains(&id),
            "{path}: {id} is not among {run_ids:?}"
        );
        ids.push(id);
    }
    ids.dedup();
    assert_eq!(ids.len(), 3, "{ids:?}");
    for engine in &cluster.engines {
        engine.set_fault(EngineFault::WrongRequestId, None);
    }
    let call = Call::new(Method::POST, HOST, "/once/crossed").body("question");
    let crossed = call.send(cluster.nodes[0].callers).await;
    assert_ne!(crossed.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_without_an_id_is_refused() {
    let cluster = usual_cluster(EVENT_INTERVAL).await;
    let call = Call::new(Method::POST, HOST, "/rollout/x").body("{}");
    let answer = call.send(cluster.nodes[0].callers).await;
    assert_code(&answer.expect("an answer"), 1003);
    assert!(cluster.table.rows("sloetrail_batches").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn each_answer_carries_its_configuration_version() {
    let mut cluster = usual_cluster(EVENT_INTERVAL).await;
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
    eventually("the next version is in force", || async {
        let answer = live(&cluster, 0, "/live/x", "r3").await?;
        (version_of(&answer)? > version).then_some(())
    })
    .await;
}

#[test]
fn claim_retention_below_one_minute_is_refused() {
    let settings = |retention_s: u64| {
        let json = json!({
            "node": "node-1", "zone": "zone-a", "claims_kept_s": retention_s,
            "callers_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
        });
        ServingSettings::parse(json.to_string().as_bytes(), 1)
    };
    assert!(settings(59).is_err());
    let retention = settings(60).expect("valid settings").bounds.claim_retention;
    assert_eq!(retention, Duration::from_secs(60));
}
