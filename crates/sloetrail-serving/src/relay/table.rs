//! The table, reached directly or with the help of another node.

use super::message::{TableAnswer, TableCall};
use super::peers::Peers;
use crate::table::{
    Changes, Commit, CommitError, KeyRange, Page, ReadError, Table, TableLimits, Transaction,
};
use async_trait::async_trait;
use sloetrail_types::RowVersion;
use std::sync::Arc;
use std::time::Duration;

/// The table as a node reaches it that has others carry its calls while it cannot.
pub(super) struct RelayedTable {
    direct: Arc<dyn Table>,
    peers: Arc<Peers>,
}

impl RelayedTable {
    /// The table over a direct way, with peers to help out.
    pub(super) fn new(direct: Arc<dyn Table>, peers: Arc<Peers>) -> Self {
        Self { direct, peers }
    }

    /// The answer that a peer gets, if the direct way is known not to work.
    async fn carried(&self, call: impl FnOnce() -> TableCall) -> Option<TableAnswer> {
        if self.direct.is_answering() {
            self.peers.note_direct();
            return None;
        }
        self.peers.carry(call()).await
    }

    /// True if peers of other regions carry calls and those of the own region cannot.
    fn is_alone_in_region(&self) -> bool {
        !self.direct.is_answering() && self.peers.are_far_away()
    }

    /// A read by a peer, if the direct way is known not to work; otherwise directly, and
    /// by a peer if the direct way turns out not to work meanwhile.
    async fn read<Answer>(
        &self,
        call: impl Fn() -> TableCall + Send,
        direct: impl Future<Output = Result<Answer, ReadError>> + Send,
        answer_of: impl Fn(TableAnswer) -> Option<Result<Answer, ReadError>> + Send,
    ) -> Result<Answer, ReadError> {
        if let Some(answer) = self.carried(&call).await.and_then(&answer_of) {
            return answer;
        }
        tokio::select! {
            answer = direct => answer,
            () = self.direct.absence() => {
                let carried = self.peers.carry(call()).await;
                carried.and_then(&answer_of).unwrap_or(Err(ReadError::Unavailable))
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

    fn ordinary_time(&self) -> Duration {
        self.direct.ordinary_time()
    }

    fn is_answering(&self) -> bool {
        self.direct.is_answering() || self.peers.is_helping()
    }

    fn is_isolated(&self) -> bool {
        let is_cut_off = !self.direct.is_answering() && self.peers.are_silent();
        is_cut_off || self.is_alone_in_region()
    }

    async fn absence(&self) {
        self.direct.absence().await;
    }

    async fn returned(&self) {
        self.direct.returned().await;
    }

    /// A transaction that no peer of the region can carry while others help is not done: the
    /// direct way is known not to work, and its outcome there would be unknown.
    async fn commit(&self, transaction: &Transaction) -> Result<Commit, CommitError> {
        let call = || TableCall::Commit(transaction.clone());
        match self.carried(call).await {
            Some(TableAnswer::Commit(answer)) => answer,
            _ if self.is_alone_in_region() => Err(CommitError::NotDone),
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
            wait_ms: wait.as_millis() as u64,
        };
        let direct = self.direct.changes(table, since, wait);
        self.read(call, direct, |answer| match answer {
            TableAnswer::Changes(answer) => Some(answer),
            _ => None,
        })
        .await
    }
}
