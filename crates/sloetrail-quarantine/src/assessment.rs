//! Assessment of requests by the crash reports of all nodes.
//!
//! A crash takes down every request that the back end was running, and at most one of them caused
//! it. Three rules find the cause. An answered request is cleared, since a request that crashes its
//! back ends is never answered. A request that gets further than it had at an earlier crash is
//! excused of that crash, since it has passed the point at which it would have caused it. Of the
//! remaining requests, the one with the most crashes explains these crashes, and they no longer
//! count against the others. If several requests explain them equally well, each is tried once,
//! while no other one is being tried.

use crate::crashes::{Crash, Crashes, collect, remove_excused};
use crate::{Clearance, CrashReport, RequestDigest, Suspect};
use sloetrail_types::ServiceName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of crashed back ends at which a request is quarantined. A smaller number would quarantine
/// innocent requests: a request that is resent may meet a second unrelated crash. With three, none
/// of 300,000 innocent requests is quarantined in 1,000 random fleets of which a hundredth crashes
/// each second (tests `fleets`).
pub const MIN_CRASHES_TO_QUARANTINE: usize = 3;

/// Delay between the last crash and the trial of a request that may have caused it. It gives
/// crashed back ends time to restart and their other requests time to end.
pub const TRIAL_DELAY: Duration = Duration::from_secs(2);

/// The crashes of a quarantined request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    pub crashes: usize,
    /// The software versions that crashed, as far as the back ends reported them.
    pub software: BTreeSet<String>,
    /// When the last back end crashed, in milliseconds of the table's clock.
    pub last_crash_ms: u64,
    /// True if no other request explains the crashes equally well.
    pub is_sole_suspect: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// No crash counts against it.
    Free,
    /// Back ends crashed under it, but too few, or another request explains the crashes.
    Suspected { crashes: usize },
    /// It must not be sent to back ends.
    Quarantined(QuarantinedRequest),
}

/// The status of each request under which back ends crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashAssessment {
    statuses: BTreeMap<ServiceName, BTreeMap<RequestDigest, RequestStatus>>,
}

impl CrashAssessment {
    /// True if no request of the service is suspected. Callers then need not compute a
    /// digest.
    pub fn is_empty(&self, service: &ServiceName) -> bool {
        !self.statuses.contains_key(service)
    }

    pub fn status(&self, service: &ServiceName, digest: RequestDigest) -> &RequestStatus {
        let of_service = self.statuses.get(service);
        let known = of_service.and_then(|known| known.get(&digest));
        known.unwrap_or(&RequestStatus::Free)
    }

    /// Returns the quarantined requests of all services.
    pub fn quarantined(&self) -> impl Iterator<Item = (Suspect, &QuarantinedRequest)> {
        let services = self.statuses.iter();
        let all = services.flat_map(|(service, known)| {
            known.iter().map(move |(digest, status)| {
                let suspect = Suspect {
                    service: service.clone(),
                    digest: *digest,
                };
                (suspect, status)
            })
        });
        all.filter_map(|(suspect, status)| match status {
            RequestStatus::Quarantined(quarantined) => Some((suspect, quarantined)),
            RequestStatus::Free | RequestStatus::Suspected { .. } => None,
        })
    }
}

/// Determines the status of requests by reports and clearances. Several nodes' reports of one
/// crash count once.
pub fn assess<'a>(
    reports: impl IntoIterator<Item = &'a CrashReport>,
    clearances: impl IntoIterator<Item = &'a Clearance>,
) -> CrashAssessment {
    let services = collect(reports, clearances).into_iter();
    let statuses = services.map(|(service, mut crashes)| {
        remove_excused(&mut crashes);
        (service, statuses(crashes))
    });
    CrashAssessment {
        statuses: statuses.filter(|(_, known)| !known.is_empty()).collect(),
    }
}

/// Assigns the crashes of a service to requests, in descending order of their crashes. A crash
/// that one request explains does not count for the others.
fn statuses(mut crashes: Crashes) -> BTreeMap<RequestDigest, RequestStatus> {
    let suspected = counts(&crashes);
    let suspected = suspected.into_iter();
    let mut statuses: BTreeMap<RequestDigest, RequestStatus> = suspected
        .map(|(digest, crashes)| (digest, RequestStatus::Suspected { crashes }))
        .collect();
    while let Some(culprits) = most_crashes(&crashes) {
        let is_sole_suspect = culprits.len() == 1;
        for digest in &culprits {
            let quarantined = quarantined(&crashes, *digest, is_sole_suspect);
            statuses.insert(*digest, RequestStatus::Quarantined(quarantined));
        }
        crashes.retain(|_, crash| {
            !culprits
                .iter()
                .any(|digest| crash.requests.contains_key(digest))
        });
    }
    statuses
}

fn counts(crashes: &Crashes) -> BTreeMap<RequestDigest, usize> {
    let mut counts: BTreeMap<RequestDigest, usize> = BTreeMap::new();
    for digest in crashes.values().flat_map(|crash| crash.requests.keys()) {
        *counts.entry(*digest).or_default() += 1;
    }
    counts
}

/// Returns a request with the most crashes and all requests that have as many and share a crash
/// with it. None if the count is below [`MIN_CRASHES_TO_QUARANTINE`].
fn most_crashes(crashes: &Crashes) -> Option<BTreeSet<RequestDigest>> {
    let counts = counts(crashes);
    let most = counts.values().copied().max()?;
    if most < MIN_CRASHES_TO_QUARANTINE {
        return None;
    }
    let has_most = |digest: &RequestDigest| counts.get(digest) == Some(&most);
    let first = counts.keys().find(|digest| has_most(digest))?;
    let shared = crashes
        .values()
        .filter(|crash| crash.requests.contains_key(first));
    let rivals = shared.flat_map(|crash| crash.requests.keys());
    Some(rivals.copied().filter(|digest| has_most(digest)).collect())
}

fn quarantined(
    crashes: &Crashes,
    digest: RequestDigest,
    is_sole_suspect: bool,
) -> QuarantinedRequest {
    let crashes: Vec<&Crash> = crashes
        .values()
        .filter(|crash| crash.requests.contains_key(&digest))
        .collect();
    QuarantinedRequest {
        crashes: crashes.len(),
        software: crashes
            .iter()
            .filter_map(|crash| crash.software.clone())
            .collect(),
        last_crash_ms: crashes
            .iter()
            .map(|crash| crash.at_ms)
            .max()
            .unwrap_or_default(),
        is_sole_suspect,
    }
}
