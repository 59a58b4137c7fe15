//! The task of the report lease's holder, for one term.
//!
//! For each window in order, the holder reads and sums the pieces, commits the sum under the
//! term's fence (replacing the previous window's sum), and sends it until it is accepted. A
//! successor resends the committed sum before it continues, so a window is never reported with
//! two different sums. Reports are sent only within order windows, so reports of two holders do
//! not overlap.

use super::node_usage::decode_piece;
use super::recipient::ReportAnswer;
use super::wall_clock::{agreed_offset, measured_offset};
use super::{NodeUsage, UsageRecipient};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::{LeaseTask, OrderWindow, Term};
use crate::relay::peers::read_clock_leads;
use crate::rows;
use crate::table::{Commit, Page, Row, Transaction, read_row, scan_all};
use crate::telemetry;
use futures_util::future::BoxFuture;
use sloetrail_clock::BootInstant;
use sloetrail_types::RowVersion;
use sloetrail_usage::{
    ReportAction, ReportSchedule, UsagePiece, UsageReport, WindowNumber, median_offset,
};
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait between checks, and the delay after a failure.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Must fit in an order window.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Bounds of the exponential backoff between sends of a report. An outage of the recipient lasts
/// seconds.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Two clocks drift apart by less than 0.1 ms per second.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(600);
/// Interval at the start of a term, when not all nodes may have published their offset yet.
const INITIAL_CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(4);
/// The agreed offset is updated only above this difference, since an update moves a few requests
/// to an adjacent window.
const CLOCK_TOLERANCE_MS: u64 = 50;

/// Reports usage while this node holds the report lease.
pub(crate) struct UsageReportTask {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) usage: Arc<NodeUsage>,
    pub(crate) recipient: Arc<dyn UsageRecipient>,
}

impl LeaseTask for UsageReportTask {
    fn run(&self, term: Term) -> BoxFuture<'static, ()> {
        let reporter = UsageReporter {
            schedule: self.usage.schedule(),
            context: Arc::clone(&self.context),
            usage: Arc::clone(&self.usage),
            recipient: Arc::clone(&self.recipient),
            term,
            order_window: OrderWindow::default(),
            next: None,
            row_version: None,
            answering_since: BootInstant::now(),
            clock_checked_at: None,
            clock_checks: 0,
        };
        Box::pin(reporter.run())
    }
}

/// State of the report lease's holder for one term.
struct UsageReporter {
    context: Arc<NodeContext>,
    usage: Arc<NodeUsage>,
    recipient: Arc<dyn UsageRecipient>,
    term: Term,
    order_window: OrderWindow,
    schedule: ReportSchedule,
    /// The window to report next, or None until the first window is known.
    next: Option<WindowNumber>,
    /// The version of the row with the last committed report. Each commit requires it, so that
    /// an unanswered commit cannot take effect after a later one.
    row_version: Option<RowVersion>,
    /// Start of the observed period in which the table has answered without interruption.
    answering_since: BootInstant,
    clock_checked_at: Option<BootInstant>,
    clock_checks: u32,
}

impl UsageReporter {
    /// Reports windows until the term ends or the lease is released.
    async fn run(mut self) {
        let (ended, releasing) = (self.term.ended.clone(), self.term.releasing.clone());
        tokio::select! {
            () = ended.cancelled() => {}
            () = releasing.cancelled() => {}
            () = self.report_windows() => {}
        }
    }

    async fn report_windows(&mut self) {
        if let Some(committed) = self.read_committed().await {
            // The previous holder may not have received the answer.
            self.send(&committed).await;
            self.next = Some(committed.window.next());
        }
        loop {
            self.agree_on_clock().await;
            match self.next_action() {
                ReportAction::Wait(time) => self.wait(time.min(POLL_INTERVAL)).await,
                ReportAction::Report(window) => match self.commit_report(window).await {
                    Some(report) => {
                        self.send(&report).await;
                        self.next = Some(window.next());
                    }
                    None => self.wait(POLL_INTERVAL).await,
                },
            }
        }
    }

