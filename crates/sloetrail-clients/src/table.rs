//! The transactional table service.
//!
//! Every write is conditional and every transaction has an id of its own, which
//! the table keeps in each row it writes. A transaction whose answer was lost is
//! settled by [`TableClient::commit_settled`]: it reads the transaction's marker
//! row back, and never guesses.

use crate::http_client::{CallError, HttpClient};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sloetrail_types::{RowVersion, TransactionId};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const SETTLE_PAUSE: Duration = Duration::from_millis(50);
const SETTLE_PAUSE_LIMIT: Duration = Duration::from_millis(800);
const SCAN_PAGE_ROWS: usize = 2_000;

/// A row as the table holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Grows with each write anywhere in the table.
    pub version: RowVersion,
    /// The transaction that wrote it last.
    pub transaction: TransactionId,
    /// Its value.
    pub value: Value,
}

/// What must be true of a row for a transaction to be carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The version it must have; nothing means that it must be absent.
    pub version: Option<RowVersion>,
}

/// A row to write or, without a value, to delete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// Its new value.
    pub value: Option<Value>,
}

/// Writes that are carried out together if every condition holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Its id, unique for all time.
    pub id: TransactionId,
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Writes one row or, without a value, deletes it, if it has the expected
    /// version; without one, if it is absent.
    pub fn of_one_row(
        id: TransactionId,
        key: &str,
        expected: Option<RowVersion>,
        value: Option<Value>,
    ) -> Self {
        Self {
            id,
            conditions: vec![Condition {
                key: key.to_owned(),
                version: expected,
            }],
            writes: vec![Write {
                key: key.to_owned(),
                value,
            }],
        }
    }
}

/// The table's answer to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// Carried out; the rows written have this version.
    Committed(RowVersion),
    /// Nothing was changed, because the condition on this row did not hold.
    Conflict(String),
}

/// A settled transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Settled {
    /// It was carried out; the marker row has this version.
    Committed(RowVersion),
    /// It was not carried out and never will be.
    Conflict,
    /// It was certainly not carried out before the deadline.
    NotExecuted,
    /// It is still unknown at the deadline.
    Unknown,
}

/// Asks for rows by key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The keys.
    pub keys: Vec<String>,
}

/// Rows in the order of the keys asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The rows; nothing where a row is absent.
    pub rows: Vec<Option<Row>>,
}

/// Asks for rows by prefix, in key order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// The prefix.
    pub prefix: String,
    /// Only keys after this one.
    pub after: Option<String>,
    /// At most this many rows.
    pub limit: usize,
}

/// A page of rows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanResponse {
    /// The rows, in key order.
    pub rows: Vec<Row>,
}

/// A client of the table service.
#[derive(Clone)]
pub struct TableClient {
    http: HttpClient,
    address: SocketAddr,
    call_timeout: Duration,
}

impl TableClient {
    /// A client that waits `call_timeout` for each answer.
    pub fn new(http: HttpClient, address: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            http,
            address,
            call_timeout,
        }
    }

    /// Reads one row.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, CallError> {
        let request = ReadRequest {
            keys: vec![key.to_owned()],
        };
        let mut response: ReadResponse = self.call("/v1/rows/read", &request).await?;
        Ok(response.rows.pop().flatten())
    }

    /// Reads every row of a prefix, page by page. The pages are not one snapshot.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, CallError> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let request = ScanRequest {
                prefix: prefix.to_owned(),
                after: rows.last().map(|row| row.key.clone()),
                limit: SCAN_PAGE_ROWS,
            };
            let page: ScanResponse = self.call("/v1/rows/scan", &request).await?;
            let last_page = page.rows.len() < SCAN_PAGE_ROWS;
            rows.extend(page.rows);
            if last_page {
                return Ok(rows);
            }
        }
    }

    /// Sends a transaction once.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, CallError> {
        self.call("/v1/transactions", transaction).await
    }

    /// Sends a transaction until its outcome is known or the deadline has passed.
    ///
    /// `marker` is a row that the transaction writes under a condition and that
    /// nobody overwrites before the writer has learned the outcome.
    pub async fn commit_settled(
        &self,
        transaction: &Transaction,
        marker: &str,
        deadline: Instant,
    ) -> Settled {
        let mut may_be_carried_out = false;
        let mut pause = SETTLE_PAUSE;
        loop {
            match self.commit(transaction).await {
                Ok(CommitOutcome::Committed(version)) => return Settled::Committed(version),
                Ok(CommitOutcome::Conflict(_)) => {
                    // An earlier sending, of this call or of one before it, may be
                    // what stands in the way.
                    match self.read(marker).await {
                        Ok(row) => return settled_by_marker(transaction, row),
                        Err(_) => may_be_carried_out = true,
                    }
                }
                Err(error) => may_be_carried_out |= !error.is_not_executed(),
            }
            if Instant::now() + pause >= deadline {
                return match may_be_carried_out {
                    true => Settled::Unknown,
                    false => Settled::NotExecuted,
                };
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(SETTLE_PAUSE_LIMIT);
        }
    }

    async fn call<Q: Serialize, A: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
    ) -> Result<A, CallError> {
        self.http
            .post_json(self.address, path, message, self.call_timeout)
            .await
    }
}

/// After a conflict: the marker row tells whether an earlier sending took effect.
fn settled_by_marker(transaction: &Transaction, marker: Option<Row>) -> Settled {
    match marker {
        Some(row) if row.transaction == transaction.id => Settled::Committed(row.version),
        _ => Settled::Conflict,
    }
}
