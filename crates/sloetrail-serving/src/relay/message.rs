//! Messages between a node and the peer that relays its calls to the table.

use crate::rows;
use crate::table::{Changes, Commit, CommitError, KeyRange, Page, ReadError, Transaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sloetrail_types::{NodeId, RowVersion};
use std::net::SocketAddr;

/// Version of these messages. A node refuses other versions.
pub(super) const MESSAGE_VERSION: u8 = 1;
pub(super) const CALLS_PATH: &str = "/v1/table-calls";
/// Path that returns the incarnation of the answering node.
pub(super) const INCARNATION_PATH: &str = "/v1/life";
/// Path that probes another node on behalf of the caller.
pub(super) const PROBE_PATH: &str = "/v1/life-of-another";

/// Asks a peer to probe another node.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(super) struct ProbeCall {
    pub(super) version: u8,
    /// Token of the peer, as registered in the table.
    pub(super) token: String,
    /// Incarnation of the probed node.
    pub(super) life: NodeId,
    /// Address of the probed node.
    pub(super) address: SocketAddr,
}

/// A call to the table that the receiving peer makes for its sender.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(super) struct RelayedCall {
    pub(super) version: u8,
    /// Token of the peer, as registered in the table.
    pub(super) token: String,
    pub(super) call: TableCall,
}

#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(super) enum TableCall {
    Commit(Transaction),
    Scan(KeyRange),
    Changes {
        table: String,
        /// The version that the caller has.
        since: RowVersion,
        /// Long-poll timeout in milliseconds.
        wait_ms: u64,
    },
}

#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(super) enum TableAnswer {
    Commit(Result<Commit, CommitError>),
    Scan(Result<Page, ReadError>),
    Changes(Result<Changes, ReadError>),
}

/// Tables with requests of callers and the results derived from them.
const CONTENT_TABLES: [&str; 4] = [
    rows::SUBMISSIONS,
    rows::CHECKPOINTS,
    rows::RESULTS,
    rows::CLAIMS,
];

/// Which peers may relay a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RelayScope {
    /// Peers in the caller's own region.
    OwnRegion,
    /// All peers.
    Anywhere,
}

impl TableCall {
    /// Returns which peers may relay the call. Requests of callers and their results stay in
    /// the region of the node that received them or works on them. Writes to leases stay there
    /// too: a holder whose results no peer may relay must not keep its lease through peers of
    /// other regions.
    pub(super) fn relay_scope(&self) -> RelayScope {
        let is_regional = match self {
            TableCall::Commit(transaction) => transaction
                .tables()
                .any(|table| table == rows::LEASES || CONTENT_TABLES.contains(&table)),
            TableCall::Scan(range) => CONTENT_TABLES.contains(&range.table.as_str()),
            TableCall::Changes { table, .. } => CONTENT_TABLES.contains(&table.as_str()),
        };
        match is_regional {
            true => RelayScope::OwnRegion,
            false => RelayScope::Anywhere,
        }
    }

    /// Returns the answer for a call that was sent and got no response.
    pub(super) fn lost_answer(&self) -> TableAnswer {
        match self {
            TableCall::Commit(_) => TableAnswer::Commit(Err(CommitError::Unknown)),
            TableCall::Scan(_) | TableCall::Changes { .. } => self.not_sent(),
        }
    }

    /// Returns the answer for a call that was not sent.
    pub(super) fn not_sent(&self) -> TableAnswer {
        match self {
            TableCall::Commit(_) => TableAnswer::Commit(Err(CommitError::NotDone)),
            TableCall::Scan(_) => TableAnswer::Scan(Err(ReadError::Unavailable)),
            TableCall::Changes { .. } => TableAnswer::Changes(Err(ReadError::Unavailable)),
        }
    }
}

impl TableAnswer {
    /// Returns whether the table itself has answered.
    pub(super) fn is_from_table(&self) -> bool {
        match self {
            TableAnswer::Commit(answer) => answer.is_ok(),
            TableAnswer::Scan(answer) => !matches!(answer, Err(ReadError::Unavailable)),
            TableAnswer::Changes(answer) => !matches!(answer, Err(ReadError::Unavailable)),
        }
    }

    /// Returns whether a transaction may have been committed without confirmation. It must not
    /// be retried through another peer, which could conflict with its own effect.
    pub(super) fn may_have_been_done(&self) -> bool {
        matches!(self, TableAnswer::Commit(Err(CommitError::Unknown)))
    }
}

pub(super) fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut encoded = Vec::new();
    ciborium::into_writer(message, &mut encoded).expect("writing to a Vec cannot fail");
    encoded
}

/// Returns None if the message is malformed.
pub(super) fn decode<Message: DeserializeOwned>(encoded: &[u8]) -> Option<Message> {
    ciborium::from_reader(encoded).ok()
}

#[cfg(test)]
mod tests;