    fn next_action(&mut self) -> ReportAction {
        let Some(wall_ms) = self.usage.wall_ms() else {
            return ReportAction::Wait(POLL_INTERVAL);
        };
        let first = self.schedule.first(wall_ms);
        let window = *self.next.get_or_insert(first);
        let answering_for = self.answering_since.elapsed();
        self.schedule.next_action(window, wall_ms, answering_for)
    }

    async fn wait(&mut self, time: Duration) {
        tokio::time::sleep(time).await;
        if !self.context.table.is_answering() {
            self.answering_since = BootInstant::now();
        }
    }

    /// Reads the last committed report of any holder. Waits for the table. An unreadable row ends
    /// the term, since without it a window could be reported twice.
    async fn read_committed(&mut self) -> Option<UsageReport> {
        loop {
            let row = read_row(&*self.context.table, &rows::usage_report()).await;
            match row {
                Ok(None) => return None,
                Ok(Some(row)) => match self.accept_row(&row) {
                    Some(report) => return Some(report),
                    None => self.term.ended.cancel(),
                },
                Err(_) => {}
            }
            self.wait(POLL_INTERVAL).await;
        }
    }

    fn accept_row(&mut self, row: &Row) -> Option<UsageReport> {
        self.row_version = Some(row.version);
        match serde_json::from_slice(&row.value) {
            Ok(report) => Some(report),
            Err(error) => {
                events::emit(&Event::RowUnreadable {
                    table: rows::USAGE_REPORTS,
                    key: &row.address.key,
                    detail: &error.to_string(),
                });
                None
            }
        }
    }

    /// Sums a window and commits the sum. Returns None if the table failed; the caller then
    /// starts over.
    async fn commit_report(&mut self, window: WindowNumber) -> Option<UsageReport> {
        let range = rows::usage_pieces_until(window);
        let page = scan_all(&*self.context.table, range).await.ok()?;
        let pieces = pieces_in(&page);
        let report = UsageReport::from_pieces(window, &pieces);
        let value = serde_json::to_vec(&report).unwrap_or_default();
        let address = rows::usage_report();
        let transaction = self.term.transaction();
        let transaction = transaction.require(address.clone(), self.row_version);
        let commit = self
            .context
            .table
            .commit(&transaction.put(address, value))
            .await;
        let total = report.total_requests();
        let committed = match commit {
            Ok(Commit::Done(version)) => {
                self.row_version = Some(version);
                report
            }
            Ok(Commit::Conflict(rows)) => self.adopt(window, &rows)?,
            // If the commit took effect, the next attempt conflicts and adopts it.
            Err(_) => return None,
        };
        // An adopted sum of an earlier attempt may lack pieces that were written later.
        let uncounted = total.saturating_sub(committed.total_requests());
        log_uncounted(window, &pieces, uncounted);
        self.delete_pieces(&page).await;
        Some(committed)
    }

    /// Returns the sum of this window that an earlier, unanswered attempt of this term committed.
    /// Ends the term if the conflict has another cause, such as a lost fence.
    fn adopt(&mut self, window: WindowNumber, current: &[Row]) -> Option<UsageReport> {
        let address = rows::usage_report();
        let row = current.iter().find(|row| row.address == address);
        let is_own = row.is_some_and(|row| Some(row.version) != self.row_version);
        let report = row.filter(|_| is_own).and_then(|row| self.accept_row(row));
        let report = report.filter(|report| report.window == window);
        if report.is_none() {
            self.term.ended.cancel();
        }
        report
    }

    /// Deletes pieces that a committed sum covers. Pieces that remain after a table failure are
    /// deleted with the next window.
    async fn delete_pieces(&self, page: &Page) {
        let entries = self.context.table.limits().transaction_entries;
        for group in page.rows.chunks(entries) {
            let mut transaction = Transaction::new();
            transaction.deletes = group.iter().map(|row| row.address.clone()).collect();
            if self.context.table.commit(&transaction).await.is_err() {
                return;
            }
        }
    }

