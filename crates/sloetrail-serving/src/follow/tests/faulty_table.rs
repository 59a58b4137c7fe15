//! A table transport in virtual time whose faults are switched on and off.

use crate::table::{
    Change, Changes, Commit, CommitError, KeyRange, Page, ReadError, Row, RowAddress, TableLimits,
    Transaction,
};
use crate::table_client::{CallResult, TableCallError, TableTransport};
use async_trait::async_trait;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sloetrail_types::RowVersion;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

pub(super) const SOUND_LATENCY: Duration = Duration::from_millis(4);

/// How calls deviate from a sound table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    Slow(Duration),
    /// Calls that are sent or pending are never answered.
    Silent,
    /// A part of the answers is lost.
    LosesAnswers(f64),
    /// A part of the answers stalls after its head.
    StallsInBody(f64),
    /// A part of the calls is refused.
    Throttles(f64),
    /// Pending calls fail, and a part of the new ones.
    Resets(f64),
    /// The changes so far can no longer be read.
    ForgetsHistory,
}

#[derive(Default)]
struct State {
    version: u64,
    history_lost_before: u64,
    rows: Vec<Row>,
    faults: Vec<Fault>,
    /// Incremented when a silence begins; calls pending then are lost.
    silences: u64,
    /// Incremented when resets begin; calls pending then fail.
    resets: u64,
    idle_connections: usize,
    calls: usize,
}

pub(super) struct FaultyTable {
    state: Mutex<State>,
    random: Mutex<StdRng>,
    changed: watch::Sender<u64>,
}

/// What becomes of a call.
enum Fate {
    Answered,
    Lost,
    StalledInBody,
    Refused,
}

impl FaultyTable {
    pub(super) fn new(seed: u64) -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        Arc::new(Self {
            state: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            changed,
        })
    }

    /// Writes a row as the operator or a back end, which no fault concerns. Returns its version.
    pub(super) fn write(&self, table: &str, key: &str) -> RowVersion {
        let mut state = self.state.lock();
        state.version += 1;
        let version = RowVersion(state.version);
        let address = RowAddress::new(table, "", key);
        state.rows.retain(|row| row.address != address);
        state.rows.push(Row {
            address,
            value: Vec::new().into(),
            version,
        });
        drop(state);
        self.notify();
        version
    }

    pub(super) fn set_faults(&self, faults: &[Fault]) {
        let mut state = self.state.lock();
        let begins = |one: fn(&Fault) -> bool| faults.iter().any(one);
        state.silences += u64::from(begins(|fault| *fault == Fault::Silent));
        state.resets += u64::from(begins(|fault| matches!(fault, Fault::Resets(_))));
        if faults.contains(&Fault::ForgetsHistory) {
            state.history_lost_before = state.version;
        }
        state.faults = faults.to_vec();
        drop(state);
        self.notify();
    }

    /// Calls made so far.
    pub(super) fn calls(&self) -> usize {
        self.state.lock().calls
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn happens(&self, probability: f64) -> bool {
        self.random.lock().random_bool(probability)
    }

    fn latency(&self) -> Duration {
        let state = self.state.lock();
        let slow = state.faults.iter().find_map(|fault| match fault {
            Fault::Slow(latency) => Some(*latency),
            _ => None,
        });
        slow.unwrap_or(SOUND_LATENCY)
    }

    fn fate(&self) -> Fate {
        let faults = self.state.lock().faults.clone();
        for fault in faults {
            match fault {
                Fault::Silent => return Fate::Lost,
                Fault::LosesAnswers(part) if self.happens(part) => return Fate::Lost,
                Fault::StallsInBody(part) if self.happens(part) => return Fate::StalledInBody,
                Fault::Throttles(part) | Fault::Resets(part) if self.happens(part) => {
                    return Fate::Refused;
                }
                _ => {}
            }
        }
        Fate::Answered
    }

    /// Makes a call whose answer is `answer`, once it has one. Each wait for data ends after
    /// `timeout`.
    async fn call<Answer, Failure: Copy>(
        &self,
        timeout: Duration,
        failure: Failure,
        answer: impl Fn(&State) -> Option<Answer>,
        answer_by: Duration,
    ) -> CallResult<Answer, Failure> {
        let is_reused = self.take_connection();
        let answering = self.answer(answer, answer_by);
        let answered = match self.fate() {
            Fate::Answered => tokio::time::timeout(timeout, answering).await.ok(),
            Fate::Lost => {
                tokio::time::sleep(timeout).await;
                None
            }
            Fate::StalledInBody => {
                let _ = tokio::time::timeout(timeout, answering).await;
                tokio::time::sleep(timeout).await;
                None
            }
            Fate::Refused => return Err(failure.into()),
        };
        match answered {
            Some(Some(answer)) => {
                self.state.lock().idle_connections += 1;
                Ok(answer)
            }
            Some(None) => Err(failure.into()),
            None => {
                self.state.lock().idle_connections = 0;
                Err(TableCallError {
                    failure,
                    on_unresponsive_connection: is_reused,
                })
            }
        }
    }

    /// Returns whether an idle connection is reused.
    fn take_connection(&self) -> bool {
        let mut state = self.state.lock();
        state.calls += 1;
        let is_reused = state.idle_connections > 0;
        state.idle_connections = state.idle_connections.saturating_sub(1);
        is_reused
    }

    /// Waits for the answer. None if the connection is reset; never returns after a silence.
    async fn answer<Answer>(
        &self,
        answer: impl Fn(&State) -> Option<Answer>,
        answer_by: Duration,
    ) -> Option<Answer> {
        let due_at = tokio::time::Instant::now() + answer_by;
        let mut changed = self.changed.subscribe();
        let (silences, resets) = self.interruptions();
        tokio::time::sleep(self.latency() / 2).await;
        loop {
            if self.interruptions().1 != resets {
                return None;
            }
            let found = answer(&self.state.lock());
            let is_due = tokio::time::Instant::now() >= due_at;
            if found.is_some() || is_due {
                tokio::time::sleep(self.latency() / 2).await;
                if self.interruptions().0 != silences || self.is_silent() {
                    std::future::pending::<()>().await;
                }
                return found;
            }
            let _ = tokio::time::timeout_at(due_at, changed.changed()).await;
        }
    }

    fn interruptions(&self) -> (u64, u64) {
        let state = self.state.lock();
        (state.silences, state.resets)
    }

    fn is_silent(&self) -> bool {
        self.state.lock().faults.contains(&Fault::Silent)
    }
}

