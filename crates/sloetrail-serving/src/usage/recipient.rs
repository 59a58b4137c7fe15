//! The recipient of usage reports.

use crate::lease_holder::LeaseHolder;
use async_trait::async_trait;
use sloetrail_usage::UsageReport;
use std::time::Duration;

/// The outcome of sending a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// Accepted by this or an earlier send.
    Accepted,
    /// A later lease holder has already sent reports.
    Fenced,
    /// Rejected permanently, with the response status.
    Refused(u16),
    /// Not accepted or not answered. The same report must be sent again.
    RetryLater,
}

impl ReportAnswer {
    /// The name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ReportAnswer::Accepted => "accepted",
            ReportAnswer::Fenced => "fenced",
            ReportAnswer::Refused(_) => "refused",
            ReportAnswer::RetryLater => "not now",
        }
    }

    pub(crate) fn status(self) -> Option<u16> {
        match self {
            ReportAnswer::Refused(status) => Some(status),
            ReportAnswer::Accepted | ReportAnswer::Fenced | ReportAnswer::RetryLater => None,
        }
    }
}

/// The system that receives usage reports.
#[async_trait]
pub trait UsageRecipient: Send + Sync {
    /// Sends a report and waits at most `timeout` for the answer. Must accept repeated sends of
    /// the same report.
    async fn report(
        &self,
        report: &UsageReport,
        holder: &LeaseHolder,
        timeout: Duration,
    ) -> ReportAnswer;
}
