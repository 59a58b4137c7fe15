//! What tenants use: counted on every node, reported by one.
//!
//! [`node_usage`] counts the live requests of tenants that began at back ends and hands
//! the counts over to the table, in pieces that never change. The node that holds the
//! lease of the reports ([`reporter`]) adds up the pieces of each window and sends the sum
//! to the [`UsageRecipient`]. What is sent of a window is committed before, so that
//! whoever holds the lease later sends the same or nothing. [`wall_clock`] is how nodes
//! agree on when a window begins.
//!
//! Items of batches and reward calls are not counted.

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
