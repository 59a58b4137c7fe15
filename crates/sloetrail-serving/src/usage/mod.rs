//! Usage of tenants: counted on every node, reported by the holder of the report lease.
//!
//! [`node_usage`] counts the live requests of tenants that started at back ends and writes the
//! counts to the table as immutable pieces. The holder of the report lease ([`reporter`]) sums
//! the pieces of each window and sends the sum to the [`UsageRecipient`]. The sum is committed
//! before it is sent, so that a later holder resends the committed sum or nothing.
//! [`wall_clock`] determines the clock offset by which nodes agree on window boundaries.
//!
//! Batch items and reward calls are not counted.

mod counted_request;
mod node_usage;
mod recipient;
mod reporter;
mod wall_clock;

pub(crate) use counted_request::CountedRequest;
pub(crate) use node_usage::NodeUsage;
pub use recipient::{ReportAnswer, UsageRecipient};
pub(crate) use reporter::UsageReportTask;
pub(crate) use wall_clock::measured_offset;