    /// Sends a committed report until it is accepted or permanently rejected.
    async fn send(&mut self, report: &UsageReport) {
        let holder = self.term.holder(&self.context.settings);
        let mut delay = MIN_RETRY_DELAY;
        loop {
            if !self.order_window.is_open() {
                self.order_window.open(&self.context, &self.term).await;
            }
            if self.order_window.is_open() {
                let answer = self.recipient.report(report, &holder, REPORT_TIMEOUT).await;
                self.log_answer(report, answer);
                match answer {
                    ReportAnswer::Accepted | ReportAnswer::Refused(_) => return,
                    ReportAnswer::Fenced => self.term.ended.cancel(),
                    ReportAnswer::RetryLater => {}
                }
            }
            self.wait(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn log_answer(&self, report: &UsageReport, answer: ReportAnswer) {
        telemetry::usage_reported(answer.as_str());
        let windows = self.schedule.windows();
        let end_ms = windows.end_ms(report.window);
        let wall_ms = self.usage.wall_ms().unwrap_or(end_ms);
        events::emit(&Event::UsageReported {
            window: report.window.0,
            tenants: report.counts.len(),
            requests: report.total_requests(),
            epoch: self.term.epoch.0,
            after_end_ms: wall_ms.saturating_sub(end_ms),
            outcome: answer.as_str(),
            status: answer.status(),
        });
    }

    /// Periodically checks the agreed clock offset against the measurements of the nodes.
    async fn agree_on_clock(&mut self) {
        let interval = match self.clock_checks {
            0 | 1 => INITIAL_CLOCK_CHECK_INTERVAL,
            _ => CLOCK_CHECK_INTERVAL,
        };
        let checked_at = self.clock_checked_at;
        if checked_at.is_some_and(|at| at.elapsed() < interval) {
            return;
        }
        if self.try_agree_on_clock().await.is_some() {
            self.clock_checked_at = Some(BootInstant::now());
            self.clock_checks = self.clock_checks.saturating_add(1);
        }
    }

    /// Returns None if the table fails or no node has measured its clock.
    async fn try_agree_on_clock(&self) -> Option<()> {
        let table = &*self.context.table;
        let mut measured = read_clock_leads(table).await.ok()?;
        measured.extend(measured_offset(table));
        let nodes = measured.len();
        let agreed = median_offset(measured)?;
        let known = agreed_offset(&self.context.leases.borrow());
        if known.is_some_and(|known| known.distance(agreed) <= CLOCK_TOLERANCE_MS) {
            return Some(());
        }
        let value = serde_json::to_vec(&agreed).unwrap_or_default();
        let transaction = self.term.transaction().put(rows::wall_clock(), value);
        match table.commit(&transaction).await.ok()? {
            Commit::Done(_) => events::emit(&Event::WallClockAgreed {
                lead_ms: agreed.0,
                nodes,
            }),
            Commit::Conflict(_) => self.term.ended.cancel(),
        }
        Some(())
    }
}

fn pieces_in(page: &Page) -> Vec<UsagePiece> {
    let rows = page.rows.iter();
    rows.filter_map(|row| decode_piece(&row.address.key, &row.value))
        .collect()
}

/// Logs requests that are missing from the report of their window: `others`, and those in pieces
/// of earlier windows. The latter may include pieces that were counted but not deleted.
fn log_uncounted(window: WindowNumber, pieces: &[UsagePiece], others: u64) {
    let late = pieces.iter().filter(|piece| piece.window < window);
    let late_counts = late.flat_map(|piece| piece.counts.values());
    let requests = late_counts.fold(others, |total, count| total.saturating_add(*count));
    if requests > 0 {
        events::emit(&Event::UsageLeft {
            window: window.0,
            requests,
        });
    }
}
