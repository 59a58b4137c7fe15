//! Following a table: its rows in memory, kept up to date by its changes.

mod held;
mod pace;

pub(crate) use held::HeldReading;
pub use pace::{FleetSize, FollowPace, FollowPaces, OwnedService, Pacing};

use crate::directory_index::KeyRanges;
use crate::events::{self, Event};
use crate::retry_backoff::RetryBackoff;
use crate::table::{Change, Changes, KeyRange, ReadError, Row, RowAddress, Table, scan_all};
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// An answer is late that comes this much after the time for which it may be held, and a
/// pause is that lasts so much longer than it should.
const LATE_ANSWER: Duration = Duration::from_millis(400);

/// The first question after a late answer may go out before the rest of the process has
/// noticed that it stood still, and then does not count as asked since.
const HURRIED_QUESTIONS: u32 = 2;

/// A table's rows as of one moment.
#[derive(Clone, Debug)]
pub struct TableView {
    /// The rows of the partition that is followed, by key.
    pub rows: BTreeMap<String, Row>,
    /// Which keys these are; others are left out.
    pub(crate) ranges: KeyRanges,
    /// The version up to which changes are taken in.
    pub version: RowVersion,
    /// When the table last confirmed the view; nothing before the first time.
    pub confirmed_at: Option<BootInstant>,
    /// When the question was asked that was answered last.
    pub asked_at: Option<BootInstant>,
    /// Grows each time that the table could not be asked.
    pub interruptions: u64,
}

impl TableView {
    /// The view of a table that was not read yet.
    pub(crate) fn empty() -> Self {
        Self {
            rows: BTreeMap::new(),
            ranges: KeyRanges::whole(),
            version: RowVersion(0),
            confirmed_at: None,
            asked_at: None,
            interruptions: 0,
        }
    }

    /// How old the view is at most; nothing if it was never confirmed.
    pub fn age(&self, now: BootInstant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }
}

/// A view that is kept up to date.
pub type ViewReceiver = watch::Receiver<Arc<TableView>>;

/// When the question was asked whose answer was taken in last. The view itself, if it
/// were held, would have to be copied at each change.
pub type TakenIn = watch::Receiver<Option<BootInstant>>;

/// Follows one partition of a table until every receiver is dropped.
pub fn follow(
    table: Arc<dyn Table>,
    name: impl Into<String>,
    partition: impl Into<String>,
    pace: FollowPace,
) -> ViewReceiver {
    start(table, (name.into(), partition.into()), pace, None)
}

/// Follows as much of the directory as a node wants, until every receiver is dropped.
pub(crate) fn follow_directory(
    table: Arc<dyn Table>,
    name: impl Into<String>,
    pace: FollowPace,
    held: HeldReading,
) -> ViewReceiver {
    start(table, (name.into(), String::new()), pace, Some(held))
}

fn start(
    table: Arc<dyn Table>,
    (name, partition): (String, String),
    pace: FollowPace,
    held: Option<HeldReading>,
) -> ViewReceiver {
    let (sender, receiver) = watch::channel(Arc::new(TableView::empty()));
    let follower = Follower {
        table,
        name,
        partition,
        pace,
        held,
        sender,
        interrupted: false,
        hurried: 0,
    };
    tokio::spawn(follower.run());
    receiver
}

/// What a step of a follower has come to.
enum Progress {
    /// The view is as the table was.
    UpToDate,
    /// More rows are wanted than the view holds.
    MoreWanted,
}

struct Follower {
    table: Arc<dyn Table>,
    name: String,
    partition: String,
    pace: FollowPace,
    /// Present if only a part of the rows may be wanted.
    held: Option<HeldReading>,
    sender: watch::Sender<Arc<TableView>>,
    interrupted: bool,
    /// So many of the next questions are to be answered at once, with or without changes:
    /// the view is out of date, and who waits for it need not wait for a change.
    hurried: u32,
}

impl Follower {
    async fn run(mut self) {
        let mut held = self.held.take();
        let mut must_read_all = true;
        let mut retry = RetryBackoff::new();
        while !self.sender.is_closed() {
            let step = match must_read_all {
                true => self.read_all(held.as_mut()).await,
                false => self.read_changes(held.as_mut()).await,
            };
            match step {
                Ok(Progress::UpToDate) => {
                    retry.reset();
                    self.note_answer();
                    must_read_all = self.rest(held.as_mut()).await;
                }
                Ok(Progress::MoreWanted) | Err(ReadError::HistoryLost) => must_read_all = true,
                Err(ReadError::Unavailable) => {
                    self.note_interruption();
                    retry.wait(&*self.table).await;
                }
            }
        }
    }

