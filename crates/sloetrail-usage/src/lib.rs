//! Usage of tenants: started requests, counted by windows of wall-clock time.
//!
//! Each node counts its own requests ([`UsageCounter`]) and stores the counts as pieces. One
//! node sums the pieces of a window ([`UsageReport`]) and sends the sum to the billing system
//! when [`ReportSchedule`] says so. Nodes assign requests to windows ([`Windows`]) by the table's
//! clock plus one agreed offset of wall-clock time ([`median_offset`]), since the wall clock of
//! a single node may jump.
//!
//! This crate does no I/O and reads no clock.

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
