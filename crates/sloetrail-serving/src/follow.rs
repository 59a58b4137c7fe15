//! Keeps an in-memory view of a table up to date by long-polling its changes.

mod poll_timing;
mod subset;
mod timely_read;

pub use poll_timing::{FleetScaledDuration, FleetSize, OwnedServiceGuard, PollTiming, PollTimings};
pub(crate) use subset::SubsetReader;

use crate::directory_index::KeyRanges;
use crate::events::{self, Event};
use crate::retry_backoff::RetryBackoff;
use crate::table::{Change, Changes, KeyRange, Page, ReadError, Row, RowAddress, Table, scan_all};
use crate::tasks;
use crate::telemetry;
use sloetrail_clock::BootInstant;
use sloetrail_types::{RowVersion, whole_millis};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use timely_read::{TimedAnswer, read_timely};
use tokio::sync::{Mutex, watch};

/// A poll that ends this long after its timeout, or a delay that overruns by this much, means that
/// this process or the table was suspended.
const LATENESS_THRESHOLD: Duration = Duration::from_millis(400);

/// Polls without a long-poll wait after a suspension. The first may be sent before the rest of the
/// process detects the suspension, and is then not counted as sent after it.
const IMMEDIATE_POLLS: u32 = 2;

/// The rows of a table at one version.
#[derive(Clone, Debug)]
pub struct TableView {
    /// Rows of the followed partitions by key.
    pub rows: BTreeMap<String, Row>,
    /// The key ranges that the view covers.
    pub(crate) ranges: KeyRanges,
    /// The version up to which changes are applied.
    pub version: RowVersion,
    /// When the last answer arrived; None before the first one.
    pub confirmed_at: Option<BootInstant>,
    /// When the request for the last answer was sent.
    pub requested_at: Option<BootInstant>,
    /// The number of requests that failed because the table was unavailable.
    pub interruptions: u64,
}

impl TableView {
    /// The view before the first read.
    pub(crate) fn empty() -> Self {
        Self {
            rows: BTreeMap::new(),
            ranges: KeyRanges::all_keys(),
            version: RowVersion(0),
            confirmed_at: None,
            requested_at: None,
            interruptions: 0,
        }
    }

    /// The maximum age of the view; None before the first answer.
    pub fn age(&self, now: BootInstant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }
}

pub type ViewReceiver = watch::Receiver<Arc<TableView>>;

/// When the request for the answer applied last was sent. Receivers need not keep a reference to
/// the view, which would force a copy of it on each change.
pub type LastApplied = watch::Receiver<Option<BootInstant>>;

/// Follows a partition of a table until every receiver is dropped.
pub fn follow(
    table: Arc<dyn Table>,
    name: impl Into<String>,
    partition: impl Into<String>,
    timing: PollTiming,
) -> ViewReceiver {
    start(table, (name.into(), vec![partition.into()]), timing, None)
}

/// Follows two partitions of a table, whose keys differ, until every receiver is dropped.
pub(crate) fn follow_both(
    table: Arc<dyn Table>,
    name: &str,
    partitions: [&str; 2],
    timing: PollTiming,
) -> ViewReceiver {
    let partitions = partitions.map(str::to_owned).into();
    start(table, (name.to_owned(), partitions), timing, None)
}

/// Follows the demanded subset of the directory until every receiver is dropped.
pub(crate) fn follow_directory(
    table: Arc<dyn Table>,
    name: impl Into<String>,
    timing: PollTiming,
    subset: SubsetReader,
) -> ViewReceiver {
    start(
        table,
        (name.into(), vec![String::new()]),
        timing,
        Some(subset),
    )
}

fn start(
    table: Arc<dyn Table>,
    (name, partitions): (String, Vec<String>),
    timing: PollTiming,
    subset: Option<SubsetReader>,
) -> ViewReceiver {
    let (sender, receiver) = watch::channel(Arc::new(TableView::empty()));
    let follower = Follower {
        table,
        name,
        partitions,
        timing,
        sender,
        interrupted: false,
        overdue: None,
        immediate_polls: 0,
    };
    let state = Arc::new(Mutex::new((follower, subset)));
    tasks::spawn_part("table follower", move || {
        let state = Arc::clone(&state);
        async move {
            let (follower, subset) = &mut *state.lock().await;
            follower.run(subset.as_mut()).await;
        }
    });
    receiver
}

/// A view that was not confirmed in time.
struct OverdueView {
    /// When the request that confirmed it last was sent.
    requested_at: Option<BootInstant>,
}

impl OverdueView {
    fn age_ms(&self) -> Option<u64> {
        let requested_at = self.requested_at?;
        Some(whole_millis(requested_at.elapsed()))
    }
}

