//! The holder of the reports' lease, for one term.
//!
//! Each window goes the same way: its pieces are read and added up, the sum is committed
//! under the term's fence in place of the window before, and sent until it is taken. A
//! successor finds the committed sum and sends it once more before it goes on, so a window
//! is never reported with two sums. Reports are sent within order windows, so those of two
//! holders lie apart.

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

/// How long a step of this holder waits at most, and after a failure.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long an answer to a report may take. It must come within the order window.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause after a report that was not taken, and its bound: calls have a price, and
/// what takes them is away for seconds.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// How often the agreed clock is looked at. Two clocks drift apart by under 0.1 ms a
/// second.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(600);
/// How soon it is looked at again at the beginning of a term: nodes that start together
/// have not all told what they see when the first of them holds the lease.
const INITIAL_CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(4);
/// The agreed clock is changed only if it is off by more than this: nodes count by what
/// they know of it, and a change puts a few requests into the window beside theirs.
const CLOCK_TOLERANCE_MS: u64 = 50;

/// What the holder of the reports' lease does.
pub(crate) struct UsageReportTask {
    /// The node's parts.
    pub(crate) context: Arc<NodeContext>,
    /// What this node counts.
    pub(crate) usage: Arc<NodeUsage>,
    /// Whoever takes the reports.
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

/// The holder of the reports' lease, for one term.
struct UsageReporter {
    context: Arc<NodeContext>,
    usage: Arc<NodeUsage>,
    recipient: Arc<dyn UsageRecipient>,
    term: Term,
    order_window: OrderWindow,
    schedule: ReportSchedule,
    /// The window to report next; nothing before the first one ever is known.
    next: Option<WindowNumber>,
    /// The version of the row that holds the report committed last. Each commit demands
    /// it, so that one without an answer cannot take effect after a later one.
    row_version: Option<RowVersion>,
    /// Since when the table has been answering without a break, as far as seen.
    answering_since: BootInstant,
    clock_checked_at: Option<BootInstant>,
    clock_checks: u32,
}

impl UsageReporter {
    /// Reports until the term is over.
    async fn run(mut self) {
        let (ended, releasing) = (self.term.ended.clone(), self.term.releasing.clone());
        tokio::select! {
            () = ended.cancelled() => {}
            () = releasing.cancelled() => {}
            () = self.report_windows() => {}
        }
    }

    async fn report_windows(&mut self) {
        if let Some(last) = self.read_committed().await {
            // The holder before may not have heard whether it was taken.
            self.send(&last).await;
            self.next = Some(last.window.next());
        }
        loop {
            self.agree_on_clock().await;
            match self.next_action() {
                ReportAction::Wait(time) => self.pause(time.min(POLL_INTERVAL)).await,
                ReportAction::Report(window) => match self.commit_report(window).await {
                    Some(report) => {
                        self.send(&report).await;
                        self.next = Some(window.next());
                    }
                    None => self.pause(POLL_INTERVAL).await,
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

    async fn pause(&mut self, time: Duration) {
        tokio::time::sleep(time).await;
        if !self.context.table.is_answering() {
            self.answering_since = BootInstant::now();
        }
    }

    /// The report that was committed last, by whatever holder; waits for the table. A row
    /// that cannot be read ends the term: without it a window could be told twice.
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
            self.pause(POLL_INTERVAL).await;
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

    /// Adds a window up and commits the sum. Nothing if the table did not let it; it is
    /// then tried again from the beginning.
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
        let counted = report.total_requests();
        let committed = match commit {
            Ok(Commit::Done(version)) => {
                self.row_version = Some(version);
                report
            }
            Ok(Commit::Conflict(rows)) => self.adopt(window, &rows)?,
            // It may have been done; the next attempt conflicts then, and adopts it.
            Err(_) => return None,
        };
        // An earlier attempt was committed before the last pieces came.
        let too_late = counted.saturating_sub(committed.total_requests());
        log_uncounted(window, &pieces, too_late);
        self.delete_pieces(&page).await;
        Some(committed)
    }

    /// The sum of a window that an earlier attempt of this term has committed without an
    /// answer. The term is over if it is the fence that did not hold.
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

    /// Pieces that are in a committed sum are needed no more. Those that stay, because the
    /// table did not answer, are found again with the next window.
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

    /// Sends a committed report until it is taken, or will never be.
    async fn send(&mut self, report: &UsageReport) {
        let holder = self.term.holder(&self.context.settings);
        let mut retry = MIN_RETRY_DELAY;
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
            self.pause(retry).await;
            retry = (retry * 2).min(MAX_RETRY_DELAY);
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

    /// Sees now and then whether the agreed clock still fits what the nodes see.
    async fn agree_on_clock(&mut self) {
        let period = match self.clock_checks {
            0 | 1 => INITIAL_CLOCK_CHECK_INTERVAL,
            _ => CLOCK_CHECK_INTERVAL,
        };
        let checked_at = self.clock_checked_at;
        if checked_at.is_some_and(|at| at.elapsed() < period) {
            return;
        }
        if self.try_agree_on_clock().await.is_some() {
            self.clock_checked_at = Some(BootInstant::now());
            self.clock_checks = self.clock_checks.saturating_add(1);
        }
    }

    /// Nothing if the table does not answer, or nobody knows its clock.
    async fn try_agree_on_clock(&self) -> Option<()> {
        let table = &*self.context.table;
        let mut seen = read_clock_leads(table).await.ok()?;
        seen.extend(measured_offset(table));
        let nodes = seen.len();
        let agreed = median_offset(seen)?;
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

/// Tells of requests that came too late for their report: those of pieces of windows before
/// this one, which an earlier holder may also have counted and not deleted, and others.
fn log_uncounted(window: WindowNumber, pieces: &[UsagePiece], others: u64) {
    let left = pieces.iter().filter(|piece| piece.window < window);
    let of_pieces: u64 = left.flat_map(|piece| piece.counts.values()).sum();
    let requests = of_pieces + others;
    if requests > 0 {
        events::emit(&Event::UsageLeft {
            window: window.0,
            requests,
        });
    }
}
