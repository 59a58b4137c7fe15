//! State that a node keeps for one engine.

use crate::{ColdEngine, ConcurrencyLimit, SendBound, SendWindow};
use sloetrail_types::{Timestamp, WeightVersion, ZoneName};
use std::time::Duration;

/// Whether an engine accepts new work, as reported by an observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    Serving,
    /// It finishes its running requests and accepts no new ones.
    Draining,
    Unreachable,
}

/// An observer's report on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// When the observer queried the engine.
    pub observed_at: Timestamp,
    pub state: ReportedState,
    /// Requests running and queued on the engine.
    pub load: u32,
    /// Requests that the engine can run concurrently.
    pub capacity: u32,
    /// Version of the loaded weights; zero for applications.
    pub version: WeightVersion,
}

/// What a request is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkClass {
    /// A caller waits for the answer.
    Live,
    /// A trainer's sample, which may use three quarters of an engine's slots.
    Sample,
}

/// How an attempt at an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Answered,
    /// The engine was full or draining and did not run the request.
    Refused,
    /// The engine could not be reached or stopped responding.
    Lost,
    /// The answer was incomplete or invalid.
    Failed,
    /// The caller left or nothing was sent, so the attempt has no bearing on the engine.
    Abandoned,
}

/// One slot in this many is reserved for live requests.
const LIVE_RESERVE_DIVISOR: usize = 4;

const FAILURES_UNTIL_LOST: u32 = 3;

#[derive(Clone, Debug)]
pub(crate) struct EngineEntry {
    pub(crate) zone: ZoneName,
    /// An unlisted engine gets no new requests; its running ones continue.
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    /// True if the engine's zone is being evacuated.
    pub(crate) evacuated: bool,
    pub(crate) cold: Option<ColdEngine>,
    /// Recent requests of this node to the engine.
    pub(crate) sends: SendWindow,
    pub(crate) report: Option<EngineReport>,
    /// Last time the engine was known to be reachable.
    pub(crate) confirmed_at: Option<Timestamp>,
    pub(crate) lost_at: Option<Timestamp>,
    pub(crate) refused_at: Option<Timestamp>,
    pub(crate) consecutive_failures: u32,
    pub(crate) in_flight: usize,
    pub(crate) in_flight_at_report: usize,
    pub(crate) limit: ConcurrencyLimit,
    /// Rendezvous weight of the node and the engine; the highest is preferred.
    pub(crate) preference: u64,
}

impl EngineEntry {
    pub(crate) fn new(zone: ZoneName, leaving: bool, concurrency: usize, preference: u64) -> Self {
        Self {
            zone,
            listed: true,
            leaving,
            evacuated: false,
            cold: None,
            sends: SendWindow::default(),
            report: None,
            confirmed_at: None,
            lost_at: None,
            refused_at: None,
            consecutive_failures: 0,
            in_flight: 0,
            in_flight_at_report: 0,
            limit: ConcurrencyLimit::new(concurrency),
            preference,
        }
    }

    /// True if the engine may get a new request: it serves, its last confirmation is fresh, and
    /// it was neither lost nor refused a request since.
    pub(crate) fn may_be_chosen(&self, now: Timestamp, freshness: Duration) -> bool {
        let Some(confirmed_at) = self.confirmed_at else {
            return false;
        };
        let fresh = now.since(confirmed_at) < freshness;
        let confirmed_since = |event: Option<Timestamp>| event.is_none_or(|at| at < confirmed_at);
        let serving = self
            .report
            .is_some_and(|report| report.state == ReportedState::Serving);
        fresh
            && serving
            && self.takes_work()
            && confirmed_since(self.lost_at)
            && confirmed_since(self.refused_at)
    }

    /// True if the engine is listed, not leaving and not in an evacuated zone.
    pub(crate) fn takes_work(&self) -> bool {
        self.listed && !self.leaving && !self.evacuated
    }

    /// True if this node may send to the engine now or soon. False for a cold engine whose
    /// whole budget belongs to other nodes.
    pub(crate) fn may_serve(&self, now: Timestamp) -> bool {
        let bound = self.send_bound(now);
        self.takes_work() && bound.is_none_or(|bound| bound.max_sends > 0)
    }

    /// Current bound on this node's sends to the engine. None if unbounded.
    fn send_bound(&self, now: Timestamp) -> Option<SendBound> {
        let cold = self.cold.filter(|_| self.is_cold(now))?;
        cold.bound
    }

    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        self.cold.is_some_and(|cold| now < cold.until)
    }

    pub(crate) fn has_room(&self, now: Timestamp, class: WorkClass) -> bool {
        self.in_flight < self.slots(class) && !self.is_throttled(now)
    }

    /// Number of requests of a class that this node may have in flight at the engine.
    pub(crate) fn slots(&self, class: WorkClass) -> usize {
        let limit = self.limit.current();
        match class {
            WorkClass::Live => limit,
            WorkClass::Sample => (limit - limit / LIVE_RESERVE_DIVISOR).max(1),
        }
    }

    /// True if the engine is cold and this node has exhausted its send bound.
    pub(crate) fn is_throttled(&self, now: Timestamp) -> bool {
        let bound = self.send_bound(now);
        bound.is_some_and(|bound| !self.sends.has_room(now, bound))
    }

    /// Load as a fraction of capacity: the load of other senders at the last report plus this
    /// node's requests in flight.
    pub(crate) fn relative_load(&self) -> f64 {
        let (reported, capacity) = self
            .report
            .map_or((0, 1), |report| (report.load as usize, report.capacity));
        let others = reported.saturating_sub(self.in_flight_at_report);
        (others + self.in_flight) as f64 / f64::from(capacity.max(1))
    }

    /// Applies a report unless it is older than the last one.
    pub(crate) fn apply_report(&mut self, report: EngineReport) {
        let is_current = self
            .report
            .is_none_or(|known| known.observed_at <= report.observed_at);
        if !is_current {
            return;
        }
        if report.load > report.capacity {
            self.limit.on_overload();
        }
        self.in_flight_at_report = self.in_flight;
        self.report = Some(report);
        if report.state != ReportedState::Unreachable {
            self.confirmed_at = self.confirmed_at.max(Some(report.observed_at));
        }
    }

    pub(crate) fn finish(&mut self, now: Timestamp, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered => {
                self.consecutive_failures = 0;
                self.limit.on_success(self.in_flight);
                self.confirmed_at = self.confirmed_at.max(Some(now));
            }
            AttemptOutcome::Refused => {
                self.limit.on_overload();
                self.refused_at = Some(now);
            }
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::Failed => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_UNTIL_LOST {
                    self.lost_at = Some(now);
                    self.consecutive_failures = 0;
                }
            }
            AttemptOutcome::Lost => {
                self.limit.on_overload();
                self.lost_at = Some(now);
            }
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