/// The result of one request.
enum Progress {
    UpToDate,
    /// More rows are demanded than the view has.
    NeedsMoreRows,
}

struct Follower {
    table: Arc<dyn Table>,
    name: String,
    partitions: Vec<String>,
    timing: PollTiming,
    sender: watch::Sender<Arc<TableView>>,
    interrupted: bool,
    /// Set while the view is overdue.
    overdue: Option<OverdueView>,
    /// The number of next polls that don't wait for a change, because the view may be outdated.
    immediate_polls: u32,
}

impl Follower {
    /// Follows the table until every receiver is dropped. Reads all rows first, or those that
    /// `subset` demands.
    async fn run(&mut self, mut subset: Option<&mut SubsetReader>) {
        let mut must_read_all = true;
        let mut retry = RetryBackoff::new();
        while !self.sender.is_closed() {
            let step = match must_read_all {
                true => self.read_all(subset.as_deref_mut()).await,
                false => self.read_changes(subset.as_deref_mut()).await,
            };
            match step {
                Ok(Progress::UpToDate) => {
                    retry.reset();
                    self.record_answer();
                    must_read_all = self.wait_for_next_poll(subset.as_deref_mut()).await;
                }
                Ok(Progress::NeedsMoreRows) | Err(ReadError::HistoryLost) => must_read_all = true,
                Err(ReadError::Unavailable) => {
                    self.record_interruption();
                    retry.wait(&*self.table).await;
                }
            }
        }
    }

    /// Delays the next poll. Returns true if all demanded rows must be read instead.
    async fn wait_for_next_poll(&mut self, subset: Option<&mut SubsetReader>) -> bool {
        let Some(subset) = subset else {
            self.delay_poll().await;
            return false;
        };
        let view = Arc::clone(&self.sender.borrow());
        if let Some(ranges) = subset.reduced_ranges(&view) {
            drop(view);
            self.retain_ranges(ranges);
        }
        let view = Arc::clone(&self.sender.borrow());
        subset.maintain_index(&*self.table, &view).await;
        // A change would copy a view that is still referenced.
        drop(view);
        tokio::select! {
            () = subset.more_demanded() => true,
            () = self.delay_poll() => false,
        }
    }

    /// Waits for the poll delay, so that changes are batched. After a suspension of this process or
    /// the table, the next polls don't wait for changes, and a late answer also skips the delay.
    async fn delay_poll(&mut self) {
        let requested_at = self.sender.borrow().requested_at;
        let late_after = self.timing.long_poll_timeout.now() + LATENESS_THRESHOLD;
        let mut is_late =
            requested_at.is_some_and(|requested_at| requested_at.elapsed() > late_after);
        if !is_late {
            let started_at = BootInstant::now();
            let delay = self.timing.delay.now();
            tokio::time::sleep(delay).await;
            is_late = started_at.elapsed() > delay + LATENESS_THRESHOLD;
        }
        if is_late {
            self.immediate_polls = IMMEDIATE_POLLS;
        }
    }

    async fn read_all(&mut self, subset: Option<&mut SubsetReader>) -> Result<Progress, ReadError> {
        let requested_at = BootInstant::now();
        let (requested_at, page, ranges) = match subset {
            Some(subset) => {
                let read = subset.read(&*self.table, &self.name).await?;
                let (page, ranges) = read.into_parts();
                (requested_at, page, ranges)
            }
            None => {
                let read = self.read_all_rows().await?;
                (read.requested_at, read.answer, KeyRanges::all_keys())
            }
        };
        let rows = page.rows.into_iter();
        self.publish(requested_at, |view| {
            view.rows = rows.map(|row| (row.address.key.clone(), row)).collect();
            view.ranges = ranges;
            view.version = page.version;
        });
        Ok(Progress::UpToDate)
    }

    async fn read_all_rows(&mut self) -> Result<TimedAnswer<Page>, ReadError> {
        let table = Arc::clone(&self.table);
        let (name, partitions) = (self.name.clone(), self.partitions.clone());
        let scan = || scan_partitions(&*table, &name, &partitions);
        let timing = self.timing.repeat_timing(Duration::ZERO);
        let overdue = |sent_at| self.record_overdue(sent_at, Duration::ZERO);
        read_timely(scan(), scan, timing, overdue).await
    }

