//! The log event and the metrics of a call's end.

use crate::events::{self, Event};
use crate::telemetry;
use sloetrail_clock::BootInstant;
use sloetrail_result::Problem;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{AllowedRegions, EngineId, whole_millis};

/// Data about a call in progress for its log event and metrics.
pub(crate) struct CallLog<'a> {
    pub(crate) configuration: &'a ServingConfiguration,
    pub(crate) request: &'a str,
    /// The route's name, or `-` if no route matches.
    pub(crate) route: &'a str,
    /// The allowed regions, once known.
    pub(crate) regions: Option<AllowedRegions>,
    pub(crate) received: BootInstant,
    pub(crate) deadline: BootInstant,
}

impl CallLog<'_> {
    /// Records that an answer is forwarded to the caller.
    pub(crate) fn record_answer(&self, status: u16, back_end: Option<&EngineId>, attempts: usize) {
        let took = self.received.elapsed();
        telemetry::request_ended(self.route, status, 0, took);
        events::emit(&Event::RequestAnswered {
            request: self.request,
            route: self.route,
            status,
            back_end: back_end.map_or("-", |id| id.as_str()),
            attempts,
            took_ms: whole_millis(took),
            revision: self.configuration.revision.0,
        });
    }

    /// Records that the node answers with its own error.
    pub(crate) fn record_failure(&self, problem: &Problem, attempts: usize) {
        let remaining = self.deadline.saturating_duration_since(BootInstant::now());
        let took = self.received.elapsed();
        telemetry::request_ended(self.route, problem.status, problem.code, took);
        let regions = self.regions.as_ref().map(ToString::to_string);
        events::emit(&Event::RequestFailed {
            request: self.request,
            route: self.route,
            status: problem.status,
            code: problem.code,
            attempts,
            took_ms: whole_millis(took),
            left_ms: whole_millis(remaining),
            revision: self.configuration.revision.0,
            regions: regions.as_deref().unwrap_or("-"),
            detail: &problem.detail,
        });
    }
}
