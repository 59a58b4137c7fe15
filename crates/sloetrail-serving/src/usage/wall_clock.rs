//! The agreed offset of wall-clock time from the table's clock.
//!
//! Each node publishes its measured offset in its row. The holder of the report lease writes the
//! median to a row of the lease table, which every node polls.

use crate::follow::TableView;
use crate::rows;
use crate::table::Table;
use sloetrail_types::whole_millis;
use sloetrail_usage::ClockOffset;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the offset that this node measures, or None before the table's clock is known.
pub(crate) fn measured_offset(table: &dyn Table) -> Option<ClockOffset> {
    let table_ms = table.now_ms()?;
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    Some(ClockOffset::between(whole_millis(wall), table_ms))
}

/// Reads the agreed offset from the lease table.
pub(super) fn agreed_offset(leases: &TableView) -> Option<ClockOffset> {
    let row = leases.rows.get(&rows::wall_clock().key)?;
    serde_json::from_slice(&row.value).ok()
}
