//! Whoever takes the reports of usage.

use crate::lease_holder::LeaseHolder;
use async_trait::async_trait;
use sloetrail_usage::UsageReport;
use std::time::Duration;

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// It was taken, now or before.
    Accepted,
    /// A later holder has sent reports already.
    Fenced,
    /// It will never be taken as it is; the status.
    Refused(u16),
    /// It was not taken now, or nothing was answered: the same is to be sent again.
    RetryLater,
}

impl ReportAnswer {
    /// A word for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ReportAnswer::Accepted => "accepted",
            ReportAnswer::Fenced => "fenced",
            ReportAnswer::Refused(_) => "refused",
            ReportAnswer::RetryLater => "not now",
        }
    }

    /// The status of a refusal.
    pub(crate) fn status(self) -> Option<u16> {
        match self {
            ReportAnswer::Refused(status) => Some(status),
            ReportAnswer::Accepted | ReportAnswer::Fenced | ReportAnswer::RetryLater => None,
        }
    }
}

/// Whoever takes the reports of usage.
#[async_trait]
pub trait UsageRecipient: Send + Sync {
    /// Hands a report over; gives up after `patience`. The same report may be handed over
    /// again.
    async fn report(
        &self,
        report: &UsageReport,
        holder: &LeaseHolder,
        timeout: Duration,
    ) -> ReportAnswer;
}
