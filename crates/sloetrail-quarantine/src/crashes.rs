//! Crashes of the back ends of a service, with the requests that may have caused each.

use crate::{Clearance, CrashReport, RequestDigest};
use sloetrail_types::{EngineId, ServiceName};
use std::collections::BTreeMap;

/// Number of crashes that the progress of a request may excuse. It bounds the crashes of a request
/// whose runs end at a different event each time.
pub const MAX_EXCUSED_CRASHES: usize = 5;

/// A crash of one back end, with the running requests that are not cleared of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Crash {
    pub(crate) at_ms: u64,
    pub(crate) software: Option<String>,
    pub(crate) requests: BTreeMap<RequestDigest, LostRun>,
    /// True if any of its requests, cleared or not, or of its items had received an event. None if the
    /// answer of none is known to be a stream.
    pub(crate) shows_progress: Option<bool>,
}

/// A run that was lost in a crash.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LostRun {
    /// The last event that the request had received; None if that is unknown.
    pub(crate) last_event: Option<u64>,
    /// True if the node that lost it has been answered since.
    pub(crate) is_answered: bool,
}

/// The crashes of one service.
pub(crate) type Crashes = BTreeMap<EngineId, Crash>;

/// Collects the crashes of each service. Several nodes' reports of one crash count once.
pub(crate) fn collect<'a>(
    reports: impl IntoIterator<Item = &'a CrashReport>,
    clearances: impl IntoIterator<Item = &'a Clearance>,
) -> BTreeMap<ServiceName, Crashes> {
    let cleared = last_clearances(clearances);
    let mut services: BTreeMap<ServiceName, Crashes> = BTreeMap::new();
    for report in reports {
        let crashes = services.entry(report.service.clone()).or_default();
        let crash = crashes.entry(report.back_end.clone()).or_default();
        crash.at_ms = crash.at_ms.max(report.at_ms);
        crash.software = crash.software.take().or_else(|| report.software.clone());
        let shows_progress = report
            .last_events
            .values()
            .map(|last_event| *last_event > 0);
        crash.shows_progress = crash.shows_progress.max(shows_progress.max());
        let of_service = cleared.get(&report.service);
        let is_cleared = |digest: &RequestDigest| {
            let since = of_service.and_then(|cleared| cleared.get(digest));
            since.is_some_and(|since_ms| report.at_ms <= *since_ms)
        };
        for digest in report.requests.iter().filter(|digest| !is_cleared(digest)) {
            let run = crash.requests.entry(*digest).or_default();
            run.last_event = run.last_event.max(report.last_events.get(digest).copied());
            run.is_answered |= report.are_answered;
        }
    }
    services
}

fn last_clearances<'a>(
    clearances: impl IntoIterator<Item = &'a Clearance>,
) -> BTreeMap<ServiceName, BTreeMap<RequestDigest, u64>> {
    let mut last: BTreeMap<ServiceName, BTreeMap<RequestDigest, u64>> = BTreeMap::new();
    for Clearance { suspect, at_ms } in clearances {
        let of_service = last.entry(suspect.service.clone()).or_default();
        let since = of_service.entry(suspect.digest).or_default();
        *since = (*since).max(*at_ms);
    }
    last
}

/// A crash from the point of view of one request.
struct MetCrash {
    at_ms: u64,
    back_end: EngineId,
    last_event: Option<u64>,
}

/// Removes requests from crashes that their progress excuses: a request that later received more
/// events than at a crash has passed the point at which it would have caused that crash.
pub(crate) fn remove_excused(crashes: &mut Crashes) {
    for (digest, met) in crashes_by_request(crashes) {
        for back_end in excused(met) {
            if let Some(crash) = crashes.get_mut(&back_end) {
                crash.requests.remove(&digest);
            }
        }
    }
}

fn crashes_by_request(crashes: &Crashes) -> BTreeMap<RequestDigest, Vec<MetCrash>> {
    let mut met: BTreeMap<RequestDigest, Vec<MetCrash>> = BTreeMap::new();
    for (back_end, crash) in crashes {
        for (digest, run) in &crash.requests {
            met.entry(*digest).or_default().push(MetCrash {
                at_ms: crash.at_ms,
                back_end: back_end.clone(),
                last_event: run.last_event,
            });
        }
    }
    met
}

/// Returns the back ends of whose crashes a request is excused, the earliest ones first.
fn excused(mut met: Vec<MetCrash>) -> Vec<EngineId> {
    met.sort_by(|one, other| (one.at_ms, &one.back_end).cmp(&(other.at_ms, &other.back_end)));
    let mut excused = Vec::new();
    let mut furthest_later: Option<u64> = None;
    for crash in met.into_iter().rev() {
        if crash.last_event.is_some() && crash.last_event < furthest_later {
            excused.push(crash.back_end);
        }
        furthest_later = furthest_later.max(crash.last_event);
    }
    excused.reverse();
    excused.truncate(MAX_EXCUSED_CRASHES);
    excused
}
