//! How claims are written: until the table has judged, whatever answers are lost.
//!
//! Each transaction holds the version of the row that it replaces, and each row names the
//! sending that it is for. So a transaction that takes effect after its answer was given up
//! is met again, or changes nothing. A claim is not deleted when it is given back: an
//! earlier transaction that is still under way would find the row absent and write it anew.

use super::Claims;
use super::claim::Claim;
use super::record::{ClaimRecord, ClaimState, Verdict};
use crate::events::{self, Event};
use crate::rows;
use crate::table::{Commit, CommitError, Row, RowAddress, Transaction};
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Between two tries at a claim, as between two at a batch.
const CLAIM_PAUSE: Duration = Duration::from_millis(25);
/// Between two tries at what nobody waits for.
const ENDING_PAUSE: Duration = Duration::from_millis(250);
/// How long an ending is tried for: outages of the table last up to two minutes.
const ENDING_TIME: Duration = Duration::from_secs(120);

/// The row that a write replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Base {
    pub(super) version: RowVersion,
    pub(super) delete_at_ms: u64,
}

/// How a claim was settled.
pub(super) enum Settled {
    /// The key is claimed for this sending.
    Held(Arc<Claim>),
    /// The key was claimed before.
    Met(Verdict),
}

/// The attempts at claiming a key.
pub(super) struct Claiming {
    claims: Arc<Claims>,
    request: String,
    address: RowAddress,
    record: ClaimRecord,
    base: Option<Base>,
    /// A transaction got no answer: it may still take effect.
    is_outcome_unknown: bool,
    _open: OpenWrite,
}

/// The attempts at writing what became of a claim.
pub(super) struct Ending {
    claims: Arc<Claims>,
    request: String,
    address: RowAddress,
    record: ClaimRecord,
    base: Option<Base>,
    _open: OpenWrite,
}

/// Counts a write as open until it is dropped, also before it first runs: a node that stops
/// waits for it.
struct OpenWrite(Arc<Claims>);

impl OpenWrite {
    fn begin(claims: &Arc<Claims>) -> Self {
        claims.pending_writes.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(claims))
    }
}

