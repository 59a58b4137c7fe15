//! What a node and the one that carries its calls say to each other.

use crate::rows;
use crate::table::{Changes, Commit, CommitError, KeyRange, Page, ReadError, Transaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sloetrail_types::{NodeId, RowVersion};
use std::net::SocketAddr;

/// The version of these messages. A node refuses those of another version.
pub(super) const MESSAGE_VERSION: u8 = 1;
/// The path under which calls are carried.
pub(super) const CALLS_PATH: &str = "/v1/table-calls";
/// The path under which a node tells which life of it answers.
pub(super) const LIFE_PATH: &str = "/v1/life";
/// The path under which a node asks another one for its life.
pub(super) const PROBE_PATH: &str = "/v1/life-of-another";

/// A question whether another node lives, as seen from the node that is asked.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(super) struct ProbeCall {
    /// The version of this message.
    pub(super) version: u8,
    /// The token that the asked node has put into the table.
    pub(super) token: String,
    /// The life of the node that is meant.
    pub(super) life: NodeId,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

/// A call to be carried.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(super) struct CarriedCall {
    /// The version of this message.
    pub(super) version: u8,
    /// The token that the carrying node has put into the table.
    pub(super) token: String,
    /// The call.
    pub(super) call: TableCall,
}

/// A call to the table.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(super) enum TableCall {
    /// Carries out a transaction.
    Commit(Transaction),
    /// Reads a range.
    Scan(KeyRange),
    /// Asks for changes.
    Changes {
        /// The table.
        table: String,
        /// The version that the asker has.
        since: RowVersion,
        /// How long the question may be held, in milliseconds.
        wait_ms: u64,
    },
}

/// The table's answer to a call.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(super) enum TableAnswer {
    /// To a transaction.
    Commit(Result<Commit, CommitError>),
    /// To a read.
    Scan(Result<Page, ReadError>),
    /// To a question for changes.
    Changes(Result<Changes, ReadError>),
}

/// Tables of what callers sent and of what was made of it.
const CONTENT_TABLES: [&str; 4] = [
    rows::SUBMISSIONS,
    rows::CHECKPOINTS,
    rows::RESULTS,
    rows::CLAIMS,
];

/// Which nodes may carry a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Reach {
    /// Those of the caller's own region.
    OwnRegion,
    /// All.
    Anywhere,
}

impl TableCall {
    /// Which nodes may carry it. What callers sent, and what was made of it, stays in the
    /// region of the node that they sent it to or that works on it. So do leases: a holder
    /// whose results nobody may carry must not keep its lease with the help of others.
    pub(super) fn reach(&self) -> Reach {
        let is_bound = match self {
            TableCall::Commit(transaction) => transaction
                .tables()
                .any(|table| table == rows::LEASES || CONTENT_TABLES.contains(&table)),
            TableCall::Scan(range) => CONTENT_TABLES.contains(&range.table.as_str()),
            TableCall::Changes { table, .. } => CONTENT_TABLES.contains(&table.as_str()),
        };
        match is_bound {
            true => Reach::OwnRegion,
            false => Reach::Anywhere,
        }
    }

    /// The answer when the call has left this node and nothing came back.
    pub(super) fn without_answer(&self) -> TableAnswer {
        match self {
            TableCall::Commit(_) => TableAnswer::Commit(Err(CommitError::Unknown)),
            TableCall::Scan(_) | TableCall::Changes { .. } => self.not_made(),
        }
    }

    /// The answer when the call was not made.
    pub(super) fn not_made(&self) -> TableAnswer {
        match self {
            TableCall::Commit(_) => TableAnswer::Commit(Err(CommitError::NotDone)),
            TableCall::Scan(_) => TableAnswer::Scan(Err(ReadError::Unavailable)),
            TableCall::Changes { .. } => TableAnswer::Changes(Err(ReadError::Unavailable)),
        }
    }
}

impl TableAnswer {
    /// True if the table itself has answered.
    pub(super) fn is_of_table(&self) -> bool {
        match self {
            TableAnswer::Commit(answer) => answer.is_ok(),
            TableAnswer::Scan(answer) => !matches!(answer, Err(ReadError::Unavailable)),
            TableAnswer::Changes(answer) => !matches!(answer, Err(ReadError::Unavailable)),
        }
    }

    /// True if the table may have carried a transaction out without saying so: another
    /// attempt could meet what this one has done, and the caller must know.
    pub(super) fn may_have_been_done(&self) -> bool {
        matches!(self, TableAnswer::Commit(Err(CommitError::Unknown)))
    }
}

/// The encoded form of a message.
pub(super) fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut encoded = Vec::new();
    ciborium::into_writer(message, &mut encoded).expect("memory takes every write");
    encoded
}

/// Reads the encoded form; nothing if it cannot be read.
pub(super) fn decode<Message: DeserializeOwned>(encoded: &[u8]) -> Option<Message> {
    ciborium::from_reader(encoded).ok()
}

#[cfg(test)]
mod tests;
