//! A recipient of usage reports that records them.

use async_trait::async_trait;
use sloetrail_serving::lease_holder::LeaseHolder;
use sloetrail_serving::usage::{ReportAnswer, UsageRecipient};
use sloetrail_usage::{UsageReport, WindowNumber};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How the recipient deviates from accepting a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportFault {
    #[default]
    None,
    /// The report is accepted and the response is lost.
    AcceptedUnanswered,
    /// The recipient is unavailable.
    Away,
    /// The report is rejected permanently.
    Refused,
}

/// A received report.
#[derive(Clone, Debug)]
pub struct ReportRecord {
    pub report: UsageReport,
    pub sender: LeaseHolder,
    pub at: Instant,
    /// True if the report was accepted.
    pub accepted: bool,
}

/// Records reports and accepts them, subject to the current fault.
#[derive(Default)]
pub struct ReportRecorder {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    records: Vec<ReportRecord>,
    fault: ReportFault,
}

impl ReportRecorder {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Applies a fault to all further reports.
    pub fn set_fault(&self, fault: ReportFault) {
        self.state().fault = fault;
    }

    /// All received reports, oldest first.
    pub fn records(&self) -> Vec<ReportRecord> {
        self.state().records.clone()
    }

    /// The accepted reports by window.
    ///
    /// # Panics
    ///
    /// If two accepted reports of one window differ.
    pub fn accepted(&self) -> BTreeMap<WindowNumber, UsageReport> {
        let mut accepted = BTreeMap::new();
        for record in self.records().into_iter().filter(|record| record.accepted) {
            let before = accepted.insert(record.report.window, record.report.clone());
            if let Some(before) = before {
                assert_eq!(
                    before, record.report,
                    "accepted reports of one window differ"
                );
            }
        }
        accepted
    }

    /// Requests of a tenant in all accepted reports.
    pub fn requests_of(&self, tenant: &str) -> u64 {
        let accepted = self.accepted();
        let of_tenant = accepted.values().filter_map(|report| {
            let counts = report.counts.iter();
            let mut of_tenant = counts.filter(|(name, _)| name.as_str() == tenant);
            of_tenant.next().map(|(_, count)| *count)
        });
        of_tenant.sum()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }
}

#[async_trait]
impl UsageRecipient for ReportRecorder {
    async fn report(
        &self,
        report: &UsageReport,
        holder: &LeaseHolder,
        _timeout: Duration,
    ) -> ReportAnswer {
        let mut state = self.state();
        let fault = state.fault;
        let accepted = matches!(fault, ReportFault::None | ReportFault::AcceptedUnanswered);
        state.records.push(ReportRecord {
            report: report.clone(),
            sender: holder.clone(),
            at: Instant::now(),
            accepted,
        });
        match fault {
            ReportFault::None => ReportAnswer::Accepted,
            ReportFault::AcceptedUnanswered | ReportFault::Away => ReportAnswer::RetryLater,
            ReportFault::Refused => ReportAnswer::Refused(400),
        }
    }
}
