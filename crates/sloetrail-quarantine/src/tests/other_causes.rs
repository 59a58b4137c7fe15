//! Back ends that crash for a reason that is no request make the guilt of a request doubtful.

use super::fleets::digest;
use crate::{CrashReport, HoldReason, MAX_CRASHES, RequestStatus, assess};
use sloetrail_types::{EngineId, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

fn crash(back_end: &str, at_ms: u64, requests: &[&str]) -> CrashReport {
    CrashReport {
        service: ServiceName::from("engines"),
        back_end: EngineId::from(back_end),
        software: None,
        at_ms,
        requests: requests.iter().map(|name| digest(name)).collect(),
        last_events: BTreeMap::new(),
        on_trial: BTreeSet::new(),
    }
}

/// Three crashes of one request and nothing else.
fn crashes_of(request: &str, from_ms: u64) -> Vec<CrashReport> {
    let number = |number: u64| {
        let back_end = format!("{request}-{number}");
        crash(&back_end, from_ms + 100 * number, &[request])
    };
    (0..3).map(number).collect()
}

fn reason(reports: &[CrashReport], request: &str) -> Option<HoldReason> {
    let assessment = assess(reports, &[]);
    match assessment.status(&ServiceName::from("engines"), digest(request)) {
        RequestStatus::Quarantined(quarantined) => Some(quarantined.reason),
        RequestStatus::Free | RequestStatus::Suspected { .. } => None,
    }
}

#[test]
fn a_request_that_alone_explains_all_crashes_is_the_sole_suspect() {
    let reports = crashes_of("culprit", 20_000);
    assert_eq!(reason(&reports, "culprit"), Some(HoldReason::SoleSuspect));
}

/// Guards against holding a request for an hour that met three crashes of a storm.
#[test]
fn crashes_without_a_suspect_show_another_cause() {
    let mut reports = crashes_of("bystander", 20_000);
    reports.push(crash("other-1", 20_050, &["one"]));
    assert_eq!(reason(&reports, "bystander"), Some(HoldReason::SoleSuspect));
    reports.push(crash("other-2", 20_250, &["two"]));
    assert_eq!(reason(&reports, "bystander"), Some(HoldReason::OtherCause));
}

/// Guards against a wait without end while back ends crash although the request is held.
#[test]
fn crashes_after_a_request_is_held_show_another_cause() {
    let mut reports = crashes_of("held", 20_000);
    reports.push(crash("other-1", 24_000, &["one"]));
    reports.push(crash("other-2", 28_000, &["two"]));
    assert_eq!(reason(&reports, "held"), Some(HoldReason::OtherCause));
}

#[test]
fn crashes_at_another_time_do_not_bear_on_a_request() {
    let mut reports = crashes_of("culprit", 40_000);
    reports.push(crash("other-1", 20_000, &["one"]));
    reports.push(crash("other-2", 60_000, &["two"]));
    assert_eq!(reason(&reports, "culprit"), Some(HoldReason::SoleSuspect));
}

/// Two requests that crash back ends at the same time are no sign of another cause, three are.
#[test]
fn several_separate_culprits_show_another_cause() {
    let mut reports = crashes_of("one", 20_000);
    reports.extend(crashes_of("two", 20_030));
    assert_eq!(reason(&reports, "one"), Some(HoldReason::SoleSuspect));
    reports.extend(crashes_of("three", 20_060));
    assert_eq!(reason(&reports, "one"), Some(HoldReason::OtherCause));
}

fn crash_in_trial(back_end: &str, at_ms: u64, on_trial: &[&str]) -> CrashReport {
    CrashReport {
        on_trial: on_trial.iter().map(|name| digest(name)).collect(),
        ..crash(back_end, at_ms, on_trial)
    }
}

fn storm_with(request: &str) -> Vec<CrashReport> {
    let mut reports = crashes_of(request, 20_000);
    reports.push(crash("other-1", 20_050, &["one"]));
    reports.push(crash("other-2", 20_250, &["two"]));
    reports
}

/// Guards against further trials of a request that was proven to crash back ends.
#[test]
fn a_crash_in_a_quiet_trial_proves_the_guilt() {
    let mut reports = storm_with("culprit");
    reports.push(crash_in_trial("trial", 22_000, &["culprit"]));
    assert_eq!(reason(&reports, "culprit"), Some(HoldReason::SoleSuspect));
}

#[test]
fn a_crash_in_a_trial_proves_nothing_while_others_crash() {
    let mut reports = storm_with("bystander");
    reports.push(crash_in_trial("trial", 22_000, &["bystander"]));
    reports.push(crash("other-3", 22_700, &["three"]));
    assert_eq!(reason(&reports, "bystander"), Some(HoldReason::OtherCause));
}

#[test]
fn a_crash_with_several_requests_on_trial_proves_none_of_them_guilty() {
    let mut reports = storm_with("one suspect");
    reports.extend(crashes_of("another suspect", 20_020));
    let both = ["one suspect", "another suspect"];
    reports.push(crash_in_trial("trial", 22_000, &both));
    for suspect in both {
        assert_ne!(reason(&reports, suspect), Some(HoldReason::SoleSuspect));
    }
}

/// The operators' rule allows three further sends after the third crash.
#[test]
fn a_request_is_not_tried_without_end() {
    let mut reports = storm_with("request");
    for number in 3..MAX_CRASHES as u64 {
        assert_eq!(reason(&reports, "request"), Some(HoldReason::OtherCause));
        let back_end = format!("trial-{number}");
        let at_ms = 20_000 + 1_000 * number;
        reports.push(crash_in_trial(&back_end, at_ms, &["request"]));
        reports.push(crash(&format!("near-{number}"), at_ms, &["other"]));
    }
    assert_eq!(
        reason(&reports, "request"),
        Some(HoldReason::TrialsExhausted)
    );
}
