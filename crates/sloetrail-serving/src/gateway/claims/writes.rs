//! Writes of claims, retried until the table confirms or rejects them.
//!
//! Each transaction is conditional on the version of the row that it replaces, and each row
//! names the call that wrote it. A transaction that takes effect after its answer timed out is
//! therefore recognized by the next attempt, or changes nothing. A released claim is not
//! deleted: an earlier transaction still in flight would find the row absent and insert it
//! again.

use super::Claims;
use super::claim::Claim;
use super::record::{ClaimDecision, ClaimRecord, ClaimState};
use crate::events::{self, Event};
use crate::rows;
use crate::table::{Commit, CommitError, Row, RowAddress, Transaction};
use sloetrail_clock::BootInstant;
use sloetrail_types::{RowVersion, Timestamp};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Delay between attempts to write a claim.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Delay between attempts to write an outcome. No caller waits for this write.
const OUTCOME_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for writing an outcome. Covers the longest expected outage of the table.
const OUTCOME_WRITE_TIMEOUT: Duration = Duration::from_secs(120);

/// Version and expiry of the row that a write replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BaseVersion {
    pub(super) version: RowVersion,
    pub(super) delete_at: Timestamp,
}

/// Result of an attempt to claim a key.
pub(super) enum ClaimSettlement {
    /// The key is claimed for this call.
    Acquired(Arc<Claim>),
    /// The key was claimed before.
    Existing(ClaimDecision),
}

/// Claims a key, with retries.
pub(super) struct ClaimWrite {
    claims: Arc<Claims>,
    request: String,
    address: RowAddress,
    record: ClaimRecord,
    base: Option<BaseVersion>,
    /// True if a transaction got no answer and may still take effect.
    is_outcome_unknown: bool,
    _pending: PendingWriteGuard,
}

/// Writes the outcome of a claim, with retries.
pub(super) struct OutcomeWrite {
    claims: Arc<Claims>,
    request: String,
    address: RowAddress,
    record: ClaimRecord,
    base: Option<BaseVersion>,
    _pending: PendingWriteGuard,
}

/// Counts a write as pending until dropped, also before its task first runs. A stopping node waits
/// for pending writes.
struct PendingWriteGuard(Arc<Claims>);

impl PendingWriteGuard {
    fn new(claims: &Arc<Claims>) -> Self {
        claims.pending_writes.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(claims))
    }
}

