//! The transactional table.

use super::fault_layer::FaultControl;
use super::rate_limit::RateLimit;
use super::stand_in::StandIn;
use axum::extract::{DefaultBodyLimit, State};
use axum::routing::post;
use axum::{Json, Router};
use http::StatusCode;
use sloetrail_clients::{
    CommitOutcome, ReadRequest, ReadResponse, Row, ScanRequest, ScanResponse, Transaction,
};
use sloetrail_types::RowVersion;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

#[derive(Default)]
struct Rows {
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl Rows {
    fn commit(&mut self, transaction: Transaction) -> CommitOutcome {
        for condition in &transaction.conditions {
            let present = self.rows.get(&condition.key).map(|row| row.version);
            if present != condition.version {
                return CommitOutcome::Conflict(condition.key.clone());
            }
        }
        self.version += 1;
        let version = RowVersion(self.version);
        for write in transaction.writes {
            match write.value {
                None => drop(self.rows.remove(&write.key)),
                Some(value) => {
                    let row = Row {
                        key: write.key.clone(),
                        version,
                        transaction: transaction.id.clone(),
                        value,
                    };
                    self.rows.insert(write.key, row);
                }
            }
        }
        CommitOutcome::Committed(version)
    }

    fn scan(&self, request: &ScanRequest) -> Vec<Row> {
        let start = match &request.after {
            Some(after) => Bound::Excluded(after.clone()),
            None => Bound::Included(request.prefix.clone()),
        };
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&request.prefix))
            .take(request.limit)
            .map(|(_, row)| row.clone())
            .collect()
    }
}

/// The table's rows and limits.
pub struct TableState {
    rows: Mutex<Rows>,
    limit: RateLimit,
    operations: AtomicU64,
}

/// The table stand-in.
pub type TableStandIn = StandIn<TableState>;

impl TableStandIn {
    /// Starts an empty table with a rate limit in operations a second.
    pub async fn start(
        address: SocketAddr,
        per_second: f64,
        faults: FaultControl,
    ) -> std::io::Result<Self> {
        let state = TableState {
            rows: Mutex::default(),
            limit: RateLimit::new(per_second),
            operations: AtomicU64::new(0),
        };
        let router = Router::new()
            .route("/v1/rows/read", post(read))
            .route("/v1/rows/scan", post(scan))
            .route("/v1/transactions", post(commit))
            .layer(DefaultBodyLimit::max(BODY_LIMIT_BYTES));
        Self::serve(address, state, router, faults).await
    }

    /// Operations that it has carried out.
    pub fn operations(&self) -> u64 {
        self.shared.operations.load(Ordering::Relaxed)
    }
}

fn admit(shared: &TableState) -> Result<(), StatusCode> {
    if !shared.limit.allow() {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    shared.operations.fetch_add(1, Ordering::Relaxed);
    Ok(())
}

async fn read(
    State(shared): State<Arc<TableState>>,
    Json(request): Json<ReadRequest>,
) -> Result<Json<ReadResponse>, StatusCode> {
    admit(&shared)?;
    let rows = shared.rows.lock().expect("not poisoned");
    let found = request.keys.iter().map(|key| rows.rows.get(key).cloned());
    Ok(Json(ReadResponse {
        rows: found.collect(),
    }))
}

async fn scan(
    State(shared): State<Arc<TableState>>,
    Json(request): Json<ScanRequest>,
) -> Result<Json<ScanResponse>, StatusCode> {
    admit(&shared)?;
    let rows = shared.rows.lock().expect("not poisoned").scan(&request);
    Ok(Json(ScanResponse { rows }))
}

async fn commit(
    State(shared): State<Arc<TableState>>,
    Json(transaction): Json<Transaction>,
) -> Result<Json<CommitOutcome>, StatusCode> {
    admit(&shared)?;
    let mut rows = shared.rows.lock().expect("not poisoned");
    Ok(Json(rows.commit(transaction)))
}
