//! What a node knows of one engine.

use crate::{ColdEngine, ConcurrencyLimit, SendBound, SendWindow};
use sloetrail_types::{Timestamp, WeightVersion, ZoneName};
use std::time::Duration;

/// Whether an engine takes new work, as an observer found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It does not answer.
    Unreachable,
}

/// News of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// When the observer asked the engine.
    pub observed_at: Timestamp,
    /// Whether it takes new work.
    pub state: ReportedState,
    /// Requests running and waiting on the engine.
    pub load: u32,
    /// Requests that it can run at a time.
    pub capacity: u32,
    /// The weights that it uses; zero for applications.
    pub version: WeightVersion,
}

/// Who waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkClass {
    /// A caller.
    Live,
    /// A trainer: a quarter of an engine's places stays free for callers.
    Sample,
}

/// How an attempt at an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Answered,
    /// It refused before running the request: it is full or draining.
    Refused,
    /// It could not be reached, or fell silent.
    Lost,
    /// It answered, but not with a whole answer.
    Failed,
    /// The caller went away, or nothing was sent; it says nothing of the engine.
    Abandoned,
}

/// One place in this many is not given to samples.
const SHARE_KEPT_FOR_LIVE: usize = 4;

/// Broken answers in a row after which an engine counts as lost.
const FAILURES_UNTIL_LOST: u32 = 3;

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) zone: ZoneName,
    /// False while the list does not have it: what runs there goes on.
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    /// True if nothing is to be sent to its zone for now.
    pub(crate) evacuated: bool,
    pub(crate) cold: Option<ColdEngine>,
    /// What this node sent it last.
    pub(crate) sends: SendWindow,
    pub(crate) report: Option<EngineReport>,
    pub(crate) confirmed_at: Option<Timestamp>,
    pub(crate) lost_at: Option<Timestamp>,
    pub(crate) refused_at: Option<Timestamp>,
    pub(crate) failures_in_a_row: u32,
    pub(crate) in_flight: usize,
    pub(crate) in_flight_at_report: usize,
    pub(crate) limit: ConcurrencyLimit,
    /// Of engines with the same load the one with the highest is chosen.
    pub(crate) preference: u64,
}

impl Entry {
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
            failures_in_a_row: 0,
            in_flight: 0,
            in_flight_at_report: 0,
            limit: ConcurrencyLimit::new(concurrency),
            preference,
        }
    }

    /// May it get a new request now? Only with fresh news, and not if it was
    /// lost or refused after that news.
    pub(crate) fn may_be_chosen(&self, now: Timestamp, freshness: Duration) -> bool {
        let Some(confirmed_at) = self.confirmed_at else {
            return false;
        };
        let fresh = now.since(confirmed_at) < freshness;
        let newer_than = |event: Option<Timestamp>| event.is_none_or(|at| at < confirmed_at);
        let serving = self
            .report
            .is_some_and(|report| report.state == ReportedState::Serving);
        fresh
            && serving
            && self.takes_work()
            && newer_than(self.lost_at)
            && newer_than(self.refused_at)
    }

    /// True unless it is not listed or leaves, or its zone is evacuated.
    pub(crate) fn takes_work(&self) -> bool {
        self.listed && !self.leaving && !self.evacuated
    }

    /// True if this node may send it something now or soon: not if it is cold and other
    /// nodes send it all that it bears.
    pub(crate) fn may_serve(&self, now: Timestamp) -> bool {
        let bound = self.bound(now);
        self.takes_work() && bound.is_none_or(|bound| bound.most > 0)
    }

    /// What this node may send it now; nothing if that is not bounded.
    fn bound(&self, now: Timestamp) -> Option<SendBound> {
        let cold = self.cold.filter(|_| self.is_cold(now))?;
        cold.bound
    }

    /// True if it is cold now.
    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        self.cold.is_some_and(|cold| now < cold.until)
    }

    pub(crate) fn has_room(&self, now: Timestamp, class: WorkClass) -> bool {
        self.in_flight < self.slots(class) && !self.is_spared(now)
    }

    /// How many requests of a class this node may have there at a time.
    pub(crate) fn slots(&self, class: WorkClass) -> usize {
        let limit = self.limit.current();
        match class {
            WorkClass::Live => limit,
            WorkClass::Sample => (limit - limit / SHARE_KEPT_FOR_LIVE).max(1),
        }
    }

    /// True if it is cold and this node has sent it all that it may for now.
    pub(crate) fn is_spared(&self, now: Timestamp) -> bool {
        let bound = self.bound(now);
        bound.is_some_and(|bound| !self.sends.has_room(now, bound))
    }

    /// Load in parts of capacity: what others had there at the report, and what
    /// this node has there now.
    pub(crate) fn relative_load(&self) -> f64 {
        let (reported, capacity) = self
            .report
            .map_or((0, 1), |report| (report.load as usize, report.capacity));
        let others = reported.saturating_sub(self.in_flight_at_report);
        (others + self.in_flight) as f64 / f64::from(capacity.max(1))
    }

    pub(crate) fn take_report(&mut self, report: EngineReport) {
        let newer = self
            .report
            .is_none_or(|known| known.observed_at <= report.observed_at);
        if !newer {
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
                self.failures_in_a_row = 0;
                self.limit.on_success(self.in_flight);
                self.confirmed_at = self.confirmed_at.max(Some(now));
            }
            AttemptOutcome::Refused => {
                self.limit.on_overload();
                self.refused_at = Some(now);
            }
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::Failed => {
                self.failures_in_a_row += 1;
                if self.failures_in_a_row >= FAILURES_UNTIL_LOST {
                    self.lost_at = Some(now);
                    self.failures_in_a_row = 0;
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