    async fn read_changes(
        &mut self,
        subset: Option<&mut SubsetReader>,
    ) -> Result<Progress, ReadError> {
        let since = self.sender.borrow().version;
        let long_poll_timeout = match self.immediate_polls {
            0 => self.timing.long_poll_timeout.now(),
            _ => Duration::ZERO,
        };
        self.immediate_polls = self.immediate_polls.saturating_sub(1);
        let more_demanded = async {
            match subset {
                Some(subset) => subset.more_demanded().await,
                None => std::future::pending().await,
            }
        };
        let read = tokio::select! {
            read = self.poll(since, long_poll_timeout) => read?,
            () = more_demanded => return Ok(Progress::NeedsMoreRows),
        };
        let partitions = self.partitions.clone();
        self.publish(read.requested_at, |view| {
            apply(view, read.answer, &partitions);
        });
        Ok(Progress::UpToDate)
    }

    /// Polls for changes. Repetitions do not wait for a change.
    async fn poll(
        &mut self,
        since: RowVersion,
        long_poll_timeout: Duration,
    ) -> Result<TimedAnswer<Changes>, ReadError> {
        let (table, name) = (Arc::clone(&self.table), self.name.clone());
        let poll = table.changes(&name, since, long_poll_timeout);
        let repeat = || table.changes(&name, since, Duration::ZERO);
        let timing = self.timing.repeat_timing(long_poll_timeout);
        let overdue = |sent_at| self.record_overdue(sent_at, long_poll_timeout);
        read_timely(poll, repeat, timing, overdue).await
    }

    /// Removes all rows outside of these ranges from the view.
    fn retain_ranges(&self, ranges: KeyRanges) {
        self.sender.send_modify(|current| {
            let view = Arc::make_mut(current);
            view.rows.retain(|key, _| ranges.contains(key));
            view.ranges = ranges;
        });
    }

    fn publish(&self, requested_at: BootInstant, change: impl FnOnce(&mut TableView)) {
        self.sender.send_modify(|current| {
            let view = Arc::make_mut(current);
            change(view);
            view.requested_at = Some(requested_at);
            view.confirmed_at = Some(BootInstant::now());
        });
    }

    /// Records that a read is pending for long and will be repeated.
    fn record_overdue(&mut self, sent_at: BootInstant, long_poll_timeout: Duration) {
        telemetry::read_repeated(&self.name);
        self.table.distrust_connections(sent_at);
        if self.overdue.is_some() {
            return;
        }
        let requested_at = self.sender.borrow().requested_at;
        let overdue = self.overdue.insert(OverdueView { requested_at });
        let latency = self.table.read_latency();
        events::emit(&Event::ViewOverdue {
            table: &self.name,
            age_ms: overdue.age_ms(),
            pending_ms: whole_millis(sent_at.elapsed()),
            long_poll_ms: whole_millis(long_poll_timeout),
            timeout_ms: whole_millis(latency.timeout),
            last_answer_ms: latency.answered_at.map(|at| whole_millis(at.elapsed())),
        });
    }

    fn record_answer(&mut self) {
        if let Some(overdue) = self.overdue.take() {
            events::emit(&Event::ViewConfirmed {
                table: &self.name,
                age_ms: overdue.age_ms(),
            });
        }
        if std::mem::take(&mut self.interrupted) {
            let table = &self.name;
            events::emit(&Event::DependencyRegained { dependency: table });
        }
    }

    fn record_interruption(&mut self) {
        self.sender.send_modify(|current| {
            Arc::make_mut(current).interruptions += 1;
        });
        if !std::mem::replace(&mut self.interrupted, true) {
            let table = &self.name;
            events::emit(&Event::DependencyLost { dependency: table });
        }
    }
}

/// Reads all rows of these partitions. The version is that of the first read: changes since then
/// may be in the later reads already, and are applied again.
async fn scan_partitions(
    table: &dyn Table,
    name: &str,
    partitions: &[String],
) -> Result<Page, ReadError> {
    let mut collected: Option<Page> = None;
    for partition in partitions {
        let page = scan_all(table, KeyRange::all(name, partition)).await?;
        match &mut collected {
            Some(collected) => collected.rows.extend(page.rows),
            None => collected = Some(page),
        }
    }
    Ok(collected.unwrap_or_default())
}

fn apply(view: &mut TableView, changes: Changes, partitions: &[String]) {
    let ranges = view.ranges.clone();
    let is_in_view = |address: &RowAddress| {
        partitions.contains(&address.partition) && ranges.contains(&address.key)
    };
    for change in changes.changes {
        match change {
            Change::Written(row) if is_in_view(&row.address) => {
                view.rows.insert(row.address.key.clone(), row);
            }
            Change::Deleted(address) if is_in_view(&address) => {
                view.rows.remove(&address.key);
            }
            Change::Written(_) | Change::Deleted(_) => {}
        }
    }
    view.version = view.version.max(changes.version);
}

#[cfg(test)]
mod tests;
