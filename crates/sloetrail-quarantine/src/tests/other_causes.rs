//! Back ends that crash for a reason that is no request make the guilt of a request doubtful.

use super::fleets::digest;
use crate::{CrashReport, HoldReason, MAX_CRASHES, RequestStatus, assess};
use sloetrail_types::{EngineId, ServiceName};
use std::collections::BTreeMap;

fn crash(back_end: &str, at_ms: u64, requests: &[&str]) -> CrashReport {
    CrashReport {
        service: ServiceName::from("engines"),
        back_end: EngineId::from(back_end),
        software: None,
        at_ms,
        requests: requests.iter().map(|name| digest(name)).collect(),
        last_events: BTreeMap::new(),
        are_answered: false,
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

/// A crash of which all requests were answered later.
fn harmless_crash(back_end: &str, at_ms: u64) -> CrashReport {
    CrashReport {
        are_answered: true,
        ..crash(back_end, at_ms, &["answered"])
    }
}

/// Guards against holding a request for an hour that met three crashes of a storm.
#[test]
fn crashes_without_a_culprit_show_another_cause() {
    let mut reports = crashes_of("bystander", 20_000);
    reports.push(harmless_crash("other-1", 20_050));
    assert_eq!(reason(&reports, "bystander"), Some(HoldReason::SoleSuspect));
    reports.push(harmless_crash("other-2", 20_250));
    assert_eq!(reason(&reports, "bystander"), Some(HoldReason::OtherCause));
}

/// Guards against a wait without end while back ends crash although the request is held.
#[test]
fn crashes_after_a_request_is_held_show_another_cause() {
    let mut reports = crashes_of("held", 20_000);
    reports.push(harmless_crash("other-1", 24_000));
    reports.push(harmless_crash("other-2", 28_000));
    assert_eq!(reason(&reports, "held"), Some(HoldReason::OtherCause));
}

#[test]
fn crashes_at_another_time_do_not_bear_on_a_request() {
    let mut reports = crashes_of("culprit", 40_000);
    reports.push(harmless_crash("other-1", 20_000));
    reports.push(harmless_crash("other-2", 60_000));
    assert_eq!(reason(&reports, "culprit"), Some(HoldReason::SoleSuspect));
}

/// Another culprit may have met its first crashes.
#[test]
fn crashes_of_unanswered_requests_are_no_sign_of_another_cause() {
    let mut reports = crashes_of("culprit", 20_000);
    for number in 0..4 {
        let (back_end, request) = (format!("other-{number}"), format!("unanswered {number}"));
        reports.push(crash(&back_end, 20_050 + number, &[&request]));
    }
    assert_eq!(reason(&reports, "culprit"), Some(HoldReason::SoleSuspect));
}

fn with_events(mut report: CrashReport, last_event: u64) -> CrashReport {
    let requests = report.requests.iter();
    report.last_events = requests.map(|digest| (*digest, last_event)).collect();
    report
}

#[test]
fn crashes_of_texts_that_had_begun_show_another_cause() {
    let mut reports = crashes_of("bystander", 20_000);
    for number in 0..2 {
        let (back_end, text) = (format!("other-{number}"), format!("text {number}"));
        reports.push(with_events(crash(&back_end, 20_050, &[&text]), 7));
    }
    assert_eq!(reason(&reports, "bystander"), Some(HoldReason::OtherCause));
}

/// Crashes that only items have met are no suspicion against anyone, and tell of another cause.
#[test]
fn crashes_of_items_alone_show_another_cause_and_hold_nothing() {
    let of_items = |number: u64| {
        let report = crash(&format!("items-{number}"), 20_050 + number, &[]);
        let item = digest(&format!("item {number}"));
        CrashReport {
            last_events: BTreeMap::from([(item, 0)]),
            ..report
        }
    };
    let items: Vec<CrashReport> = (0..12).map(of_items).collect();
    let assessment = assess(&items, &[]);
    assert!(assessment.is_empty(&ServiceName::from("engines")));
    let mut reports = crashes_of("bystander", 20_000);
    reports.push(of_items(0));
    assert_eq!(reason(&reports, "bystander"), Some(HoldReason::SoleSuspect));
    reports.push(of_items(1));
    assert_eq!(reason(&reports, "bystander"), Some(HoldReason::OtherCause));
}

/// Guards against items that explain the crashes of the request that they ran beside.
#[test]
fn a_culprit_beside_items_is_the_sole_suspect() {
    let with_item = |mut report: CrashReport| {
        report.last_events = BTreeMap::from([(digest("item"), 0)]);
        report
    };
    let reports: Vec<CrashReport> = crashes_of("culprit", 20_000)
        .into_iter()
        .map(with_item)
        .collect();
    assert_eq!(reason(&reports, "culprit"), Some(HoldReason::SoleSuspect));
    assert_eq!(reason(&reports, "item"), None);
}

/// No text gets as far as an event while engines crash at once: each would be a culprit.
#[test]
fn several_inconspicuous_culprits_show_another_cause() {
    let mut reports = crashes_of("one", 20_000);
    reports.extend(crashes_of("two", 20_030));
    let without_events = |reports: &[CrashReport]| -> Vec<CrashReport> {
        let reports = reports.iter().cloned();
        reports.map(|report| with_events(report, 0)).collect()
    };
    let two = without_events(&reports);
    assert_eq!(reason(&two, "one"), Some(HoldReason::SoleSuspect));
    reports.extend(crashes_of("three", 20_060));
    let three = without_events(&reports);
    assert_eq!(reason(&three, "one"), Some(HoldReason::OtherCause));
    // Requests without events say nothing.
    assert_eq!(reason(&reports, "one"), Some(HoldReason::SoleSuspect));
}

/// Guards against trials of requests that crash engines while the texts beside them get on.
#[test]
fn several_culprits_beside_texts_that_had_begun_are_each_the_sole_suspect() {
    let mut reports = Vec::new();
    for culprit in ["one", "two", "three"] {
        for (number, mut report) in (1..).zip(crashes_of(culprit, 20_000)) {
            let text = digest(&format!("text beside {culprit}"));
            report.requests.insert(text);
            report.last_events = BTreeMap::from([(digest(culprit), 0), (text, number)]);
            reports.push(report);
        }
    }
    assert_eq!(reason(&reports, "one"), Some(HoldReason::SoleSuspect));
}

fn storm_with(request: &str) -> Vec<CrashReport> {
    let mut reports = crashes_of(request, 20_000);
    reports.push(harmless_crash("other-1", 20_050));
    reports.push(harmless_crash("other-2", 20_250));
    reports
}

/// The operators' rule allows three further sends after the third crash.
#[test]
fn a_request_is_not_tried_without_end() {
    let mut reports = storm_with("request");
    for number in 3..MAX_CRASHES as u64 {
        assert_eq!(reason(&reports, "request"), Some(HoldReason::OtherCause));
        let back_end = format!("trial-{number}");
        reports.push(crash(&back_end, 20_500 + number, &["request"]));
    }
    assert_eq!(
        reason(&reports, "request"),
        Some(HoldReason::TrialsExhausted)
    );
}

/// Guards against requests that crash the same back ends and free one another in turn.
#[test]
fn a_request_whose_crashes_another_explains_is_held_after_too_many() {
    let mut reports = Vec::new();
    for number in 0..MAX_CRASHES as u64 {
        let back_end = format!("both-{number}");
        reports.push(crash(&back_end, 100 * number, &["first", "second"]));
    }
    reports.push(crash("first-only", 900, &["first"]));
    assert_eq!(reason(&reports, "first"), Some(HoldReason::TrialsExhausted));
    assert_eq!(
        reason(&reports, "second"),
        Some(HoldReason::TrialsExhausted)
    );
}
