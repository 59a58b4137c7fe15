//! The agreed lead of wall-clock time over the table's clock.
//!
//! Each node tells in its row what it sees. The holder of the reports' lease writes the
//! median into a row of the table of leases, which every node follows.

use crate::follow::TableView;
use crate::rows;
use crate::table::Table;
use sloetrail_usage::ClockOffset;
use std::time::{SystemTime, UNIX_EPOCH};

/// The lead that this node sees; nothing before the table's clock is known.
pub(crate) fn measured_offset(table: &dyn Table) -> Option<ClockOffset> {
    let table_ms = table.now_ms()?;
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    Some(ClockOffset::between(wall.as_millis() as u64, table_ms))
}

/// The agreed lead, as the table of leases has it.
pub(super) fn agreed_offset(leases: &TableView) -> Option<ClockOffset> {
    let row = leases.rows.get(&rows::wall_clock().key)?;
    serde_json::from_slice(&row.value).ok()
}
