//! Whoever takes reports of usage, and writes down what it was sent.

use async_trait::async_trait;
use sloetrail_serving::lease_holder::LeaseHolder;
use sloetrail_serving::usage::{ReportAnswer, UsageRecipient};
use sloetrail_usage::{UsageReport, WindowNumber};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What becomes of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportFault {
    /// It is taken and answered.
    #[default]
    None,
    /// It is taken, and the answer is lost.
    AcceptedUnanswered,
    /// It is not taken.
    Away,
    /// It is refused for good.
    Refused,
}

/// A report that came.
#[derive(Clone, Debug)]
pub struct ReportRecord {
    /// The report.
    pub report: UsageReport,
    /// Who sent it.
    pub sender: LeaseHolder,
    /// When it came.
    pub at: Instant,
    /// True if it was taken.
    pub taken: bool,
}

/// Takes reports and writes them down.
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
    /// A book without reports.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// What becomes of reports from now on.
    pub fn set_fault(&self, fault: ReportFault) {
        self.state().fault = fault;
    }

    /// Every report that came.
    pub fn records(&self) -> Vec<ReportRecord> {
        self.state().records.clone()
    }

    /// The reports that were taken, by window.
    ///
    /// # Panics
    ///
    /// If two reports of one window differ.
    pub fn taken(&self) -> BTreeMap<WindowNumber, UsageReport> {
        let mut taken = BTreeMap::new();
        for record in self.records().into_iter().filter(|record| record.taken) {
            let before = taken.insert(record.report.window, record.report.clone());
            if let Some(before) = before {
                assert_eq!(before, record.report, "one window, two reports");
            }
        }
        taken
    }

    /// Requests of a tenant in all reports that were taken.
    pub fn requests_of(&self, tenant: &str) -> u64 {
        let taken = self.taken();
        let of_tenant = taken.values().filter_map(|report| {
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
        let taken = matches!(fault, ReportFault::None | ReportFault::AcceptedUnanswered);
        state.records.push(ReportRecord {
            report: report.clone(),
            sender: holder.clone(),
            at: Instant::now(),
            taken,
        });
        match fault {
            ReportFault::None => ReportAnswer::Accepted,
            ReportFault::AcceptedUnanswered | ReportFault::Away => ReportAnswer::NotNow,
            ReportFault::Refused => ReportAnswer::Refused(400),
        }
    }
}