    /// Pauses between two questions. True if the next one must be for all rows that are
    /// wanted.
    async fn rest(&mut self, held: Option<&mut HeldReading>) -> bool {
        let Some(held) = held else {
            self.pause().await;
            return false;
        };
        let view = Arc::clone(&self.sender.borrow());
        if let Some(ranges) = held.fewer_ranges(&view) {
            drop(view);
            self.hold_only(ranges);
        }
        let view = Arc::clone(&self.sender.borrow());
        held.keep_index(&*self.table, &view).await;
        // A view that is held while it changes is copied.
        drop(view);
        tokio::select! {
            () = held.wants_more() => true,
            () = self.pause() => false,
        }
    }

    /// Lets changes gather. After an answer or a pause that took too long, because this
    /// process or the table stood still, the next question goes out at once, and it and the
    /// one after it are not held open.
    async fn pause(&mut self) {
        let asked_at = self.sender.borrow().asked_at;
        let late_from = self.pace.wait.now() + LATE_ANSWER;
        let mut is_late = asked_at.is_some_and(|asked_at| asked_at.elapsed() > late_from);
        if !is_late {
            let began = BootInstant::now();
            let pause = self.pace.pause.now();
            tokio::time::sleep(pause).await;
            is_late = began.elapsed() > pause + LATE_ANSWER;
        }
        if is_late {
            self.hurried = HURRIED_QUESTIONS;
        }
    }

    async fn read_all(&self, held: Option<&mut HeldReading>) -> Result<Progress, ReadError> {
        let asked_at = BootInstant::now();
        let (page, ranges) = match held {
            Some(held) => held.read(&*self.table, &self.name).await?.into_parts(),
            None => {
                let range = KeyRange::all(&self.name, &self.partition);
                let page = scan_all(&*self.table, range).await?;
                (page, KeyRanges::whole())
            }
        };
        let rows = page.rows.into_iter();
        self.publish(asked_at, |view| {
            view.rows = rows.map(|row| (row.address.key.clone(), row)).collect();
            view.ranges = ranges;
            view.version = page.version;
        });
        Ok(Progress::UpToDate)
    }

    async fn read_changes(
        &mut self,
        held: Option<&mut HeldReading>,
    ) -> Result<Progress, ReadError> {
        let asked_at = BootInstant::now();
        let since = self.sender.borrow().version;
        let wait = match self.hurried {
            0 => self.pace.wait.now(),
            _ => Duration::ZERO,
        };
        self.hurried = self.hurried.saturating_sub(1);
        let more_wanted = async {
            match held {
                Some(held) => held.wants_more().await,
                None => std::future::pending().await,
            }
        };
        let changes = tokio::select! {
            changes = self.table.changes(&self.name, since, wait) => changes?,
            () = more_wanted => return Ok(Progress::MoreWanted),
        };
        let partition = self.partition.clone();
        self.publish(asked_at, |view| apply(view, changes, &partition));
        Ok(Progress::UpToDate)
    }

    /// Leaves out what lies outside of some ranges.
    fn hold_only(&self, ranges: KeyRanges) {
        self.sender.send_modify(|current| {
            let view = Arc::make_mut(current);
            view.rows.retain(|key, _| ranges.contains(key));
            view.ranges = ranges;
        });
    }

    fn publish(&self, asked_at: BootInstant, change: impl FnOnce(&mut TableView)) {
        self.sender.send_modify(|current| {
            let view = Arc::make_mut(current);
            change(view);
            view.asked_at = Some(asked_at);
            view.confirmed_at = Some(BootInstant::now());
        });
    }

    fn note_answer(&mut self) {
        if std::mem::take(&mut self.interrupted) {
            let table = &self.name;
            events::emit(&Event::DependencyRegained { dependency: table });
        }
    }

    fn note_interruption(&mut self) {
        self.sender.send_modify(|current| {
            Arc::make_mut(current).interruptions += 1;
        });
        if !std::mem::replace(&mut self.interrupted, true) {
            let table = &self.name;
            events::emit(&Event::DependencyLost { dependency: table });
        }
    }
}

fn apply(view: &mut TableView, changes: Changes, partition: &str) {
    let ranges = view.ranges.clone();
    let is_held =
        |address: &RowAddress| address.partition == partition && ranges.contains(&address.key);
    for change in changes.changes {
        match change {
            Change::Written(row) if is_held(&row.address) => {
                view.rows.insert(row.address.key.clone(), row);
            }
            Change::Deleted(address) if is_held(&address) => {
                view.rows.remove(&address.key);
            }
            Change::Written(_) | Change::Deleted(_) => {}
        }
    }
    view.version = view.version.max(changes.version);
}

#[cfg(test)]
mod tests;
