//! Which requests are quarantined for which crashes.

use super::fleets::digest;
use crate::{
    Clearance, CrashAssessment, CrashReport, RequestDigest, RequestStatus, Suspect, assess,
};
use sloetrail_types::{EngineId, ServiceName};
use std::collections::BTreeMap;

fn service() -> ServiceName {
    ServiceName::from("application")
}

fn crash(back_end: &str, at_ms: u64, requests: &[&str]) -> CrashReport {
    CrashReport {
        service: service(),
        back_end: EngineId::from(back_end),
        software: Some("v1".to_owned()),
        at_ms,
        requests: requests.iter().map(|name| digest(name)).collect(),
        last_events: BTreeMap::new(),
        are_answered: false,
    }
}

fn cleared(name: &str, at_ms: u64) -> Clearance {
    Clearance {
        suspect: Suspect {
            service: service(),
            digest: digest(name),
        },
        at_ms,
    }
}

fn quarantined(assessment: &CrashAssessment) -> Vec<RequestDigest> {
    assessment
        .quarantined()
        .map(|(suspect, _)| suspect.digest)
        .collect()
}

fn is_sole_suspect(assessment: &CrashAssessment, name: &str) -> bool {
    match assessment.status(&service(), digest(name)) {
        RequestStatus::Quarantined(quarantined) => quarantined.is_sole_suspect,
        status => panic!("{name}: {status:?}"),
    }
}

#[test]
fn the_third_crash_quarantines_a_request() {
    let reports = [
        crash("b1", 10, &["culprit"]),
        crash("b2", 20, &["culprit"]),
        crash("b3", 30, &["culprit"]),
    ];
    let two = assess(&reports[..2], &[]);
    assert_eq!(quarantined(&two), []);
    let status = two.status(&service(), digest("culprit"));
    assert_eq!(*status, RequestStatus::Suspected { crashes: 2 });
    let three = assess(&reports, &[]);
    assert_eq!(quarantined(&three), [digest("culprit")]);
    assert!(is_sole_suspect(&three, "culprit"));
}

#[test]
fn several_reports_of_one_crash_count_once() {
    let reports = [
        crash("b1", 10, &["culprit"]),
        crash("b1", 12, &["culprit", "other"]),
        crash("b1", 14, &["culprit"]),
    ];
    assert_eq!(quarantined(&assess(&reports, &[])), []);
}

#[test]
fn a_bystander_is_not_quarantined() {
    let reports = [
        crash("b1", 10, &["culprit"]),
        crash("b2", 20, &["culprit", "bystander"]),
        crash("b3", 30, &["culprit", "bystander"]),
        crash("b4", 40, &["culprit", "bystander"]),
    ];
    let assessment = assess(&reports, &[]);
    assert_eq!(quarantined(&assessment), [digest("culprit")]);
    let status = assessment.status(&service(), digest("bystander"));
    assert_eq!(*status, RequestStatus::Suspected { crashes: 3 });
}

#[test]
fn equal_suspects_stay_ambiguous_until_one_is_answered() {
    let reports = [
        crash("b1", 10, &["culprit", "bystander"]),
        crash("b2", 20, &["culprit", "bystander"]),
        crash("b3", 30, &["culprit", "bystander"]),
    ];
    let assessment = assess(&reports, &[]);
    assert_eq!(quarantined(&assessment).len(), 2);
    assert!(!is_sole_suspect(&assessment, "culprit"));
    assert!(!is_sole_suspect(&assessment, "bystander"));
    let after_trial = assess(&reports, &[cleared("bystander", 50)]);
    assert_eq!(quarantined(&after_trial), [digest("culprit")]);
    assert!(is_sole_suspect(&after_trial, "culprit"));
}

#[test]
fn a_crash_in_a_trial_identifies_the_culprit() {
    let reports = [
        crash("b1", 10, &["culprit", "bystander"]),
        crash("b2", 20, &["culprit", "bystander"]),
        crash("b3", 30, &["culprit", "bystander"]),
        crash("b4", 5_000, &["culprit"]),
    ];
    let assessment = assess(&reports, &[]);
    assert_eq!(quarantined(&assessment), [digest("culprit")]);
    assert!(is_sole_suspect(&assessment, "culprit"));
}

#[test]
fn two_culprits_with_separate_crashes_are_both_identified() {
    let mut reports = Vec::new();
    for number in 0..3 {
        reports.push(crash(&format!("a{number}"), number, &["one"]));
        reports.push(crash(&format!("b{number}"), number, &["two"]));
    }
    let assessment = assess(&reports, &[]);
    assert_eq!(quarantined(&assessment).len(), 2);
    assert!(is_sole_suspect(&assessment, "one"));
    assert!(is_sole_suspect(&assessment, "two"));
}

#[test]
fn an_answer_clears_only_earlier_crashes() {
    let mut reports = vec![
        crash("b1", 10, &["popular"]),
        crash("b2", 20, &["popular"]),
        crash("b3", 30, &["popular"]),
    ];
    let clearances = [cleared("popular", 25)];
    assert_eq!(quarantined(&assess(&reports, &clearances)), []);
    reports.push(crash("b4", 40, &["popular"]));
    assert_eq!(quarantined(&assess(&reports, &clearances)), []);
    reports.push(crash("b5", 50, &["popular"]));
    assert_eq!(
        quarantined(&assess(&reports, &clearances)),
        [digest("popular")]
    );
}

#[test]
fn a_quarantine_covers_only_its_service() {
    let reports = [
        crash("b1", 10, &["culprit"]),
        crash("b2", 20, &["culprit"]),
        crash("b3", 30, &["culprit"]),
    ];
    let assessment = assess(&reports, &[]);
    let other = ServiceName::from("another");
    assert!(assessment.is_empty(&other));
    assert_eq!(
        *assessment.status(&other, digest("culprit")),
        RequestStatus::Free
    );
}

#[test]
fn the_order_of_reports_does_not_matter() {
    let mut reports = vec![
        crash("b1", 10, &["culprit"]),
        crash("b2", 20, &["culprit", "bystander"]),
        crash("b3", 30, &["bystander", "third"]),
        crash("b4", 40, &["culprit", "third"]),
    ];
    let assessment = assess(&reports, &[]);
    reports.reverse();
    assert_eq!(assess(&reports, &[]), assessment);
}
