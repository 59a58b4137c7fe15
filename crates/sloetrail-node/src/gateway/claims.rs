//! Claims of idempotency keys, so that a keyed request runs at most once.
//!
//! A claim is a row of the table, written under the condition that it is absent
//! before any engine sees the request. It is released only by its own claimant,
//! and only once the request was certainly not run.

use super::message::Answer;
use crate::state::NodeState;
use crate::sync::rows::{to_value, value_of};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use sloetrail_clients::{Row, Settled, Transaction};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{RowVersion, ServiceName, digest};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const CLEANUP_TIMEOUT: Duration = Duration::from_secs(120);
const STORED_BODY_LIMIT_BYTES: usize = 65_536;

#[derive(Debug, Serialize, Deserialize)]
struct ClaimRecord {
    /// Digest of the request, so that a key is not reused for another one.
    request_digest: u64,
    /// The answer, once there is one.
    answer: Option<StoredAnswer>,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredAnswer {
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

/// A claim that this node holds.
pub(crate) struct Claim {
    key: String,
    version: RowVersion,
    request_digest: u64,
}

/// What became of trying to claim a key.
pub(crate) enum ClaimOutcome {
    /// This request runs.
    Claimed(Claim),
    /// It ran before; this is its answer.
    Answered(Answer),
}

/// Settles a claim before the deadline, or refuses the request.
pub(crate) async fn claim(
    state: &Arc<NodeState>,
    service: &ServiceName,
    key: &str,
    request_digest: u64,
    deadline: Instant,
) -> Result<ClaimOutcome, Problem> {
    let row_key = format!("claim/{service}/{:016x}/{key}", digest(key.as_bytes()));
    let record = ClaimRecord {
        request_digest,
        answer: None,
    };
    let transaction = Transaction::of_one_row(
        state.new_transaction_id(),
        &row_key,
        None,
        to_value(&record),
    );
    let table = &state.clients.table;
    match table.commit_settled(&transaction, &row_key, deadline).await {
        Settled::Committed(version) => Ok(ClaimOutcome::Claimed(Claim {
            key: row_key,
            version,
            request_digest,
        })),
        Settled::Conflict => earlier_answer(state, &row_key, request_digest).await,
        Settled::NotExecuted => Err(table_unavailable()),
        Settled::Unknown => {
            release_when_settled(Arc::clone(state), transaction, row_key);
            Err(table_unavailable())
        }
    }
}

/// Releases a claim whose request was certainly not run.
pub(crate) fn release(state: &Arc<NodeState>, claim: Claim) {
    let state = Arc::clone(state);
    tokio::spawn(async move { delete_row(&state, claim.key, claim.version).await });
}

/// Keeps the answer with the claim, so that a repetition gets it.
pub(crate) fn store_answer(state: &Arc<NodeState>, claim: Claim, answer: &Answer) {
    if answer.body.len() > STORED_BODY_LIMIT_BYTES {
        return;
    }
    let content_type = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let record = ClaimRecord {
        request_digest: claim.request_digest,
        answer: Some(StoredAnswer {
            status: answer.status.as_u16(),
            content_type: content_type.to_owned(),
            body: answer.body.to_vec(),
        }),
    };
    let transaction = Transaction::of_one_row(
        state.new_transaction_id(),
        &claim.key,
        Some(claim.version),
        to_value(&record),
    );
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let deadline = Instant::now() + CLEANUP_TIMEOUT;
        let table = &state.clients.table;
        table
            .commit_settled(&transaction, &claim.key, deadline)
            .await
    });
}

async fn earlier_answer(
    state: &NodeState,
    row_key: &str,
    request_digest: u64,
) -> Result<ClaimOutcome, Problem> {
    let row = state.clients.table.read(row_key).await;
    let row: Row = match row {
        Ok(Some(row)) => row,
        // Released in between, or unreadable now: the key may be tried again.
        Ok(None) | Err(_) => return Err(table_unavailable()),
    };
    let record: ClaimRecord = value_of(&row).map_err(|_| table_unavailable())?;
    if record.request_digest != request_digest {
        let detail = "the key was used for a different request";
        return Err(Problem::new(ResultCode::InvalidKey, detail));
    }
    match record.answer {
        Some(stored) => Ok(ClaimOutcome::Answered(restore(stored))),
        None => Err(Problem::new(
            ResultCode::KeyInProgress,
            "the key is claimed and its answer is not stored",
        )),
    }
}

fn restore(stored: StoredAnswer) -> Answer {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&stored.content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    Answer {
        status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::from(stored.body),
    }
}

/// A claim that may still land must not stay: no engine will see its request.
fn release_when_settled(state: Arc<NodeState>, transaction: Transaction, key: String) {
    tokio::spawn(async move {
        let deadline = Instant::now() + CLEANUP_TIMEOUT;
        let table = &state.clients.table;
        let settled = table.commit_settled(&transaction, &key, deadline).await;
        if let Settled::Committed(version) = settled {
            delete_row(&state, key, version).await;
        }
    });
}

async fn delete_row(state: &NodeState, key: String, version: RowVersion) {
    let transaction =
        Transaction::of_one_row(state.new_transaction_id(), &key, Some(version), None);
    let deadline = Instant::now() + CLEANUP_TIMEOUT;
    // A conflict after a lost answer means that the row is gone.
    let table = &state.clients.table;
    table.commit_settled(&transaction, &key, deadline).await;
}

fn table_unavailable() -> Problem {
    Problem::new(
        ResultCode::TableUnavailable,
        "the key could not be claimed; the request was not run",
    )
}
