//! Pending writes of a claim when it ends, before any of its writes has run.

use super::super::Claims;
use super::super::record::{ClaimRecord, ClaimState, RequestIdentity};
use super::super::writes::BaseVersion;
use super::Claim;
use crate::http::CompleteAnswer;
use crate::rows;
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use sloetrail_types::{NodeId, RowVersion, Timestamp};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::time::Duration;

/// A table that never answers.
struct UnresponsiveTable;

#[async_trait]
impl Table for UnresponsiveTable {
    fn limits(&self) -> TableLimits {
        TableLimits {
            row_bytes: 4_096,
            transaction_entries: 8,
            transaction_bytes: 4_096,
        }
    }

    fn now_ms(&self) -> Option<u64> {
        Some(0)
    }

    async fn commit(&self, _: &Transaction) -> Result<Commit, CommitError> {
        std::future::pending().await
    }

    async fn scan(&self, _: &KeyRange) -> Result<Page, ReadError> {
        std::future::pending().await
    }

    async fn changes(&self, _: &str, _: RowVersion, _: Duration) -> Result<Changes, ReadError> {
        std::future::pending().await
    }
}

fn claims() -> Arc<Claims> {
    Arc::new(Claims {
        table: Arc::new(UnresponsiveTable),
        claimant: NodeId::from("node-1"),
        retention: Duration::from_secs(60),
        next_number: AtomicU64::new(1),
        pending_writes: AtomicUsize::new(0),
    })
}

fn claim(claims: &Arc<Claims>) -> Claim {
    let record = ClaimRecord {
        claimant: claims.claimant.clone(),
        number: 1,
        request: RequestIdentity {
            tenant: None,
            host: "a.example".to_owned(),
            digest: 1,
        },
        due_at: Timestamp(2_000),
        delete_at: Timestamp(62_000),
        state: ClaimState::Running,
    };
    let base = BaseVersion {
        version: RowVersion(1),
        delete_at: record.delete_at,
    };
    let claims = Arc::clone(claims);
    Claim::new(claims, "r1".to_owned(), rows::claim(1), record, base)
}

fn answer() -> CompleteAnswer {
    CompleteAnswer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

#[tokio::test]
async fn ending_a_claim_registers_its_write_at_once() {
    let claims = claims();
    let claim = claim(&claims);
    claim.record_send();
    claim.end(Ok(&answer()));
    assert_eq!(claims.pending_writes(), 1);
}

#[tokio::test]
async fn dropping_a_claim_registers_its_release_at_once() {
    let claims = claims();
    drop(claim(&claims));
    assert_eq!(claims.pending_writes(), 1);
}

#[tokio::test]
async fn an_oversized_answer_is_not_written() {
    let claims = claims();
    let too_large = CompleteAnswer {
        body: Bytes::from(vec![0; 5_000]),
        ..answer()
    };
    let claim = claim(&claims);
    claim.record_send();
    claim.end(Ok(&too_large));
    drop(claim);
    assert_eq!(claims.pending_writes(), 0);
}

#[tokio::test]
async fn a_key_is_released_if_no_attempt_has_run() {
    let claims = claims();
    let claim = claim(&claims);
    claim.record_send();
    claim.record_not_run();
    claim.record_send();
    claim.record_not_run();
    drop(claim);
    assert_eq!(claims.pending_writes(), 1);
}

#[tokio::test]
async fn a_key_stays_claimed_if_one_attempt_may_have_run() {
    let claims = claims();
    let claim = claim(&claims);
    claim.record_send();
    claim.record_not_run();
    claim.record_send();
    drop(claim);
    assert_eq!(claims.pending_writes(), 0);
}
