//! What tenants use: requests that began, counted by windows of wall-clock time.
//!
//! Nodes count on their own ([`UsageCounter`]) and hand over what they counted piece by
//! piece; one node adds the pieces of a window up ([`UsageReport`]) and hands the sum to
//! whoever bills, at the time that [`ReportSchedule`] tells. All nodes tell windows apart
//! ([`Windows`]) by the table's clock and by one agreed figure for how far wall-clock time
//! is ahead of it ([`median_offset`]): a node's own wall clock may jump.
//!
//! Nothing here does I/O or reads a clock.

mod clock;
mod counter;
mod report;
mod schedule;
mod window;

pub use clock::{ClockOffset, median_offset};
pub use counter::{TenantCounts, UsageCounter, UsagePiece};
pub use report::UsageReport;
pub use schedule::{ReportAction, ReportSchedule};
pub use window::{WindowNumber, Windows};

#[cfg(test)]
mod tests;
