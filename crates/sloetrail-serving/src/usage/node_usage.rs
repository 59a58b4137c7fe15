//! What this node counts, and how it hands it over.

use super::wall_clock::lead_in;
use crate::events::{self, Event};
use crate::follow::{FleetSize, ViewReceiver};
use crate::retry_pause::RetryPause;
use crate::rows;
use crate::table::{Commit, CommitError, Table, Transaction};
use crate::telemetry;
use bytes::Bytes;
use sloetrail_clock::BootInstant;
use sloetrail_types::{NodeId, TenantName};
use sloetrail_usage::{ReportSchedule, UsageCounter, UsagePiece};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What was counted is handed over this often on a small fleet: a node that is killed
/// loses what it counted since.
const HAND_OVER_LEAST: Duration = Duration::from_millis(250);
/// The time grows with the fleet, so that the nodes together write about 150 times a second.
/// There are about half as many back ends as nodes on the smaller fleets of the operators.
const HAND_OVER_PER_BACK_END: Duration = Duration::from_millis(8);
/// A report waits 4.5 s for the pieces of its window.
const HAND_OVER_MOST: Duration = Duration::from_millis(2_000);
/// Requests that are remembered until the clock is agreed on. They come within seconds.
const REMEMBERED_MOST: usize = 50_000;
const WRITES_A_ROUND: usize = 50;
/// A request that goes on for longer than this part of the time for which reports wait is
/// counted while it does: its report would not wait for its end.
const LONG_PART: u32 = 2;

/// What this node counts.
pub(crate) struct NodeUsage {
    schedule: ReportSchedule,
    instance: NodeId,
    table: Arc<dyn Table>,
    leases: ViewReceiver,
    fleet: FleetSize,
    state: Mutex<State>,
    /// One hand-over at a time, so that the last one before a stop leaves nothing out.
    handing_over: tokio::sync::Mutex<VecDeque<UsagePiece>>,
}

/// A request that began and is not counted yet.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(super) struct OpenRequest(u64);

#[derive(Default)]
struct State {
    counter: UsageCounter,
    /// Requests that began and have not ended.
    open: HashMap<OpenRequest, (BootInstant, TenantName)>,
    next_open: u64,
    /// Requests to be counted as soon as the clock is known.
    remembered: VecDeque<(BootInstant, TenantName)>,
}

impl State {
    fn remember(&mut self, request: (BootInstant, TenantName)) {
        self.remembered.push_back(request);
        if self.remembered.len() > REMEMBERED_MOST {
            self.remembered.pop_front();
            telemetry::usage_discarded();
        }
    }

    /// Remembers those that have been open since before a moment.
    fn remember_open_since(&mut self, moment: BootInstant) {
        let open = std::mem::take(&mut self.open);
        let is_long = |request: &(OpenRequest, (BootInstant, TenantName))| request.1.0 <= moment;
        let (long, short): (Vec<_>, Vec<_>) = open.into_iter().partition(is_long);
        self.open = short.into_iter().collect();
        for (_, request) in long {
            self.remember(request);
        }
    }
}

impl NodeUsage {
    /// Counts nothing yet. `leases` tells the agreed clock.
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
            handing_over: tokio::sync::Mutex::default(),
        })
    }

    /// When windows are reported.
    pub(crate) fn schedule(&self) -> ReportSchedule {
        self.schedule
    }

    /// Wall-clock time, in milliseconds since 1970, as the nodes agree on it; nothing
    /// before they do.
    pub(crate) fn wall_ms(&self) -> Option<u64> {
        let lead = lead_in(&self.leases.borrow())?;
        Some(lead.wall_ms(self.table.now_ms()?))
    }

    /// A request of a tenant began at this moment.
    pub(super) fn begin(&self, tenant: &TenantName, began: BootInstant) -> OpenRequest {
        let mut state = self.state();
        let number = state.next_open;
        state.next_open += 1;
        state
            .open
            .insert(OpenRequest(number), (began, tenant.clone()));
        OpenRequest(number)
    }

    /// It did not begin after all.
    pub(super) fn forget(&self, request: OpenRequest) {
        self.state().open.remove(&request);
    }

    /// It has ended and is to be counted, unless it was already.
    pub(super) fn count(&self, request: OpenRequest) {
        let mut state = self.state();
        if let Some(request) = state.open.remove(&request) {
            state.remember(request);
        }
    }

    /// Hands what was counted over to the table again and again.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.hand_over_period()).await;
            self.hand_over().await;
        }
    }

    /// Hands all over that was counted, however long the table is away.
    pub(crate) async fn hand_over(&self) {
        let mut waiting = self.handing_over.lock().await;
        waiting.extend(self.take_pieces());
        let mut retry = RetryPause::new();
        while !waiting.is_empty() {
            let count = waiting.len().min(WRITES_A_ROUND);
            let transaction = self.transaction(waiting.iter().take(count));
            match self.table.commit(&transaction).await {
                Ok(Commit::Done(_)) => {
                    waiting.drain(..count);
                    retry.reset();
                }
                // Without conditions there is nothing that could conflict.
                Ok(Commit::Conflict(_)) | Err(CommitError::NotDone | CommitError::Unknown) => {
                    retry.wait(&*self.table).await;
                }
            }
        }
    }

    fn hand_over_period(&self) -> Duration {
        let back_ends = u32::try_from(self.fleet.back_ends()).unwrap_or(u32::MAX);
        let grown = HAND_OVER_PER_BACK_END.saturating_mul(back_ends);
        grown.clamp(HAND_OVER_LEAST, HAND_OVER_MOST)
    }

    /// A piece that is written twice is the same both times.
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
        if let Some(moment) = now.checked_sub(self.schedule.settle_time() / LONG_PART) {
            state.remember_open_since(moment);
        }
        for (began, tenant) in std::mem::take(&mut state.remembered) {
            let age = now.saturating_duration_since(began).as_millis() as u64;
            let window = windows.at(wall_ms.saturating_sub(age));
            state.counter.count(window, &tenant);
        }
        state.counter.take_pieces()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }
}

/// The stored form of a piece.
fn encode_piece(piece: &UsagePiece) -> Bytes {
    let mut encoded = Vec::new();
    ciborium::into_writer(piece, &mut encoded).expect("memory takes every write");
    Bytes::from(encoded)
}

/// Reads the stored form of a piece. One that cannot be read is told and left out.
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
