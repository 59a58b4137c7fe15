//! The requests that explain the crashes of a service.

use crate::crashes::{Crash, Crashes};
use crate::{MIN_CRASHES_TO_QUARANTINE, RequestDigest};
use std::collections::{BTreeMap, BTreeSet};

/// Requests that explain the same crashes equally well.
pub(crate) type Culprits = BTreeSet<RequestDigest>;

/// Assigns the crashes of a service to requests, in descending order of their crashes. A crash
/// that one request explains does not count for the others.
pub(crate) fn explain(crashes: &Crashes) -> Vec<Culprits> {
    let mut unexplained: Vec<&Crash> = crashes.values().collect();
    let mut explanations = Vec::new();
    while let Some(culprits) = most_crashes(&unexplained) {
        let is_explained = |crash: &Crash| {
            culprits
                .iter()
                .any(|digest| crash.requests.contains_key(digest))
        };
        unexplained.retain(|crash| !is_explained(crash));
        explanations.push(culprits);
    }
    explanations
}

/// Counts the crashes of each request.
pub(crate) fn count_crashes<'a>(
    crashes: impl IntoIterator<Item = &'a Crash>,
) -> BTreeMap<RequestDigest, usize> {
    let mut counts: BTreeMap<RequestDigest, usize> = BTreeMap::new();
    for digest in crashes.into_iter().flat_map(|crash| crash.requests.keys()) {
        *counts.entry(*digest).or_default() += 1;
    }
    counts
}

/// Returns a request with the most crashes and all requests that have as many and share a crash
/// with it. None if the count is below [`MIN_CRASHES_TO_QUARANTINE`].
fn most_crashes(crashes: &[&Crash]) -> Option<Culprits> {
    let counts = count_crashes(crashes.iter().copied());
    let most = counts.values().copied().max()?;
    if most < MIN_CRASHES_TO_QUARANTINE {
        return None;
    }
    let has_most = |digest: &RequestDigest| counts.get(digest) == Some(&most);
    let first = counts.keys().find(|digest| has_most(digest))?;
    let shared = crashes
        .iter()
        .filter(|crash| crash.requests.contains_key(first));
    let rivals = shared.flat_map(|crash| crash.requests.keys());
    Some(rivals.copied().filter(|digest| has_most(digest)).collect())
}
