//! Crash reports of this node whose requests have not all been answered since.

use crate::table::RowAddress;
use sloetrail_quarantine::{CrashReport, RequestDigest};
use sloetrail_types::ServiceName;
use std::collections::{BTreeSet, VecDeque};

/// Reports that are remembered. The oldest beyond this count stay unanswered.
const MAX_REPORTS: usize = 256;

struct UnansweredReport {
    address: RowAddress,
    report: CrashReport,
    unanswered: BTreeSet<RequestDigest>,
}

/// The crash reports of this node that have unanswered requests, the oldest first.
#[derive(Default)]
pub(super) struct UnansweredReports(VecDeque<UnansweredReport>);

impl UnansweredReports {
    pub(super) fn add(&mut self, address: RowAddress, report: CrashReport) {
        self.0.push_back(UnansweredReport {
            address,
            unanswered: report.requests.clone(),
            report,
        });
        if self.0.len() > MAX_REPORTS {
            self.0.pop_front();
        }
    }

    /// Records that a back end has answered a request. Returns the reports that have no unanswered
    /// request left, with their rows.
    pub(super) fn record_answer(
        &mut self,
        service: &ServiceName,
        request: RequestDigest,
    ) -> Vec<(RowAddress, CrashReport)> {
        for known in &mut self.0 {
            if known.report.service == *service {
                known.unanswered.remove(&request);
            }
        }
        let (answered, unanswered): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.0)
            .into_iter()
            .partition(|known| known.unanswered.is_empty());
        self.0 = unanswered;
        let answered = answered.into_iter().map(|known| {
            let report = CrashReport {
                are_answered: true,
                ..known.report
            };
            (known.address, report)
        });
        answered.collect()
    }
}
