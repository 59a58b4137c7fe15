//! Signs that the back ends of a service crash for a reason that is no request.
//!
//! While back ends crash one after the other, a request that is resent meets several of these
//! crashes. Two signs tell such a time from one in which a request is the cause: crashes for which
//! no request is suspected, and several requests that would each have to cause crashes of their
//! own at the same time.

use crate::RequestDigest;
use crate::crashes::{Crash, Crashes};
use crate::explanation::Culprits;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long before and after the crashes of a request other crashes bear on them.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of crashes within the window for which no request is suspected.
const MIN_UNSUSPECTED_CRASHES: usize = 2;
/// Number of independent culprits within the window.
const MIN_SEPARATE_CULPRITS: usize = 3;
/// A request is suspected of a crash if it has met at least this many.
const MIN_CRASHES_OF_SUSPECT: usize = 2;

/// How long before a crash in a trial no other back end may have crashed for it to prove the guilt
/// of the request on trial.
const QUIET_BEFORE_PROOF: Duration = Duration::from_millis(250);
/// The same, after the crash.
const QUIET_AFTER_PROOF: Duration = Duration::from_secs(1);

/// A span of time, in milliseconds of the table's clock, bounds included.
#[derive(Clone, Copy, Debug)]
struct Span {
    from_ms: u64,
    to_ms: u64,
}

impl Span {
    /// The span from the first to the last crash, extended on both sides.
    fn around(crashes: &[&Crash], before: Duration, after: Duration) -> Self {
        let times = || crashes.iter().map(|crash| crash.at_ms);
        let millis = |time: Duration| sloetrail_types::whole_millis(time);
        Self {
            from_ms: times()
                .min()
                .unwrap_or_default()
                .saturating_sub(millis(before)),
            to_ms: times()
                .max()
                .unwrap_or_default()
                .saturating_add(millis(after)),
        }
    }

    fn contains(self, at_ms: u64) -> bool {
        (self.from_ms..=self.to_ms).contains(&at_ms)
    }
}

/// The crashes of a service that may have a cause that is no request.
pub(crate) struct OtherCauses {
    /// Times of all crashes.
    all_ms: Vec<u64>,
    /// Times of the crashes for which no request is suspected.
    unsuspected_ms: Vec<u64>,
    /// For each separate group of culprits, the times of its crashes.
    culprits_ms: Vec<Vec<u64>>,
}

impl OtherCauses {
    pub(crate) fn find(
        crashes: &Crashes,
        counts: &BTreeMap<RequestDigest, usize>,
        explanations: &[Culprits],
    ) -> Self {
        let is_suspect =
            |digest: &RequestDigest| counts.get(digest) >= Some(&MIN_CRASHES_OF_SUSPECT);
        let has_suspect = |crash: &&Crash| crash.requests.keys().any(is_suspect);
        let times = |crashes: Vec<&Crash>| crashes.iter().map(|crash| crash.at_ms).collect();
        let (_, unsuspected): (Vec<&Crash>, Vec<&Crash>) = crashes.values().partition(has_suspect);
        let crashes_of = |culprits: &Culprits| {
            let is_met = |crash: &&Crash| {
                culprits
                    .iter()
                    .any(|digest| crash.requests.contains_key(digest))
            };
            times(crashes.values().filter(is_met).collect())
        };
        Self {
            all_ms: crashes.values().map(|crash| crash.at_ms).collect(),
            unsuspected_ms: times(unsuspected),
            culprits_ms: explanations.iter().map(crashes_of).collect(),
        }
    }

    /// True if the crashes that a request has met may have another cause than the request.
    pub(crate) fn are_likely_for(&self, met: &[&Crash], digest: RequestDigest) -> bool {
        let window = Span::around(met, WINDOW, WINDOW);
        let is_within = |at_ms: &&u64| window.contains(**at_ms);
        let unsuspected = self.unsuspected_ms.iter().filter(is_within).count();
        let culprits = self.culprits_ms.iter();
        let culprits = culprits.filter(|times| times.iter().any(|at_ms| window.contains(*at_ms)));
        let are_likely =
            unsuspected >= MIN_UNSUSPECTED_CRASHES || culprits.count() >= MIN_SEPARATE_CULPRITS;
        are_likely && !self.is_proven_by_trial(met, digest)
    }

    /// True if a back end crashed in a trial of the request, on which no other request was, while
    /// no other back end crashed.
    fn is_proven_by_trial(&self, met: &[&Crash], digest: RequestDigest) -> bool {
        let mut met = met.iter();
        met.any(|crash| {
            let mut on_trial = crash.requests.iter().filter(|(_, run)| run.is_on_trial);
            let is_alone = on_trial.all(|(other, _)| *other == digest);
            let is_tried = crash
                .requests
                .get(&digest)
                .is_some_and(|run| run.is_on_trial);
            let quiet = Span::around(&[crash], QUIET_BEFORE_PROOF, QUIET_AFTER_PROOF);
            let near = self.all_ms.iter().filter(|at_ms| quiet.contains(**at_ms));
            is_tried && is_alone && near.count() == 1
        })
    }
}
