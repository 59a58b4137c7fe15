//! Requests with idempotency keys.

use crate::client::{Answer, Call};
use crate::cluster::{Cluster, HOST, eventually};
use http::{HeaderName, Method};
use std::time::Duration;

/// What a back end takes for an event.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// The table of claims.
pub const CLAIMS: &str = "sloetrail_claims";
/// The table that tells when claims are over.
pub const CLAIM_TIMES: &str = "sloetrail_claim_times";
/// The usual key.
pub const KEY: &str = "a-reading-of-one-household";
/// The usual path.
pub const PATH: &str = "/once/reading";

/// The code of a key that is none.
pub const INVALID_KEY: u64 = 1006;
/// The code of a key that was sent with another request.
pub const KEY_REUSED: u64 = 1011;
/// The code of a claim that the table does not settle.
pub const TABLE_UNAVAILABLE: u64 = 1107;
/// The code of a request whose outcome is not known.
pub const KEY_IN_PROGRESS: u64 = 1201;

/// A request with a key; its id is its own.
pub struct IdempotentRequest {
    /// Its id.
    pub id: &'static str,
    /// Its key.
    pub key: &'static str,
    /// Where it goes.
    pub path: String,
    /// What it asks.
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
    /// The call itself.
    pub fn call(&self, cluster: &Cluster) -> Call {
        let names = cluster.names();
        let name = HeaderName::from_static("idempotency-key");
        let call = Call::new(Method::POST, HOST, &self.path)
            .header(&names.request_id, self.id)
            .header(&name, self.key)
            .body(self.body);
        cluster.with_api_key(call)
    }

    /// Sends it to a node and returns its answer.
    pub async fn send(&self, cluster: &Cluster, node: usize) -> Answer {
        let call = self.call(cluster);
        let answer = call.send(cluster.nodes[node].callers).await;
        answer.expect("an answer")
    }
}

/// The usual request under another id.
pub fn request_with_id(id: &'static str) -> IdempotentRequest {
    IdempotentRequest {
        id,
        ..IdempotentRequest::default()
    }
}

/// How often a path ran.
pub fn runs_at(cluster: &Cluster, path: &str) -> usize {
    let runs = cluster.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.path == path).count()
}

/// The answer is a refusal with this code.
pub fn assert_code(answer: &Answer, code: u64) {
    assert_eq!(answer.json()["code"], code, "{}", answer.text());
}

/// The same, and it says that the request did not run.
pub fn assert_not_run(answer: &Answer, code: u64) {
    assert_code(answer, code);
    assert_eq!(answer.json()["kind"], "not_run");
}

/// Sends the usual request until it gets its answer.
pub async fn send_until_answered(cluster: &Cluster, node: usize, id: &'static str) -> Answer {
    eventually("the request is answered", || async {
        let answer = request_with_id(id).send(cluster, node).await;
        (answer.status == 200).then_some(answer)
    })
    .await
}

/// Waits until a key is claimed.
pub async fn wait_for_claim(cluster: &Cluster) {
    eventually("the claim is written", || async {
        (!cluster.table.rows(CLAIMS).is_empty()).then_some(())
    })
    .await;
}

/// Waits until the usual request runs.
pub async fn wait_until_running(cluster: &Cluster) {
    eventually("the request runs", || async {
        (runs_at(cluster, PATH) > 0).then_some(())
    })
    .await;
}
