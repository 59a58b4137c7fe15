//! When the holder of a lease may give orders, to engines or to others who do as it says.
//!
//! Who takes orders does not compare fences, and two holders must not take turns. So a holder
//! commits a window before it gives orders, and gives them only while the window is
//! open by its own clock, counted from before the commit. A new holder reads the
//! window of the one before and waits until it is over, by the table's clock, and
//! the gap that must lie between two owners has passed. Where the last owner gave
//! no orders lately there is nothing to wait for.

use super::Term;
use crate::context::NodeContext;
use crate::rows;
use crate::table::{Commit, Table, read_row};
use serde::{Deserialize, Serialize};
use sloetrail_clock::BootInstant;
use std::time::Duration;

const WINDOW: Duration = Duration::from_millis(500);
/// A window is longer by this many times what the last one took to commit: of a shorter
/// one nothing would be left once it is committed.
const COMMIT_TIMES: u32 = 2;
const WINDOW_MOST: Duration = Duration::from_secs(5);
/// The table's clock is known to within less than this.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// An order is not begun with less of the window left than this.
const LEFT_LEAST: Duration = Duration::from_millis(150);

#[derive(Debug, Serialize, Deserialize)]
struct StoredWindow {
    /// The node that may give orders.
    node: String,
    /// Until when, in milliseconds of the table's clock.
    until_ms: u64,
}

/// The order window of one term.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderWindow {
    open_until: Option<BootInstant>,
    /// When the gap after the last owner's window has passed, by the table's clock.
    not_before_ms: Option<u64>,
    /// How long the last commit of a window took.
    commit_time: Duration,
}

impl OrderWindow {
    /// A window that is open for so long.
    #[cfg(test)]
    pub(crate) fn open_for(time: Duration) -> Self {
        Self {
            open_until: Some(BootInstant::now() + time),
            ..Self::default()
        }
    }

    /// True if an order may be given now, and be on its way before the window ends.
    pub(crate) fn is_open(&self) -> bool {
        let latest = BootInstant::now() + LEFT_LEAST;
        self.open_until.is_some_and(|until| latest < until)
    }

    /// Opens a window, or prolongs it, if it may be open by now.
    pub(crate) async fn open(&mut self, context: &NodeContext, term: &Term) {
        let Some(now_ms) = context.table.now_ms() else {
            return;
        };
        if !self.is_past_gap(context, term, now_ms).await {
            return;
        }
        let began = BootInstant::now();
        let length = (WINDOW + self.commit_time * COMMIT_TIMES).min(WINDOW_MOST);
        let window = StoredWindow {
            node: context.settings.node.clone(),
            until_ms: now_ms + (length + CLOCK_MARGIN).as_millis() as u64,
        };
        let value = serde_json::to_vec(&window).unwrap_or_default();
        let address = rows::order_window(term.resource.name());
        let transaction = term.transaction().put(address, value);
        let commit = context.table.commit(&transaction).await;
        self.commit_time = began.elapsed();
        match commit {
            Ok(Commit::Done(_)) => self.open_until = Some(began + length),
            Ok(Commit::Conflict(_)) => term.ended.cancel(),
            // It may be done later, which only makes a successor wait longer.
            Err(_) => {}
        }
    }

    async fn is_past_gap(&mut self, context: &NodeContext, term: &Term, now_ms: u64) -> bool {
        if self.not_before_ms.is_none() {
            self.not_before_ms = not_before_ms(context, term).await;
        }
        self.not_before_ms
            .is_some_and(|not_before_ms| now_ms >= not_before_ms)
    }
}

/// From when on this term's owner may give orders; nothing if it cannot be read.
async fn not_before_ms(context: &NodeContext, term: &Term) -> Option<u64> {
    let table: &dyn Table = &*context.table;
    let row = read_row(table, &rows::order_window(term.resource.name()))
        .await
        .ok()?;
    let Some(row) = row else {
        return Some(0);
    };
    let window: StoredWindow = serde_json::from_slice(&row.value).ok()?;
    if window.node == context.settings.node {
        return Some(0);
    }
    let gap = context.settings.bounds.order_gap;
    Some(window.until_ms + gap.as_millis() as u64)
}
