//! Requests that get further between crashes are not taken for their cause.

use super::fleets::digest;
use crate::{
    CrashAssessment, CrashReport, MAX_EXCUSED_CRASHES, MIN_CRASHES_TO_QUARANTINE, RequestStatus,
    assess,
};
use sloetrail_types::{EngineId, ServiceName};
use std::collections::{BTreeMap, BTreeSet};

const REQUEST: &str = "text";

/// A crash that a streamed request met after an event; None if a node without the field reports it.
fn crash(number: u64, last_event: Option<u64>) -> CrashReport {
    let events = last_event.map(|event| (digest(REQUEST), event));
    CrashReport {
        service: ServiceName::from("engines"),
        back_end: EngineId::new(format!("engine-{number}")),
        software: None,
        at_ms: number,
        requests: BTreeSet::from([digest(REQUEST)]),
        last_events: events.into_iter().collect(),
        are_answered: false,
    }
}

fn assess_crashes(last_events: &[Option<u64>]) -> CrashAssessment {
    let reports = (1..).zip(last_events);
    let reports: Vec<CrashReport> = reports
        .map(|(number, last_event)| crash(number, *last_event))
        .collect();
    assess(&reports, &[])
}

fn status(assessment: &CrashAssessment) -> RequestStatus {
    let service = ServiceName::from("engines");
    assessment.status(&service, digest(REQUEST)).clone()
}

fn is_quarantined(last_events: &[Option<u64>]) -> bool {
    let assessment = assess_crashes(last_events);
    matches!(status(&assessment), RequestStatus::Quarantined(_))
}

/// Guards against holding texts that were running on engines that crash for another reason.
#[test]
fn a_request_that_gets_further_between_crashes_is_not_quarantined() {
    let assessment = assess_crashes(&[Some(11), Some(14), Some(15), Some(23)]);
    assert_eq!(status(&assessment), RequestStatus::Suspected { crashes: 1 });
}

#[test]
fn a_request_that_crashes_back_ends_before_its_first_event_is_quarantined() {
    assert!(is_quarantined(&[Some(0), Some(0), Some(0)]));
}

/// A text that is continued crashes its engines at the event at which it crashed the first one.
#[test]
fn a_request_that_crashes_back_ends_at_one_event_is_quarantined() {
    assert!(is_quarantined(&[Some(40), Some(40), Some(40)]));
}

#[test]
fn a_text_that_starts_again_is_excused_of_no_crash_that_it_has_not_passed() {
    assert!(is_quarantined(&[Some(40), Some(12), Some(12)]));
}

/// Guards against a request that crashes back ends without limit, a few events further each time.
#[test]
fn progress_excuses_a_limited_number_of_crashes() {
    let crashes = MAX_EXCUSED_CRASHES + MIN_CRASHES_TO_QUARANTINE;
    let last_events: Vec<Option<u64>> = (0..crashes as u64).map(Some).collect();
    assert!(is_quarantined(&last_events));
    assert!(!is_quarantined(&last_events[1..]));
}

/// Older nodes do not report how far a request had got.
#[test]
fn crashes_at_unknown_events_are_not_excused() {
    assert!(is_quarantined(&[None, None, None]));
    assert!(is_quarantined(&[None, None, Some(40), Some(60)]));
}

#[test]
fn the_report_of_an_older_node_is_read_and_an_older_node_reads_a_report() {
    let earlier = r#"{"service":"engines","back_end":"e1","at_ms":5,"requests":[]}"#;
    let read: CrashReport = serde_json::from_str(earlier).expect("a report without events");
    assert_eq!(read.last_events, BTreeMap::new());
    let on_trial = earlier.replace('}', r#","on_trial":["00000000000000000000000000000001"]}"#);
    let read: CrashReport = serde_json::from_str(&on_trial).expect("a report with trials");
    assert_eq!(read.requests, BTreeSet::new());
    let written = serde_json::to_value(crash(1, Some(7))).expect("JSON");
    for field in ["service", "back_end", "at_ms", "requests"] {
        assert!(written.get(field).is_some(), "{field} is missing");
    }
    let read: CrashReport = serde_json::from_value(written).expect("a report");
    assert_eq!(read, crash(1, Some(7)));
}