impl Drop for OpenWrite {
    fn drop(&mut self) {
        self.0.pending_writes.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Claiming {
    /// Attempts at claiming the key whose row lies at `address`.
    pub(super) fn new(
        claims: Arc<Claims>,
        request: String,
        address: RowAddress,
        record: ClaimRecord,
    ) -> Self {
        Self {
            _open: OpenWrite::begin(&claims),
            claims,
            request,
            address,
            record,
            base: None,
            is_outcome_unknown: false,
        }
    }

    /// Claims the key and tells how that was settled. A claim that nobody takes any more is
    /// given back, and so is one that may still be written.
    pub(super) async fn run(mut self, give_up_at: BootInstant, answer: oneshot::Sender<Settled>) {
        if let Some(settled) = self.settle(give_up_at, &answer).await {
            // What nobody takes is dropped, and a claim gives itself back then.
            let _ = answer.send(settled);
            return;
        }
        drop(answer);
        if self.is_outcome_unknown {
            self.give_back().run().await;
        }
    }

    /// Tries until the table has judged; nothing if that is given up.
    async fn settle(
        &mut self,
        give_up_at: BootInstant,
        answer: &oneshot::Sender<Settled>,
    ) -> Option<Settled> {
        loop {
            match self.commit().await {
                Ok(Commit::Done(version)) => return Some(self.held(version)),
                Ok(Commit::Conflict(met)) => match self.judge(&met) {
                    Some(settled) => return Some(settled),
                    // The row is free or gone: it is claimed under its present version.
                    None => continue,
                },
                Err(CommitError::Unknown) => self.is_outcome_unknown = true,
                Err(CommitError::NotDone) => {}
            }
            let is_late = BootInstant::now() + CLAIM_PAUSE >= give_up_at;
            if is_late || answer.is_closed() || !self.claims.may_be_settled() {
                return None;
            }
            tokio::time::sleep(CLAIM_PAUSE).await;
        }
    }

    async fn commit(&self) -> Result<Commit, CommitError> {
        let transaction = transaction(&self.address, &self.record, self.base);
        self.claims.table.commit(&transaction).await
    }

    /// How the row that was met settles the claim; nothing if the key is free.
    fn judge(&mut self, met: &[Row]) -> Option<Settled> {
        let Some(row) = met.iter().find(|row| row.address == self.address) else {
            self.base = None;
            return None;
        };
        let Some(record) = ClaimRecord::decode(&row.value) else {
            return Some(Settled::Met(Verdict::OutcomeUnknown));
        };
        let now_ms = self.claims.table.now_ms().unwrap_or(record.due_ms);
        match record.judge(&self.record, now_ms) {
            Verdict::Own => Some(self.held(row.version)),
            Verdict::Free => {
                self.base = Some(Base {
                    version: row.version,
                    delete_at_ms: record.delete_at_ms,
                });
                None
            }
            verdict => Some(Settled::Met(verdict)),
        }
    }

    fn held(&self, version: RowVersion) -> Settled {
        let base = Base {
            version,
            delete_at_ms: self.record.delete_at_ms,
        };
        Settled::Held(Arc::new(Claim::new(
            Arc::clone(&self.claims),
            self.request.clone(),
            self.address.clone(),
            self.record.clone(),
            base,
        )))
    }

    /// Writes that nothing has run, over what the claim replaces or over the claim itself.
    fn give_back(self) -> Ending {
        let record = self.record.in_state(ClaimState::Released);
        Ending::new(self.claims, self.request, self.address, record, self.base)
    }
}

impl Ending {
    /// Attempts at writing `record` over the row that `base` tells of; without one the row
    /// must be absent.
    pub(super) fn new(
        claims: Arc<Claims>,
        request: String,
        address: RowAddress,
        record: ClaimRecord,
        base: Option<Base>,
    ) -> Self {
        Self {
            _open: OpenWrite::begin(&claims),
            claims,
            request,
            address,
            record,
            base,
        }
    }

    /// The bytes of the row that it writes.
    pub(super) fn row_bytes(&self) -> usize {
        self.record.encode().len()
    }

    /// Tries until the table has judged, for a bounded time.
    pub(super) async fn run(mut self) {
        let give_up_at = BootInstant::now() + ENDING_TIME;
        loop {
            let transaction = transaction(&self.address, &self.record, self.base);
            match self.claims.table.commit(&transaction).await {
                Ok(Commit::Done(_)) => return,
                Ok(Commit::Conflict(met)) => match self.running_claim(&met) {
                    Some(base) => self.base = Some(base),
                    // It is written already, or the row is no longer this sending's.
                    None => return,
                },
                Err(_) if BootInstant::now() >= give_up_at => return self.log_left(),
                Err(_) => tokio::time::sleep(ENDING_PAUSE).await,
            }
        }
    }

    /// The claim of this sending, if it is what was met.
    fn running_claim(&self, met: &[Row]) -> Option<Base> {
        let row = met.iter().find(|row| row.address == self.address)?;
        let record = ClaimRecord::decode(&row.value)?;
        let is_own = record.is_of_same_sending(&self.record);
        let is_running = record.state == ClaimState::Running;
        (is_own && is_running).then_some(Base {
            version: row.version,
            delete_at_ms: record.delete_at_ms,
        })
    }

    fn log_left(&self) {
        let state = match self.record.state {
            ClaimState::Answered(_) => "answered",
            ClaimState::Released | ClaimState::Running => "released",
        };
        events::emit(&Event::ClaimLeft {
            request: &self.request,
            state,
            cause: "the table did not settle it",
        });
    }
}

/// Writes a claim in place of another one, or where there is none, and when it may be
/// deleted.
fn transaction(address: &RowAddress, record: &ClaimRecord, base: Option<Base>) -> Transaction {
    let version = base.map(|base| base.version);
    let time = rows::claim_time(address, record.delete_at_ms);
    let transaction = Transaction::new()
        .require(address.clone(), version)
        .put(address.clone(), record.encode())
        .put(time, Vec::new());
    match base {
        Some(base) if base.delete_at_ms != record.delete_at_ms => {
            transaction.delete(rows::claim_time(address, base.delete_at_ms))
        }
        _ => transaction,
    }
}
