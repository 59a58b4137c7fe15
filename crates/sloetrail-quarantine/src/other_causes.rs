//! Signs that the back ends of a service crash for a reason that is no request.
//!
//! While back ends crash one after the other, a request that is resent meets several of these
//! crashes. Two signs tell such a time from one in which requests are the cause: crashes whose
//! requests have all proved innocent, or that only items have met, and several separate culprits
//! none of which got less far than the requests and items beside it.

use crate::RequestDigest;
use crate::crashes::{Crash, Crashes};
use crate::explanation::{Culprits, count_crashes};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long before and after the crashes of a request other crashes bear on them.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of crashes within the window of which all requests have proved innocent.
const MIN_CRASHES_WITHOUT_CULPRIT: usize = 2;
/// Number of separate culprits within the window that got no less far than other requests.
const MIN_SEPARATE_CULPRITS: usize = 3;

/// A span of time, in milliseconds of the table's clock, bounds included.
#[derive(Clone, Copy, Debug)]
struct Span {
    from_ms: u64,
    to_ms: u64,
}

impl Span {
    /// The span from the first to the last crash.
    fn of<'a>(crashes: impl IntoIterator<Item = &'a Crash>) -> Option<Self> {
        let times = crashes.into_iter().map(|crash| crash.at_ms);
        let spans = times.map(|at_ms| Self {
            from_ms: at_ms,
            to_ms: at_ms,
        });
        spans.reduce(|one, other| Self {
            from_ms: one.from_ms.min(other.from_ms),
            to_ms: one.to_ms.max(other.to_ms),
        })
    }

    fn extended(self, time: Duration) -> Self {
        let time_ms = sloetrail_types::whole_millis(time);
        Self {
            from_ms: self.from_ms.saturating_sub(time_ms),
            to_ms: self.to_ms.saturating_add(time_ms),
        }
    }

    fn overlaps(self, other: Self) -> bool {
        self.from_ms <= other.to_ms && other.from_ms <= self.to_ms
    }
}

/// The crashes of a service that may have a cause that is no request.
pub(crate) struct OtherCauses {
    /// The crashes of which all requests have proved innocent.
    without_culprit: Vec<Span>,
    /// The separate culprits that got no less far than the requests beside them.
    inconspicuous: Vec<Span>,
}

impl OtherCauses {
    pub(crate) fn find(crashes: &Crashes, explanations: &[Culprits]) -> Self {
        let counts = count_crashes(crashes.values());
        let has_culprit = |crash: &&Crash| {
            let mut requests = crash.requests.keys();
            requests.any(|digest| !is_innocent(crash, *digest, &counts))
        };
        let without_culprit = crashes.values().filter(|crash| !has_culprit(crash));
        let inconspicuous = explanations
            .iter()
            .filter_map(|culprits| inconspicuous_crashes(crashes, culprits));
        Self {
            without_culprit: without_culprit
                .filter_map(|crash| Span::of([crash]))
                .collect(),
            inconspicuous: inconspicuous.collect(),
        }
    }

    /// True if the crashes that a request has met may have another cause than the request.
    pub(crate) fn are_likely_for(&self, met: &[&Crash]) -> bool {
        let Some(span) = Span::of(met.iter().copied()) else {
            return false;
        };
        let window = span.extended(WINDOW);
        let count = |spans: &[Span]| spans.iter().filter(|span| span.overlaps(window)).count();
        let is_inconspicuous = !met.iter().any(|crash| crash.shows_progress != Some(false));
        count(&self.without_culprit) >= MIN_CRASHES_WITHOUT_CULPRIT
            || is_inconspicuous && count(&self.inconspicuous) >= MIN_SEPARATE_CULPRITS
    }
}

/// True if a request cannot have caused a crash: it has been answered since, or it had received
/// events and has met no other crash.
fn is_innocent(
    crash: &Crash,
    digest: RequestDigest,
    counts: &BTreeMap<RequestDigest, usize>,
) -> bool {
    let Some(run) = crash.requests.get(&digest) else {
        return true;
    };
    let has_met_others = counts.get(&digest) > Some(&1);
    run.is_answered || run.last_event > Some(0) && !has_met_others
}

/// Returns the span of the crashes of culprits, if on none of them another request got further.
fn inconspicuous_crashes(crashes: &Crashes, culprits: &Culprits) -> Option<Span> {
    let is_met = |crash: &&Crash| {
        let mut culprits = culprits.iter();
        culprits.any(|digest| crash.requests.contains_key(digest))
    };
    let met: Vec<&Crash> = crashes.values().filter(is_met).collect();
    let are_inconspicuous = met.iter().all(|crash| crash.shows_progress == Some(false));
    let span = Span::of(met);
    span.filter(|_| are_inconspicuous)
}
