//! Requests with idempotency keys.

use crate::client::{Answer, Call};
use crate::cluster::{Cluster, HOST, eventually};
use http::{HeaderName, Method};
use std::time::Duration;

/// The time that a back end takes for an event.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(5);
pub const CLAIMS: &str = "sloetrail_claims";
/// The table that holds the expiry times of claims.
pub const CLAIM_TIMES: &str = "sloetrail_claim_times";
/// The default key.
pub const KEY: &str = "a-reading-of-one-household";
/// The default path.
pub const PATH: &str = "/once/reading";

/// The code for a malformed key.
pub const INVALID_KEY: u64 = 1006;
/// The code for a key that was used with a different request.
pub const KEY_REUSED: u64 = 1011;
/// The code for a claim whose outcome the table did not confirm.
pub const TABLE_UNAVAILABLE: u64 = 1107;
/// The code for a key whose request is running or has an unknown outcome.
pub const KEY_IN_PROGRESS: u64 = 1201;

/// A request with an idempotency key. Repeats share the key and differ in the id.
pub struct IdempotentRequest {
    pub id: &'static str,
    pub key: &'static str,
    pub path: String,
    pub body: &'static str,
}

impl Default for IdempotentRequest {
    fn default() -> Self {
        Self {
            id: "r1",
            key: KEY,
            path: PATH.to_owned(),
            body: "question",
        }
    }
}

impl IdempotentRequest {
    pub fn call(&self, cluster: &Cluster) -> Call {
        let names = cluster.names();
        let name = HeaderName::from_static("idempotency-key");
        let call = Call::new(Method::POST, HOST, &self.path)
            .header(&names.request_id, self.id)
            .header(&name, self.key)
            .body(self.body);
        cluster.with_api_key(call)
    }

    /// Sends the request to a node and returns the response.
    pub async fn send(&self, cluster: &Cluster, node: usize) -> Answer {
        let call = self.call(cluster);
        let answer = call.send(cluster.nodes[node].callers).await;
        answer.expect("response to the keyed request")
    }
}

/// The default request with this id.
pub fn request_with_id(id: &'static str) -> IdempotentRequest {
    IdempotentRequest {
        id,
        ..IdempotentRequest::default()
    }
}

/// Runs with this path on all back ends.
pub fn runs_at(cluster: &Cluster, path: &str) -> usize {
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.path == path).count()
}

/// Asserts that the answer has this code.
pub fn assert_code(answer: &Answer, code: u64) {
    assert_eq!(answer.json()["code"], code, "{}", answer.text());
}

/// Asserts that the answer has this code and states that the request was not run.
pub fn assert_not_run(answer: &Answer, code: u64) {
    assert_code(answer, code);
    assert_eq!(answer.json()["kind"], "not_run");
}

/// Sends the default request until it is answered with status 200.
pub async fn send_until_answered(cluster: &Cluster, node: usize, id: &'static str) -> Answer {
    eventually("the request is answered", || async {
        let answer = request_with_id(id).send(cluster, node).await;
        (answer.status == 200).then_some(answer)
    })
    .await
}

/// Waits until the table holds a claim.
pub async fn wait_for_claim(cluster: &Cluster) {
    eventually("the claim is written", || async {
        (!cluster.table.rows(CLAIMS).is_empty()).then_some(())
    })
    .await;
}

/// Waits until the default request runs.
pub async fn wait_until_running(cluster: &Cluster) {
    eventually("the request runs", || async {
        (runs_at(cluster, PATH) > 0).then_some(())
    })
    .await;
}
