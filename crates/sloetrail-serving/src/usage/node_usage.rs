//! Counts the requests of this node and writes the counts to the table.

use super::wall_clock::agreed_offset;
use crate::events::{self, Event};
use crate::follow::{FleetSize, ViewReceiver};
use crate::retry_backoff::RetryBackoff;
use crate::rows;
use crate::table::{Commit, CommitError, Table, Transaction};
use crate::telemetry;
use bytes::Bytes;
use parking_lot::{Mutex, MutexGuard};
use sloetrail_clock::BootInstant;
use sloetrail_types::{NodeId, TenantName, whole_millis};
use sloetrail_usage::{ReportSchedule, UsageCounter, UsagePiece};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Bounds the counts that a killed node loses.
const MIN_FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Bounds the write rate of all nodes together to about 150 per second, where there are half as
/// many back ends as nodes.
const FLUSH_INTERVAL_PER_BACK_END: Duration = Duration::from_millis(8);
/// Must be below the time for which reports wait for pieces.
const MAX_FLUSH_INTERVAL: Duration = Duration::from_millis(2_000);
/// Bounds the requests that wait for the agreed clock offset.
const MAX_PENDING_REQUESTS: usize = 50_000;
const MAX_PIECES_PER_TRANSACTION: usize = 50;
/// Requests that run longer than the settle time divided by this are counted before they end,
/// since the report does not wait for them.
const LONG_REQUEST_DIVISOR: u32 = 2;

/// The usage counts of this node.
pub(crate) struct NodeUsage {
    schedule: ReportSchedule,
    instance: NodeId,
    table: Arc<dyn Table>,
    leases: ViewReceiver,
    fleet: FleetSize,
    state: Mutex<State>,
    /// Pieces to write. The lock serializes flushes, so that the flush before a stop is complete.
    flush_queue: tokio::sync::Mutex<VecDeque<UsagePiece>>,
}

/// Identifies a started request that is not counted yet.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(super) struct OpenRequestId(u64);

#[derive(Default)]
struct State {
    counter: UsageCounter,
    /// Started requests that have not ended, with their start times.
    open: HashMap<OpenRequestId, (BootInstant, TenantName)>,
    next_open_id: u64,
    /// Requests to count once the clock offset is known.
    pending: VecDeque<(BootInstant, TenantName)>,
}

impl State {
    fn add_pending(&mut self, request: (BootInstant, TenantName)) {
        self.pending.push_back(request);
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
            telemetry::usage_discarded();
        }
    }

    /// Moves requests that started at or before `cutoff` from open to pending.
    fn move_long_requests(&mut self, cutoff: BootInstant) {
        let open = std::mem::take(&mut self.open);
        let is_long = |request: &(OpenRequestId, (BootInstant, TenantName))| request.1.0 <= cutoff;
        let (long, short): (Vec<_>, Vec<_>) = open.into_iter().partition(is_long);
        self.open = short.into_iter().collect();
        for (_, request) in long {
            self.add_pending(request);
        }
    }
}

impl NodeUsage {
    /// `leases` provides the agreed clock offset.
    pub(crate) fn new(
        schedule: ReportSchedule,
        instance: NodeId,
        table: Arc<dyn Table>,
        leases: ViewReceiver,
        fleet: FleetSize,
    ) -> Arc<Self> {
        Arc::new(Self {
            schedule,
            instance,
            table,
            leases,
            fleet,
            state: Mutex::default(),
            flush_queue: tokio::sync::Mutex::default(),
        })
    }

    pub(crate) fn schedule(&self) -> ReportSchedule {
        self.schedule
    }

    /// Returns the agreed wall-clock time in Unix milliseconds, or None before the nodes agree.
    pub(crate) fn wall_ms(&self) -> Option<u64> {
        let offset = agreed_offset(&self.leases.borrow())?;
        Some(offset.wall_ms(self.table.now_ms()?))
    }

