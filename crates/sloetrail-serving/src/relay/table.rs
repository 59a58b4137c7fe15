//! A table client that falls back to peers while the table does not answer this node.

use super::message::{TableAnswer, TableCall};
use super::peers::Peers;
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, ReadLatency, Table, TableLimits,
    Transaction,
};
use async_trait::async_trait;
use sloetrail_clock::BootInstant;
use sloetrail_types::{RowVersion, whole_millis};
use std::sync::Arc;
use std::time::Duration;

/// Calls the table directly, or through a peer while it does not answer.
pub(super) struct RelayedTable {
    direct: Arc<dyn Table>,
    peers: Arc<Peers>,
}

impl RelayedTable {
    pub(super) fn new(direct: Arc<dyn Table>, peers: Arc<Peers>) -> Self {
        Self { direct, peers }
    }

    /// Returns the answer obtained by a peer, if the table is known not to answer directly.
    async fn try_relay(&self, call: impl FnOnce() -> TableCall) -> Option<TableAnswer> {
        if self.direct.is_answering() {
            self.peers.record_direct_answer();
            return None;
        }
        self.peers.relay(call()).await
    }

    /// Returns whether peers of other regions relay calls but none of the own region can.
    fn lacks_regional_access(&self) -> bool {
        !self.direct.is_answering() && self.peers.lacks_regional_relay()
    }

    /// Reads through a peer if the table is known not to answer directly. Otherwise reads
    /// directly, and falls back to a peer if the table stops answering meanwhile.
    async fn read<Answer>(
        &self,
        call: impl Fn() -> TableCall + Send,
        direct: impl Future<Output = Result<Answer, ReadError>> + Send,
        answer_of: impl Fn(TableAnswer) -> Option<Result<Answer, ReadError>> + Send,
    ) -> Result<Answer, ReadError> {
        if let Some(answer) = self.try_relay(&call).await.and_then(&answer_of) {
            return answer;
        }
        tokio::select! {
            answer = direct => answer,
            () = self.direct.wait_for_outage() => {
                let relayed = self.peers.relay(call()).await;
                relayed.and_then(&answer_of).unwrap_or(Err(ReadError::Unavailable))
            }
        }
    }
}

#[async_trait]
impl Table for RelayedTable {
    fn limits(&self) -> TableLimits {
        self.direct.limits()
    }

    fn now_ms(&self) -> Option<u64> {
        self.direct.now_ms()
    }

    fn typical_latency(&self) -> Duration {
        self.direct.typical_latency()
    }

    fn read_latency(&self) -> ReadLatency {
        self.direct.read_latency()
    }

    fn distrust_connections(&self, unanswered_since: BootInstant) {
        self.direct.distrust_connections(unanswered_since);
    }

    fn is_answering(&self) -> bool {
        self.direct.is_answering() || self.peers.has_relay()
    }

    fn is_isolated(&self) -> bool {
        let is_cut_off = !self.direct.is_answering() && self.peers.are_unresponsive();
        is_cut_off || self.lacks_regional_access()
    }

    async fn wait_for_outage(&self) {
        self.direct.wait_for_outage().await;
    }

    async fn wait_for_recovery(&self) {
        self.direct.wait_for_recovery().await;
    }

    /// A transaction that no peer of the region can relay, while peers elsewhere can, fails as
    /// not done: a direct attempt would most likely get no answer and leave its outcome
    /// unknown.
    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let call = || TableCall::Commit(transaction.clone());
        match self.try_relay(call).await {
            Some(TableAnswer::Commit(answer)) => answer,
            _ if self.lacks_regional_access() => Err(CommitError::NotDone),
            _ => self.direct.commit(transaction).await,
        }
    }

    async fn scan(&self, range: &KeyRange) -> Result<Page, ReadError> {
        let call = || TableCall::Scan(range.clone());
        self.read(call, self.direct.scan(range), |answer| match answer {
            TableAnswer::Scan(answer) => Some(answer),
            _ => None,
        })
        .await
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
    ) -> Result<Changes, ReadError> {
        let call = || TableCall::Changes {
            table: table.to_owned(),
            since,
            wait_ms: whole_millis(wait),
        };
        let direct = self.direct.changes(table, since, wait);
        self.read(call, direct, |answer| match answer {
            TableAnswer::Changes(answer) => Some(answer),
            _ => None,
        })
        .await
    }
}
