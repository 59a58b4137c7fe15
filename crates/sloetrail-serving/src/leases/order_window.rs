//! The window within which the holder of a lease may give orders.
//!
//! Recipients of orders do not compare fences, so the orders of two holders must not overlap. A
//! holder commits a window before it gives orders, and gives them only while the window is open
//! on its own clock, counted from before the commit. A new holder reads the window of its
//! predecessor and waits until the window has ended on the table's clock and the configured gap
//! between two owners has passed. It does not wait if the predecessor's window ended long
//! enough ago.

use super::Term;
use crate::context::NodeContext;
use crate::rows;
use crate::table::{Commit, Table, read_row};
use serde::{Deserialize, Serialize};
use sloetrail_clock::BootInstant;
use sloetrail_types::Timestamp;
use std::time::Duration;

const WINDOW: Duration = Duration::from_millis(500);
/// A window is extended by this multiple of the last commit time, so that enough of it remains
/// after the commit.
const COMMIT_TIME_FACTOR: u32 = 2;
const MAX_WINDOW: Duration = Duration::from_secs(5);
/// Upper bound of the error of the table's estimated clock.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// Minimum time left in the window to start an order.
const MIN_REMAINING: Duration = Duration::from_millis(150);

#[derive(Debug, Serialize, Deserialize)]
struct StoredWindow {
    node: String,
    /// End of the window on the table's clock.
    #[serde(rename = "until_ms")]
    until: Timestamp,
}

/// The order window of one term.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderWindow {
    open_until: Option<BootInstant>,
    /// When the gap after the predecessor's window has passed, on the table's clock. None until
    /// it has been read.
    not_before: Option<Timestamp>,
    /// Duration of the last commit of a window.
    commit_time: Duration,
}

impl OrderWindow {
    /// Creates a window that stays open for this time.
    #[cfg(test)]
    pub(crate) fn open_for(time: Duration) -> Self {
        Self {
            open_until: Some(BootInstant::now() + time),
            ..Self::default()
        }
    }

    /// Returns whether an order can still be given and sent before the window ends.
    pub(crate) fn is_open(&self) -> bool {
        let latest = BootInstant::now() + MIN_REMAINING;
        self.open_until.is_some_and(|until| latest < until)
    }

    /// Opens or extends the window, unless the gap after the predecessor's window has not
    /// passed yet.
    pub(crate) async fn open(&mut self, context: &NodeContext, term: &Term) {
        let Some(now) = context.table.now_ms().map(Timestamp) else {
            return;
        };
        if !self.is_past_gap(context, term, now).await {
            return;
        }
        let started_at = BootInstant::now();
        let length = (WINDOW + self.commit_time * COMMIT_TIME_FACTOR).min(MAX_WINDOW);
        let window = StoredWindow {
            node: context.settings.node.clone(),
            until: now.after(length + CLOCK_MARGIN),
        };
        let value = serde_json::to_vec(&window).unwrap_or_default();
        let address = rows::order_window(term.resource.name());
        let transaction = term.transaction().put(address, value);
        let commit = context.table.commit(&transaction).await;
        self.commit_time = started_at.elapsed();
        match commit {
            Ok(Commit::Done(_)) => self.open_until = Some(started_at + length),
            Ok(Commit::Conflict(_)) => term.ended.cancel(),
            // The write may still take effect, which only makes a successor wait longer.
            Err(_) => {}
        }
    }

    /// Returns whether the gap after the last window of the term's lease has passed, whichever node
    /// opened it. False if the window cannot be read.
    pub(crate) async fn is_past(context: &NodeContext, term: &Term) -> bool {
        let now = context.table.now_ms().map(Timestamp);
        let gap = context.settings.bounds.order_gap;
        match (now, read_window(context, term).await) {
            (Some(now), Some(window)) => window.is_none_or(|window| now >= window.until.after(gap)),
            _ => false,
        }
    }

    async fn is_past_gap(&mut self, context: &NodeContext, term: &Term, now: Timestamp) -> bool {
        if self.not_before.is_none() {
            self.not_before = not_before(context, term).await;
        }
        self.not_before.is_some_and(|not_before| now >= not_before)
    }
}

/// Returns when this term's owner may start to give orders, on the table's clock. None if the
/// predecessor's window cannot be read.
async fn not_before(context: &NodeContext, term: &Term) -> Option<Timestamp> {
    let window = read_window(context, term).await?;
    let by_other = window.filter(|window| window.node != context.settings.node);
    let gap = context.settings.bounds.order_gap;
    Some(by_other.map_or(Timestamp::default(), |window| window.until.after(gap)))
}

/// Returns the last window of a term's lease, or None if there is none. The outer value is None if
/// it cannot be read.
async fn read_window(context: &NodeContext, term: &Term) -> Option<Option<StoredWindow>> {
    let table: &dyn Table = &*context.table;
    let address = rows::order_window(term.resource.name());
    match read_row(table, &address).await.ok()? {
        Some(row) => serde_json::from_slice(&row.value).ok()?,
        None => Some(None),
    }
}
