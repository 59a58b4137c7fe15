//! One pure function per invariant.

mod configuration;
mod live_requests;
mod planned_stops;
mod samples;

use crate::event::Event;
use crate::verdict::Verdict;
use std::time::Duration;

/// The bounds that "within seconds" stands for.
#[derive(Clone, Copy, Debug)]
pub struct CheckBounds {
    /// After this time a leaving back end gets no new work.
    pub leaving: Duration,
    /// After this time an accepted configuration is in force.
    pub in_force: Duration,
}

impl Default for CheckBounds {
    fn default() -> Self {
        Self {
            leaving: Duration::from_secs(3),
            in_force: Duration::from_secs(8),
        }
    }
}

impl CheckBounds {
    pub(crate) fn microseconds(duration: Duration) -> u64 {
        duration.as_micros() as u64
    }
}

/// Judges every invariant on a history in the order of time.
pub fn check(history: &[Event], bounds: CheckBounds) -> Vec<Verdict> {
    vec![
        samples::exact_versions(history),
        samples::staleness(history),
        samples::exactly_once(history),
        live_requests::whole_answers(history),
        live_requests::not_run_is_true(history),
        live_requests::at_most_once(history),
        planned_stops::leaving_gets_no_work(history, bounds),
        planned_stops::nothing_cut_off(history),
        configuration::in_force_and_never_reverts(history, bounds),
    ]
}
