use super::{ChangeDuration, DEFAULT_CHANGE_DURATION, ReassignmentLimit};
use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Guards against reassigning a large part of a service's engines at once.
#[test]
fn a_tenth_of_the_engines_is_reassigned_in_a_second() {
    let start = BootInstant::now();
    let mut limit = ReassignmentLimit::default();
    let mut reassigned = 0;
    for tick in 0..30 {
        let now = start + Duration::from_millis(100) * tick;
        let available = limit.available(48, now);
        limit.record(available, now);
        reassigned += available;
    }
    assert_eq!(reassigned, 12, "four in each of three seconds");
}

/// Guards against a small service whose engines can never be reassigned.
#[test]
fn one_engine_of_a_small_service_may_be_reassigned() {
    let now = BootInstant::now();
    let mut limit = ReassignmentLimit::default();
    assert_eq!(limit.available(3, now), 1);
    limit.record(1, now);
    assert_eq!(limit.available(3, now), 0);
}

/// Guards against weighing reassignments by an assumed duration where changes take longer.
#[test]
fn measured_changes_replace_the_default_duration() {
    let mut changes = ChangeDuration::default();
    assert_eq!(changes.get(), DEFAULT_CHANGE_DURATION);
    changes.record(Duration::from_secs(3));
    assert_eq!(changes.get(), Duration::from_secs(3));
    changes.record(Duration::from_secs(2));
    assert!(changes.get() < Duration::from_secs(3));
}