#[async_trait]
impl TableTransport for FaultyTable {
    fn limits(&self) -> TableLimits {
        TableLimits {
            row_bytes: 1_000,
            transaction_entries: 10,
            transaction_bytes: 10_000,
        }
    }

    fn now_ms(&self) -> Option<u64> {
        None
    }

    async fn commit(&self, _: &Transaction, timeout: Duration) -> CallResult<Commit, CommitError> {
        let done = |state: &State| Some(Commit::Done(RowVersion(state.version)));
        self.call(timeout, CommitError::Unknown, done, Duration::ZERO)
            .await
    }

    async fn scan(&self, range: &KeyRange, timeout: Duration) -> CallResult<Page, ReadError> {
        let page = |state: &State| {
            let rows = state.rows.iter();
            let rows = rows.filter(|row| row.address.table == range.table);
            Some(Page {
                rows: rows.cloned().collect(),
                more: false,
                version: RowVersion(state.version),
            })
        };
        self.call(timeout, ReadError::Unavailable, page, Duration::ZERO)
            .await
    }

    async fn changes(
        &self,
        table: &str,
        since: RowVersion,
        wait: Duration,
        timeout: Duration,
    ) -> CallResult<Changes, ReadError> {
        let sent_at = tokio::time::Instant::now();
        let changes = |state: &State| {
            let rows = state.rows.iter();
            let newer = rows.filter(|row| row.address.table == table && row.version > since);
            let changes: Vec<Change> = newer.cloned().map(Change::Written).collect();
            let is_due = sent_at.elapsed() >= wait;
            (is_due || !changes.is_empty()).then_some(Changes {
                changes,
                version: RowVersion(state.version),
            })
        };
        let answer = self
            .call(wait + timeout, ReadError::Unavailable, changes, wait)
            .await?;
        match since.0 < self.state.lock().history_lost_before {
            true => Err(ReadError::HistoryLost.into()),
            false => Ok(answer),
        }
    }
}