impl Drop for PendingWriteGuard {
    fn drop(&mut self) {
        self.0.pending_writes.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ClaimWrite {
    /// Prepares a claim of the key whose row is at `address`.
    pub(super) fn new(
        claims: Arc<Claims>,
        request: String,
        address: RowAddress,
        record: ClaimRecord,
    ) -> Self {
        Self {
            _pending: PendingWriteGuard::new(&claims),
            claims,
            request,
            address,
            record,
            base: None,
            is_outcome_unknown: false,
        }
    }

    /// Claims the key and sends the settlement to `answer`. Releases the key if the receiver is
    /// gone, or if a write got no answer and may still take effect.
    pub(super) async fn run(
        mut self,
        claim_deadline: BootInstant,
        answer: oneshot::Sender<ClaimSettlement>,
    ) {
        if let Some(settlement) = self.settle(claim_deadline, &answer).await {
            // If the receiver is gone, the settlement is dropped, which releases the claim.
            let _ = answer.send(settlement);
            return;
        }
        drop(answer);
        if self.is_outcome_unknown {
            self.into_release().run().await;
        }
    }

    /// Retries until the claim is settled. None if the deadline passes, the caller is gone or the
    /// table becomes unavailable.
    async fn settle(
        &mut self,
        claim_deadline: BootInstant,
        answer: &oneshot::Sender<ClaimSettlement>,
    ) -> Option<ClaimSettlement> {
        loop {
            match self.commit().await {
                Ok(Commit::Done(version)) => return Some(self.acquired(version)),
                Ok(Commit::Conflict(existing)) => match self.decide(&existing) {
                    Some(settlement) => return Some(settlement),
                    // The row is released or absent: retry against its present version.
                    None => continue,
                },
                Err(CommitError::Unknown) => self.is_outcome_unknown = true,
                Err(CommitError::NotDone) => {}
            }
            let is_late = BootInstant::now() + CLAIM_RETRY_INTERVAL >= claim_deadline;
            if is_late || answer.is_closed() || !self.claims.is_table_available() {
                return None;
            }
            tokio::time::sleep(CLAIM_RETRY_INTERVAL).await;
        }
    }

    async fn commit(&self) -> Result<Commit, CommitError> {
        let transaction = transaction(&self.address, &self.record, self.base);
        self.claims.table.commit(&transaction).await
    }

    /// Settles the claim by the existing row. None if the key is available; `base` is then the
    /// version to replace.
    fn decide(&mut self, existing: &[Row]) -> Option<ClaimSettlement> {
        let Some(row) = existing.iter().find(|row| row.address == self.address) else {
            self.base = None;
            return None;
        };
        let Some(record) = ClaimRecord::decode(&row.value) else {
            return Some(ClaimSettlement::Existing(ClaimDecision::OutcomeUnknown));
        };
        let now_ms = self.claims.table.now_ms();
        let now = now_ms.map_or(record.due_at, Timestamp);
        match record.decide(&self.record, now) {
            ClaimDecision::OwnClaim => Some(self.acquired(row.version)),
            ClaimDecision::Available => {
                self.base = Some(BaseVersion {
                    version: row.version,
                    delete_at: record.delete_at,
                });
                None
            }
            decision => Some(ClaimSettlement::Existing(decision)),
        }
    }

    fn acquired(&self, version: RowVersion) -> ClaimSettlement {
        let base = BaseVersion {
            version,
            delete_at: self.record.delete_at,
        };
        ClaimSettlement::Acquired(Arc::new(Claim::new(
            Arc::clone(&self.claims),
            self.request.clone(),
            self.address.clone(),
            self.record.clone(),
            base,
        )))
    }

    /// Prepares a write of the state `Released`, replacing either the row that the claim would have
    /// replaced or the claim itself.
    fn into_release(self) -> OutcomeWrite {
        let record = self.record.in_state(ClaimState::Released);
        OutcomeWrite::new(self.claims, self.request, self.address, record, self.base)
    }
}

impl OutcomeWrite {
    /// Prepares a write of `record` that replaces the row at version `base`. Without `base` the row
    /// must be absent.
    pub(super) fn new(
        claims: Arc<Claims>,
        request: String,
        address: RowAddress,
        record: ClaimRecord,
        base: Option<BaseVersion>,
    ) -> Self {
        Self {
            _pending: PendingWriteGuard::new(&claims),
            claims,
            request,
            address,
            record,
            base,
        }
    }

    /// Size of the row in bytes.
    pub(super) fn row_bytes(&self) -> usize {
        self.record.encode().len()
    }

    /// Retries until the table confirms or rejects the write, up to [`OUTCOME_WRITE_TIMEOUT`].
    pub(super) async fn run(mut self) {
        let write_deadline = BootInstant::now() + OUTCOME_WRITE_TIMEOUT;
        loop {
            let transaction = transaction(&self.address, &self.record, self.base);
            match self.claims.table.commit(&transaction).await {
                Ok(Commit::Done(_)) => return,
                Ok(Commit::Conflict(existing)) => match self.find_running_claim(&existing) {
                    Some(base) => self.base = Some(base),
                    // Already written, or the row no longer belongs to this call.
                    None => return,
                },
                Err(_) if BootInstant::now() >= write_deadline => return self.log_unsettled(),
                Err(_) => tokio::time::sleep(OUTCOME_RETRY_INTERVAL).await,
            }
        }
    }

    /// Returns the version of this call's claim if it is still in state `Running`.
    fn find_running_claim(&self, existing: &[Row]) -> Option<BaseVersion> {
        let row = existing.iter().find(|row| row.address == self.address)?;
        let record = ClaimRecord::decode(&row.value)?;
        let is_own = record.is_same_call(&self.record);
        let is_running = record.state == ClaimState::Running;
        (is_own && is_running).then_some(BaseVersion {
            version: row.version,
            delete_at: record.delete_at,
        })
    }

    fn log_unsettled(&self) {
        let state = match self.record.state {
            ClaimState::Answered(_) => "answered",
            ClaimState::Released | ClaimState::Running => "released",
        };
        events::emit(&Event::ClaimLeft {
            request: &self.request,
            state,
            cause: "the table did not confirm the write in time",
        });
    }
}

/// Builds the transaction that writes a claim and its expiry row, replacing the row at version
/// `base`. Without `base` the row must be absent.
fn transaction(
    address: &RowAddress,
    record: &ClaimRecord,
    base: Option<BaseVersion>,
) -> Transaction {
    let version = base.map(|base| base.version);
    let time = rows::claim_expiry(address, record.delete_at);
    let transaction = Transaction::new()
        .require(address.clone(), version)
        .put(address.clone(), record.encode())
        .put(time, Vec::new());
    match base {
        Some(base) if base.delete_at != record.delete_at => {
            transaction.delete(rows::claim_expiry(address, base.delete_at))
        }
        _ => transaction,
    }
}
