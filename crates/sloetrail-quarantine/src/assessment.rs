//! What all reports of crashes together say of each request.
//!
//! A back end that crashes takes every request with it that it was running, and all but one of
//! them, or all, are innocent. Two things tell them apart. A request that ends each back end
//! is never answered, so an answer clears it. And of the requests under which back ends
//! crashed, the one with the most crashes explains these, and the others that were there are
//! not counted by them any more. Where two explain them equally well, each is tried once, at
//! a time when no other is.

use crate::{Clearance, CrashReport, RequestDigest, Suspect};
use sloetrail_types::{EngineId, ServiceName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Back ends that have to crash under a request before it is kept from others. One is lost to
/// any fault, and a request that is sent on meets a second one where a group of back ends is
/// lost. With three, 1,000 drawn fleets of which a hundredth crashes each second for no
/// request hold none of 300,000 innocent requests; of which a tenth does, a few, each without
/// an attempt left (tests `fleets`).
pub const MIN_CRASHES_TO_QUARANTINE: usize = 3;

/// How long after the last crash a request may be tried whose part in it is not clear: back
/// ends are back after seconds, and what was under way there is over.
pub const TRIAL_DELAY: Duration = Duration::from_secs(2);

/// What is known of a request that is kept from back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Back ends that crashed under it.
    pub crashes: usize,
    /// The versions of the software that crashed, as far as they are known.
    pub software: BTreeSet<String>,
    /// When the last of them crashed, in milliseconds of the table's clock.
    pub last_crash_ms: u64,
    /// True if no other request explains the crashes as well.
    pub is_sole_suspect: bool,
}

/// How a request stands at a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Nothing speaks against it.
    Free,
    /// So many back ends have crashed under it, but too few, or another request explains them.
    Suspected {
        /// Back ends that crashed under it.
        crashes: usize,
    },
    /// It is kept from back ends.
    Quarantined(QuarantinedRequest),
}

/// How the requests stand under which back ends crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashAssessment {
    statuses: BTreeMap<ServiceName, BTreeMap<RequestDigest, RequestStatus>>,
}

impl CrashAssessment {
    /// True if nothing speaks against any request at a service: its digest need not be known.
    pub fn is_empty(&self, service: &ServiceName) -> bool {
        !self.statuses.contains_key(service)
    }

    /// How a request stands.
    pub fn status(&self, service: &ServiceName, digest: RequestDigest) -> &RequestStatus {
        let of_service = self.statuses.get(service);
        let known = of_service.and_then(|known| known.get(&digest));
        known.unwrap_or(&RequestStatus::Free)
    }

    /// The requests that are kept from back ends.
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

/// One back end that crashed, with all requests that are not cleared of it.
#[derive(Clone, Debug, Default)]
struct Crash {
    at_ms: u64,
    software: Option<String>,
    requests: BTreeSet<RequestDigest>,
}

type Crashes = BTreeMap<EngineId, Crash>;

/// Judges requests by reports and clearances. Reports of one crash by several nodes count as
/// one crash.
pub fn assess<'a>(
    reports: impl IntoIterator<Item = &'a CrashReport>,
    clearances: impl IntoIterator<Item = &'a Clearance>,
) -> CrashAssessment {
    let cleared = last_clearances(clearances);
    let mut services: BTreeMap<ServiceName, Crashes> = BTreeMap::new();
    for report in reports {
        let crashes = services.entry(report.service.clone()).or_default();
        let crash = crashes.entry(report.back_end.clone()).or_default();
        crash.at_ms = crash.at_ms.max(report.at_ms);
        crash.software = crash.software.take().or_else(|| report.software.clone());
        let of_service = cleared.get(&report.service);
        let is_cleared = |digest: &RequestDigest| {
            let since = of_service.and_then(|cleared| cleared.get(digest));
            since.is_some_and(|since_ms| report.at_ms <= *since_ms)
        };
        let suspects = report.requests.iter().filter(|digest| !is_cleared(digest));
        crash.requests.extend(suspects);
    }
    let statuses = services.into_iter().map(|(service, crashes)| {
        let statuses = statuses(crashes);
        (service, statuses)
    });
    CrashAssessment {
        statuses: statuses.filter(|(_, known)| !known.is_empty()).collect(),
    }
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

/// Finds the requests that explain the crashes of a service, those with the most crashes
/// first. What they explain counts for no other request.
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
        crashes.retain(|_, crash| crash.requests.is_disjoint(&culprits));
    }
    statuses
}

fn counts(crashes: &Crashes) -> BTreeMap<RequestDigest, usize> {
    let mut counts: BTreeMap<RequestDigest, usize> = BTreeMap::new();
    for digest in crashes.values().flat_map(|crash| &crash.requests) {
        *counts.entry(*digest).or_default() += 1;
    }
    counts
}

/// A request with the most crashes, and those with as many that share some of these; nothing
/// if none has enough.
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
        .filter(|crash| crash.requests.contains(first));
    let rivals = shared.flat_map(|crash| &crash.requests);
    Some(rivals.copied().filter(|digest| has_most(digest)).collect())
}

fn quarantined(
    crashes: &Crashes,
    digest: RequestDigest,
    is_sole_suspect: bool,
) -> QuarantinedRequest {
    let crashes: Vec<&Crash> = crashes
        .values()
        .filter(|crash| crash.requests.contains(&digest))
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