    /// Records a request of a tenant that started at this time.
    pub(super) fn record_start(
        &self,
        tenant: &TenantName,
        started_at: BootInstant,
    ) -> OpenRequestId {
        let mut state = self.state();
        let number = state.next_open_id;
        state.next_open_id += 1;
        state
            .open
            .insert(OpenRequestId(number), (started_at, tenant.clone()));
        OpenRequestId(number)
    }

    /// Removes a request that did not start.
    pub(super) fn remove(&self, request: OpenRequestId) {
        self.state().open.remove(&request);
    }

    /// Counts a request that has ended, unless it was counted before.
    pub(super) fn count(&self, request: OpenRequestId) {
        let mut state = self.state();
        if let Some(request) = state.open.remove(&request) {
            state.add_pending(request);
        }
    }

    /// Flushes the counts to the table periodically.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.flush_interval()).await;
            self.flush().await;
        }
    }

    /// Writes all counts to the table. Retries until the table accepts them.
    pub(crate) async fn flush(&self) {
        let mut queue = self.flush_queue.lock().await;
        queue.extend(self.take_pieces());
        let mut retry = RetryBackoff::new();
        while !queue.is_empty() {
            let count = queue.len().min(MAX_PIECES_PER_TRANSACTION);
            let transaction = self.transaction(queue.iter().take(count));
            match self.table.commit(&transaction).await {
                Ok(Commit::Done(_)) => {
                    queue.drain(..count);
                    retry.reset();
                }
                // A conflict cannot occur, since the transaction has no conditions.
                Ok(Commit::Conflict(_)) | Err(CommitError::NotDone | CommitError::Unknown) => {
                    retry.wait(&*self.table).await;
                }
            }
        }
    }

    fn flush_interval(&self) -> Duration {
        let back_ends = u32::try_from(self.fleet.back_ends()).unwrap_or(u32::MAX);
        let interval = FLUSH_INTERVAL_PER_BACK_END.saturating_mul(back_ends);
        interval.clamp(MIN_FLUSH_INTERVAL, MAX_FLUSH_INTERVAL)
    }

    /// Rewriting a piece is idempotent.
    fn transaction<'a>(&self, pieces: impl Iterator<Item = &'a UsagePiece>) -> Transaction {
        let mut transaction = Transaction::new();
        for piece in pieces {
            let address = rows::usage_piece(&self.instance, piece.window, piece.sequence);
            transaction = transaction.put(address, encode_piece(piece));
        }
        transaction
    }

    fn take_pieces(&self) -> Vec<UsagePiece> {
        let now = BootInstant::now();
        let Some(wall_ms) = self.wall_ms() else {
            return Vec::new();
        };
        let windows = self.schedule.windows();
        let mut state = self.state();
        if let Some(cutoff) = now.checked_sub(self.schedule.settle_time() / LONG_REQUEST_DIVISOR) {
            state.move_long_requests(cutoff);
        }
        for (started_at, tenant) in std::mem::take(&mut state.pending) {
            let age = whole_millis(now.saturating_duration_since(started_at));
            let window = windows.at(wall_ms.saturating_sub(age));
            state.counter.count(window, &tenant);
        }
        state.counter.take_pieces()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }
}

fn encode_piece(piece: &UsagePiece) -> Bytes {
    let mut encoded = Vec::new();
    ciborium::into_writer(piece, &mut encoded).expect("writing to a Vec cannot fail");
    Bytes::from(encoded)
}

/// Decodes a stored piece. An unreadable piece is logged and skipped.
pub(super) fn decode_piece(key: &str, stored: &[u8]) -> Option<UsagePiece> {
    match ciborium::from_reader(stored) {
        Ok(piece) => Some(piece),
        Err(error) => {
            events::emit(&Event::RowUnreadable {
                table: rows::USAGE_PIECES,
                key,
                detail: &error.to_string(),
            });
            None
        }
    }
}
