//! Assessment of requests by the crash reports of all nodes.
//!
//! A crash takes down every request that the back end was running, and at most one of them caused
//! it. Items of batches and their reward calls never do, so reports do not name them as suspects.
//! Three rules find the cause. An answered request is cleared, since a request that crashes its
//! back ends is never answered. A request that gets further than it had at an earlier crash is
//! excused of that crash, since it has passed the point at which it would have caused it. Of the
//! remaining requests, the one with the most crashes explains these crashes, and they no longer
//! count against the others ([`crate::explanation`]).
//!
//! What follows for a quarantined request depends on how sure its guilt is ([`HoldReason`]). It is
//! tried if another request explains its crashes equally well, or if back ends also crash for a
//! reason that is no request ([`crate::other_causes`]).

use crate::crashes::{Crash, Crashes, collect, remove_excused};
use crate::explanation::{Culprits, explain};
use crate::other_causes::OtherCauses;
use crate::{Clearance, CrashReport, RequestDigest, Suspect};
use sloetrail_types::ServiceName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of crashed back ends at which a request is quarantined. A smaller number would quarantine
/// innocent requests: a request that is resent may meet a second unrelated crash. With three, none
/// of 300,000 innocent requests is quarantined in 1,000 random fleets of which a hundredth crashes
/// each second (tests `fleets`).
pub const MIN_CRASHES_TO_QUARANTINE: usize = 3;

/// Number of crashed back ends at which a request is not tried any more. The operators' rule allows
/// three further sends after the third crash.
pub const MAX_CRASHES: usize = 6;

/// Delay between the last crash and the trial of a request that may have caused it. It gives
/// crashed back ends time to restart and their other requests time to end.
pub const TRIAL_DELAY: Duration = Duration::from_secs(2);

/// Why a request is quarantined, which determines whether it is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// It alone explains its crashes.
    SoleSuspect,
    /// Another request explains its crashes equally well.
    SeveralSuspects,
    /// It explains its crashes, but back ends of the service also crash for another reason.
    OtherCause,
    /// It has met [`MAX_CRASHES`], also in its trials.
    TrialsExhausted,
}

impl HoldReason {
    /// Label in logs and for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            HoldReason::SoleSuspect => "sole_suspect",
            HoldReason::SeveralSuspects => "several_suspects",
            HoldReason::OtherCause => "other_cause",
            HoldReason::TrialsExhausted => "trials_exhausted",
        }
    }
}

/// The crashes of a quarantined request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    pub crashes: usize,
    /// The software versions that crashed, as far as the back ends reported them.
    pub software: BTreeSet<String>,
    /// When the last back end crashed, in milliseconds of the table's clock.
    pub last_crash_ms: u64,
    /// The last event that the request had received in a run that was lost, if it is streamed.
    pub last_event: Option<u64>,
    /// True if no other request explains the crashes equally well.
    pub is_sole_suspect: bool,
    pub reason: HoldReason,
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
    services: BTreeMap<ServiceName, ServiceAssessment>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ServiceAssessment {
    statuses: BTreeMap<RequestDigest, RequestStatus>,
}

impl CrashAssessment {
    /// True if no request of the service is suspected. Callers then need not compute a
    /// digest.
    pub fn is_empty(&self, service: &ServiceName) -> bool {
        !self.services.contains_key(service)
    }

    pub fn status(&self, service: &ServiceName, digest: RequestDigest) -> &RequestStatus {
        let of_service = self.services.get(service);
        let known = of_service.and_then(|known| known.statuses.get(&digest));
        known.unwrap_or(&RequestStatus::Free)
    }

    /// Returns the quarantined requests of all services.
    pub fn quarantined(&self) -> impl Iterator<Item = (Suspect, &QuarantinedRequest)> {
        let services = self.services.iter();
        let all = services.flat_map(|(service, known)| {
            known.statuses.iter().map(move |(digest, status)| {
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
    let services = services.map(|(service, mut crashes)| {
        remove_excused(&mut crashes);
        (service, assess_service(&crashes))
    });
    let has_suspects = |known: &ServiceAssessment| !known.statuses.is_empty();
    CrashAssessment {
        services: services.filter(|(_, known)| has_suspects(known)).collect(),
    }
}

fn assess_service(crashes: &Crashes) -> ServiceAssessment {
    let met = crashes_met(crashes);
    let explanations = explain(crashes);
    let other_causes = OtherCauses::find(crashes, &explanations);
    let mut culprits: BTreeMap<RequestDigest, &Culprits> = BTreeMap::new();
    for explanation in &explanations {
        culprits.extend(explanation.iter().map(|digest| (*digest, explanation)));
    }
    let mut assessment = ServiceAssessment::default();
    for (digest, met) in met {
        let rivals = culprits.get(&digest).map_or(0, |culprits| culprits.len());
        let reason = match rivals {
            _ if met.len() >= MAX_CRASHES => Some(HoldReason::TrialsExhausted),
            0 => None,
            1 if other_causes.are_likely_for(&met) => Some(HoldReason::OtherCause),
            1 => Some(HoldReason::SoleSuspect),
            _ => Some(HoldReason::SeveralSuspects),
        };
        let status = match reason {
            Some(reason) => {
                RequestStatus::Quarantined(quarantined(&met, digest, rivals == 1, reason))
            }
            None => RequestStatus::Suspected { crashes: met.len() },
        };
        assessment.statuses.insert(digest, status);
    }
    assessment
}

/// Returns the crashes that count against each request.
fn crashes_met(crashes: &Crashes) -> BTreeMap<RequestDigest, Vec<&Crash>> {
    let mut met: BTreeMap<RequestDigest, Vec<&Crash>> = BTreeMap::new();
    for crash in crashes.values() {
        for digest in crash.requests.keys() {
            met.entry(*digest).or_default().push(crash);
        }
    }
    met
}

fn quarantined(
    met: &[&Crash],
    digest: RequestDigest,
    is_sole_suspect: bool,
    reason: HoldReason,
) -> QuarantinedRequest {
    let software = met.iter().filter_map(|crash| crash.software.clone());
    let last_crash_ms = met.iter().map(|crash| crash.at_ms).max();
    let runs = met.iter().filter_map(|crash| crash.requests.get(&digest));
    QuarantinedRequest {
        crashes: met.len(),
        software: software.collect(),
        last_crash_ms: last_crash_ms.unwrap_or_default(),
        last_event: runs.filter_map(|run| run.last_event).max(),
        is_sole_suspect,
        reason,
    }
}
