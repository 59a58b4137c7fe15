//! Bad input to a node: a numbered problem each, and nobody else is touched.

use http::{Method, Request, StatusCode};
use http_body_util::Full;
use sloetrail_clients::{HttpClient, RawResponse};
use sloetrail_config::Bounds;
use sloetrail_lab::fleet::{LocalFleet, Profile, ProfileName};
use sloetrail_lab::history_log::HistoryLog;
use sloetrail_result::{Problem, ResultCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(5);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// One node in each zone, ready, with small bounds.
struct Deployment {
    fleet: LocalFleet,
    http: HttpClient,
    node: SocketAddr,
}

impl Deployment {
    async fn start() -> Self {
        let profile = Profile::of(ProfileName::Maelir);
        let history = HistoryLog::in_memory();
        let mut fleet = LocalFleet::start(profile.clone(), history, 1)
            .await
            .expect("the fleet starts");
        let bounds = Bounds {
            body_limit_bytes: 4_096,
            request_read_timeout: Duration::from_millis(400),
            ..Bounds::default()
        };
        for zone in profile.zones.clone() {
            let added = fleet.add_node(zone, bounds.clone()).await;
            added.expect("the node starts");
        }
        let deployment = Self {
            node: fleet.nodes()[0].http_address(),
            http: HttpClient::new(),
            fleet,
        };
        let accepted = deployment.fleet.apply_profile().await;
        assert!(accepted, "the apply is accepted");
        deployment.until_served().await;
        deployment
    }

    async fn until_served(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.good_request().await {
            assert!(Instant::now() < deadline, "the node serves in time");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn good_request(&self) -> bool {
        let response = self
            .call(Method::GET, "/services/route-api/app/x", b"", &[])
            .await;
        response.status == StatusCode::OK
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        headers: &[(&str, &str)],
    ) -> RawResponse {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.node))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(bytes::Bytes::copy_from_slice(body)))
            .expect("sound");
        let fetched = self.http.fetch(request, TIMEOUT, 1_048_576).await;
        fetched.expect("the node answers")
    }

    async fn assert_problem(&self, response: RawResponse, code: ResultCode) {
        let problem: Problem = response.json().expect("a problem document");
        assert_eq!(problem.code, code.number(), "{}", problem.detail);
        assert_eq!(response.status.as_u16(), code.status());
        assert!(self.good_request().await, "the node goes on");
    }
}

#[tokio::test]
async fn each_bad_request_gets_its_own_code_and_the_node_goes_on() {
    let deployment = Deployment::start().await;
    let big = vec![b'x'; 5_000];
    let cases: Vec<(Method, &str, &[u8], ResultCode)> = vec![
        (
            Method::GET,
            "/services/no-such/app/x",
            b"",
            ResultCode::UnknownService,
        ),
        (Method::GET, "/nowhere", b"", ResultCode::UnknownPath),
        (
            Method::POST,
            "/services/route-api/app/x",
            &big,
            ResultCode::BodyTooLarge,
        ),
        (
            Method::POST,
            "/v1/runs/dials/samples",
            &big,
            ResultCode::BodyTooLarge,
        ),
        (
            Method::POST,
            "/v1/runs/dials/samples",
            b"{",
            ResultCode::MalformedRequest,
        ),
        (
            Method::POST,
            "/v1/runs/dials/samples",
            b"{\"step\": \"one\", \"samples\": []}",
            ResultCode::MalformedRequest,
        ),
        (
            Method::POST,
            "/v1/runs/none/samples",
            b"{\"step\": 1, \"samples\": []}",
            ResultCode::UnknownRun,
        ),
        (
            Method::GET,
            "/v1/runs/dials/samples",
            b"",
            ResultCode::MalformedRequest,
        ),
        (
            Method::POST,
            "/v1/services/none/weights",
            b"{\"version\": 2}",
            ResultCode::UnknownService,
        ),
        (
            Method::POST,
            "/v1/engines/none/drain",
            b"",
            ResultCode::NoEngine,
        ),
        (
            Method::POST,
            "/v1/configuration",
            b"[]",
            ResultCode::MalformedRequest,
        ),
        (
            Method::POST,
            "/internal/v1/peer",
            b"garbage",
            ResultCode::MalformedRequest,
        ),
    ];
    for (method, path, body, code) in cases {
        let response = deployment.call(method, path, body, &[]).await;
        deployment.assert_problem(response, code).await;
    }
    let keys = ["", "with space"];
    for key in keys {
        let response = deployment
            .call(
                Method::POST,
                "/services/route-api/app/x",
                b"",
                &[("idempotency-key", key)],
            )
            .await;
        deployment
            .assert_problem(response, ResultCode::InvalidKey)
            .await;
    }
    deployment.fleet.stop().await;
}

#[tokio::test]
async fn a_key_runs_once_and_belongs_to_one_request() {
    let deployment = Deployment::start().await;
    let key = [("idempotency-key", "reading-1"), ("x-lab-marker", "m")];
    let path = "/services/route-api/app/readings";
    let first = deployment.call(Method::POST, path, b"{}", &key).await;
    assert_eq!(first.status, StatusCode::OK);
    let deadline = Instant::now() + READY_TIMEOUT;
    let again = loop {
        let again = deployment.call(Method::POST, path, b"{}", &key).await;
        if again.status == StatusCode::OK {
            break again;
        }
        // The answer is stored a moment after it was given.
        let problem: Problem = again.json().expect("a problem document");
        assert_eq!(problem.code, ResultCode::KeyInProgress.number());
        assert!(Instant::now() < deadline, "the answer is stored in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert_eq!(again.body, first.body);
    let other = deployment
        .call(Method::POST, path, b"{\"a\":1}", &key)
        .await;
    deployment
        .assert_problem(other, ResultCode::InvalidKey)
        .await;
    let starts = deployment
        .fleet
        .history
        .events()
        .into_iter()
        .filter(|event| {
            matches!(
                &event.body,
                sloetrail_history::EventBody::RunStarted { key: Some(key), .. } if key == "reading-1"
            )
        })
        .count();
    assert_eq!(starts, 1);
    deployment.fleet.stop().await;
}

#[tokio::test]
async fn slow_senders_and_half_closed_connections_hold_nobody_up() {
    let deployment = Deployment::start().await;
    let head =
        "POST /services/route-api/app/x HTTP/1.1\r\nhost: node\r\ncontent-length: 100\r\n\r\n";
    let mut slow = TcpStream::connect(deployment.node).await.expect("accepted");
    slow.write_all(head.as_bytes()).await.expect("sent");
    slow.write_all(b"a few bytes").await.expect("sent");
    let mut half_closed = TcpStream::connect(deployment.node).await.expect("accepted");
    half_closed
        .write_all(b"GET /healthz HT")
        .await
        .expect("sent");
    half_closed.shutdown().await.expect("closed for writing");
    assert!(deployment.good_request().await);
    let mut answer = vec![0; 4_096];
    let read = tokio::time::timeout(TIMEOUT, slow.read(&mut answer)).await;
    let length = read.expect("the node answers in time").expect("readable");
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"code\":1005"), "{answer}");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(TIMEOUT, half_closed.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the node closes the half-closed connection");
    assert!(deployment.good_request().await);
    deployment.fleet.stop().await;
}
